import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '@lovagehoist/common'
import { HalfClosedProbe } from './halfClosedProbe.js'

/** Idle timeout of connections that responses announce to callers in `Keep-Alive`. */
export const ANNOUNCED_IDLE_MS = 5_000
/** Time beyond the announced idle timeout for which a connection stays open, for requests that are already on their way. */
export const IDLE_MARGIN_MS = 2_000

/** Requests of one connection that are served at the same time; further pipelined ones wait. */
const MAX_CONCURRENT = 8
/** Requests of one connection that are accepted at the same time; the last one's response closes the connection if there are more. */
const MAX_ACCEPTED = 64
/** Requests behind a response that closes the connection, after which the connection is closed at once: Node.js keeps an object for each. */
const MAX_IGNORED = 2_000
/** Time for which a closed connection is still read: unread bytes would reset it, and the caller could lose the last response. */
const LINGER_MS = 1_000
const MS_PER_SECOND = 1_000
const KEEP_ALIVE_VALUE = `timeout=${ANNOUNCED_IDLE_MS / MS_PER_SECOND}`

/** A request that waits until at most `maxEarlier` earlier ones of its connection are unanswered. */
interface TurnWaiter {
  readonly response: ServerResponse
  readonly maxEarlier: number
  readonly settle: (isServed: boolean) => void
}

/** Whether a response has told the caller that the connection closes after it. */
const hasAnnouncedClose = (response: ServerResponse): boolean =>
  response.headersSent && (response.getHeader('connection') === 'close' || !response.shouldKeepAlive)

/** A caller's connection and its exchanges in progress. */
export class CallerConnection {
  private inFlight: readonly ServerResponse[] = []
  private idleSinceMs: number
  private isDraining = false
  private isClosing = false
  private isFull = false
  private ignoredCount = 0
  private waiters: readonly TurnWaiter[] = []

  private constructor (private readonly socket: Socket, private readonly clock: Clock) {
    this.idleSinceMs = clock.monotonicMs()
    socket.once('close', () => {
      this.isClosing = true
      this.settleWaiters()
    })
    // Each of several pipelined exchanges listens for the end of the connection.
    socket.setMaxListeners(0)
    // Node.js calls this after a response that closes the connection.
    socket.destroySoon = () => { this.closeAfterReading() }
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

  /** Responses of the exchanges in progress. */
  get exchanges (): readonly ServerResponse[] {
    return this.inFlight
  }

  /**
   * Starts an exchange.
   *
   * @param response - Response of the exchange, of which nothing has been written yet.
   * @returns Whether the request may be served; false when it stands behind a response that closes the connection.
   */
  beginExchange (response: ServerResponse): boolean {
    if (this.isClosing || this.isFull || this.inFlight.some(hasAnnouncedClose)) return this.ignoreRequest()
    if (this.inFlight.length >= MAX_ACCEPTED) {
      this.isFull = true
      this.announceClose()
      return this.ignoreRequest()
    }
    this.inFlight = [...this.inFlight, response]
    response.once('close', () => { this.end(response) })
    if (this.isDraining) this.announceClose()
    else if (response.shouldKeepAlive) response.setHeader('connection', 'keep-alive').setHeader('keep-alive', KEEP_ALIVE_VALUE)
    return true
  }

  /**
   * Waits until few enough earlier requests of the connection are unanswered for a request to be served.
   *
   * @param response - Response of the request's exchange.
   * @returns Whether the request may be served; false when the connection closes before.
   */
  async untilServable (response: ServerResponse): Promise<boolean> {
    return await this.waitBehind(response, MAX_CONCURRENT - 1)
  }

  /**
   * Waits until all earlier requests of the connection have been answered.
   *
   * @param response - Response of the request's exchange.
   * @returns Whether the response can still be delivered; false when the connection closes before.
   */
  async untilFirst (response: ServerResponse): Promise<boolean> {
    return await this.waitBehind(response, 0)
  }

  /** Starts draining: the last response announces that the connection closes. */
  startDraining (): void {
    this.isDraining = true
    this.announceClose()
  }

  /** Answers the requests in progress of a caller that has ended its half of the connection; the last response ends the other half. */
  serveHalfClosed (): void {
    if (this.isClosing || this.inFlight.length === 0) return
    this.announceClose()
    HalfClosedProbe.start({ socket: this.socket, clock: this.clock, current: () => this.inFlight[0] })
  }

  /** Closes the connection if it has been idle for longer than announced to the caller. */
  closeIfIdle (): void {
    const idleMs = this.clock.monotonicMs() - this.idleSinceMs
    if (this.isClosing || this.inFlight.length > 0 || idleMs < ANNOUNCED_IDLE_MS + IDLE_MARGIN_MS) return
    this.isClosing = true
    this.socket.end()
  }

  /** Destroys the connection with all its exchanges; resets it if that cuts a response off, since an orderly end would complete one without a length. */
  destroy (): void {
    this.isClosing = true
    if (this.inFlight[0]?.headersSent === true) this.socket.resetAndDestroy()
    else this.socket.destroy()
  }

  private end (response: ServerResponse): void {
    if (hasAnnouncedClose(response)) this.isClosing = true
    // Nobody else reads the rest of a body that was refused.
    response.req.resume()
    this.inFlight = this.inFlight.filter(other => other !== response)
    this.idleSinceMs = this.clock.monotonicMs()
    this.settleWaiters()
  }

  private ignoreRequest (): false {
    if (++this.ignoredCount > MAX_IGNORED) this.destroy()
    // Node.js starts to read again at the end of each request, so the pause has to follow it. A connection that closes is read and discarded.
    else if (!this.isClosing) queueMicrotask(() => { if (!this.isClosing) this.socket.pause() })
    return false
  }

  private async waitBehind (response: ServerResponse, maxEarlier: number): Promise<boolean> {
    return await new Promise(resolve => {
      this.waiters = [...this.waiters, { response, maxEarlier, settle: resolve }]
      this.settleWaiters()
    })
  }

  private settleWaiters (): void {
    const isSettled = ({ response, maxEarlier }: TurnWaiter): boolean => this.isClosing || this.inFlight.indexOf(response) <= maxEarlier
    const settled = this.waiters.filter(isSettled)
    this.waiters = this.waiters.filter(waiter => !isSettled(waiter))
    for (const { response, settle } of settled) settle(!this.isClosing && this.inFlight.includes(response))
  }

  private closeAfterReading (): void {
    const { socket } = this
    this.isClosing = true
    socket.end()
    socket.resume()
    const cancelTimer = this.clock.after(LINGER_MS, () => { socket.destroy() })
    socket.once('end', () => { socket.destroy() }).once('close', cancelTimer)
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
