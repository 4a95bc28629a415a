import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '@lovagehoist/common'

/** Longest idle time that answers announce to callers. */
export const ANNOUNCED_IDLE_MS = 5_000
/** Time after the announced one for which an idle connection still serves a request that was on its way. */
export const IDLE_MARGIN_MS = 2_000

const MS_PER_SECOND = 1_000
const KEEP_ALIVE_FIELD = `timeout=${ANNOUNCED_IDLE_MS / MS_PER_SECOND}`

/** One connection of a caller and its exchanges in progress. */
export class CallerConnection {
  private running: readonly ServerResponse[] = []
  private idleSinceMs: number
  private isLeaving = false
  private isClosing = false

  private constructor (private readonly socket: Socket, private readonly clock: Clock) {
    this.idleSinceMs = clock.monotonicMs()
  }

  /**
   * Creates a connection without exchanges.
   *
   * @param socket - Accepted socket.
   * @param clock - Source of time.
   * @returns The connection.
   */
  static create (socket: Socket, clock: Clock): CallerConnection {
    return new CallerConnection(socket, clock)
  }

  /** Exchanges in progress. */
  get exchanges (): number {
    return this.running.length
  }

  /**
   * Begins an exchange.
   *
   * @param response - Answer of the exchange; nothing of it is written yet.
   * @returns Whether it may be served; false when the connection was closed before the request came.
   */
  begin (response: ServerResponse): boolean {
    if (this.isClosing) return false
    this.running = [...this.running, response]
    response.once('close', () => { this.end(response) })
    if (this.isLeaving) this.announceClose()
    else if (response.shouldKeepAlive) response.setHeader('connection', 'keep-alive').setHeader('keep-alive', KEEP_ALIVE_FIELD)
    return true
  }

  /** Announces in the next answer that the connection closes after it. */
  leave (): void {
    this.isLeaving = true
    this.announceClose()
  }

  /** Closes the connection when it is idle for longer than callers were told. */
  closeIfIdle (): void {
    const idleMs = this.clock.monotonicMs() - this.idleSinceMs
    if (this.isClosing || this.running.length > 0 || idleMs < ANNOUNCED_IDLE_MS + IDLE_MARGIN_MS) return
    this.isClosing = true
    this.socket.end()
  }

  /** Cuts the connection with its exchanges. */
  cut (): void {
    this.isClosing = true
    this.socket.destroy()
  }

  private end (response: ServerResponse): void {
    if (response.getHeader('connection') === 'close') this.isClosing = true
    this.running = this.running.filter(other => other !== response)
    this.idleSinceMs = this.clock.monotonicMs()
  }

  /** Only the last of several pipelined answers may announce it: the connection ends after the one that does. */
  private announceClose (): void {
    const last = this.running.at(-1)
    for (const response of this.running) {
      if (response.headersSent) continue
      response.removeHeader('keep-alive')
      response.setHeader('connection', response === last ? 'close' : 'keep-alive')
    }
  }
}
