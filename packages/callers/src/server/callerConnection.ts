import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '@lovagehoist/common'

/** Idle timeout of connections that responses announce to callers in `Keep-Alive`. */
export const ANNOUNCED_IDLE_MS = 5_000
/** Time beyond the announced idle timeout for which a connection stays open, for requests that are already on their way. */
export const IDLE_MARGIN_MS = 2_000

const MS_PER_SECOND = 1_000
const KEEP_ALIVE_VALUE = `timeout=${ANNOUNCED_IDLE_MS / MS_PER_SECOND}`

/** A caller's connection and its exchanges in progress. */
export class CallerConnection {
  private inFlight: readonly ServerResponse[] = []
  private idleSinceMs: number
  private isDraining = false
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

  /** Number of exchanges in progress. */
  get exchanges (): number {
    return this.inFlight.length
  }

  /**
   * Starts an exchange.
   *
   * @param response - Response of the exchange, of which nothing has been written yet.
   * @returns Whether the request may be served; false when the connection was already being closed.
   */
  beginExchange (response: ServerResponse): boolean {
    if (this.isClosing) return false
    this.inFlight = [...this.inFlight, response]
    response.once('close', () => { this.end(response) })
    if (this.isDraining) this.announceClose()
    else if (response.shouldKeepAlive) response.setHeader('connection', 'keep-alive').setHeader('keep-alive', KEEP_ALIVE_VALUE)
    return true
  }

  /** Starts draining: the last response announces that the connection closes. */
  startDraining (): void {
    this.isDraining = true
    this.announceClose()
  }

  /** Closes the connection if it has been idle for longer than announced to the caller. */
  closeIfIdle (): void {
    const idleMs = this.clock.monotonicMs() - this.idleSinceMs
    if (this.isClosing || this.inFlight.length > 0 || idleMs < ANNOUNCED_IDLE_MS + IDLE_MARGIN_MS) return
    this.isClosing = true
    this.socket.end()
  }

  /** Destroys the connection with all its exchanges. */
  destroy (): void {
    this.isClosing = true
    this.socket.destroy()
  }

  private end (response: ServerResponse): void {
    if (response.getHeader('connection') === 'close') this.isClosing = true
    this.inFlight = this.inFlight.filter(other => other !== response)
    this.idleSinceMs = this.clock.monotonicMs()
  }

  /** Only the last of several pipelined responses may announce the close, because the connection ends after the one that does. */
  private announceClose (): void {
    const last = this.inFlight.at(-1)
    for (const response of this.inFlight) {
      if (response.headersSent) continue
      response.removeHeader('keep-alive')
      response.setHeader('connection', response === last ? 'close' : 'keep-alive')
    }
  }
}
