import { connect } from 'node:net'
import type { NetConnectOpts, Socket } from 'node:net'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Client } from 'undici'
import type { buildConnector } from 'undici'
import type { Clock, OutcomeKind, Target } from '@lovagehoist/common'

/** Reason why a connection could not be opened; nothing was sent. */
export interface OpenError {
  readonly outcome: Extract<OutcomeKind, 'refused' | 'cancelled'>
  readonly message: string
}

/** Options for opening a connection. */
export interface OpenOptions {
  readonly target: Target
  readonly clock: Clock
  /** Connect timeout. */
  readonly connectTimeoutMs: number
  readonly signal?: AbortSignal
  /** Opens the socket; tests replace it to cut a daemon off. */
  readonly openSocket?: OpenSocket
}

/** Starts to connect a socket. */
export type OpenSocket = (options: NetConnectOpts) => Socket

/** Idle time after which the HTTP client closes a connection by itself, unless the target states a shorter one. */
const KEEP_ALIVE_MS = 60_000
const MAX_RESPONSE_HEAD_BYTES = 65_536
/** A refusal that is repeated later than after this many others is not expected. */
const MAX_REFUSED_IDS = 64

const RESET_CODE = 'ERR_CONNECTION_RESET'
const CONNECTION_CLOSED = Object.assign(new Error('the connection is closed'), { code: 'ERR_CONNECTION_USED_UP' })

/** Without it, a socket reads up to 64 KiB ahead of a paused response, which nothing counts. */
const READ_ON_DEMAND = { readableHighWaterMark: 0 }

/** Node.js throws at once for some addresses, such as ports out of range. */
const createSocket = (openSocket: OpenSocket, { host, port }: Target): Socket | Error => {
  try {
    return openSocket({ ...READ_ON_DEMAND, host, port, noDelay: true, keepAlive: true })
  } catch (error) {
    return error instanceof Error ? error : new Error(String(error))
  }
}

const connectSocket = async ({ target, clock, connectTimeoutMs, signal, openSocket = connect }: OpenOptions): Promise<Result<Socket, OpenError>> =>
  await new Promise(resolve => {
    const socket = createSocket(openSocket, target)
    if (socket instanceof Error) {
      resolve(err({ outcome: 'refused', message: socket.message }))
      return
    }
    const finish = (result: Result<Socket, OpenError>): void => {
      cancelTimer()
      signal?.removeEventListener('abort', cancel)
      if (result.isErr()) socket.destroy()
      resolve(result)
    }
    const cancel = (): void => { finish(err({ outcome: 'cancelled', message: 'given up while connecting' })) }
    const cancelTimer = clock.after(connectTimeoutMs, () => { finish(err({ outcome: 'refused', message: 'no connection in time' })) })
    socket.once('connect', () => { finish(ok(socket)) })
    socket.once('error', error => { finish(err({ outcome: 'refused', message: error.message })) })
    signal?.addEventListener('abort', cancel, { once: true })
    if (signal?.aborted === true) cancel()
  })

/** One TCP connection to a target; it carries one exchange at a time and never reconnects. */
export class Connection {
  /** HTTP client bound to this one socket. */
  readonly client: Client
  readonly openedAtMs: number
  /** Ids of requests that were refused on this connection, the latest last. */
  private readonly refusedIds = new Set<string>()
  private exchangeCount = 0
  private lastCompletedMs: number
  private isSocketProvided = false
  private isDestroyed = false
  private hasFailed = false
  private resumeResponse: () => void = () => {}

  private constructor (private readonly socket: Socket, private readonly clock: Clock, origin: string) {
    this.openedAtMs = clock.monotonicMs()
    this.lastCompletedMs = this.openedAtMs
    // Runs before the HTTP client's own listener, which treats an ECONNRESET as the end of a response without a length, and throws if the response is paused.
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.hasFailed = true
      if (error.code === 'ECONNRESET') error.code = RESET_CODE
    })
    // If data and a reset are read at once, Node.js reports an orderly end, because libuv treats the hang-up as the end of the stream. A connection
    // that was reset has no peer address any more; this is the first query of the address, so it comes from the operating system, not a cache.
    socket.once('end', () => {
      if (socket.remoteAddress === undefined) this.hasFailed = true
      // The HTTP client throws if the end comes while the response is paused.
      this.resumeResponse()
    })
    socket.once('close', () => { this.destroy() })
    this.client = new Client(origin, {
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_RESPONSE_HEAD_BYTES,
      connect: (_options: buildConnector.Options, callback: buildConnector.Callback) => { this.provideSocket(callback) }
    })
  }

  /**
   * Opens a connection to a target.
   *
   * @param options - Target, timeout and abort signal.
   * @returns The connection, on which nothing has been sent.
   */
  static async open (options: OpenOptions): Promise<Result<Connection, OpenError>> {
    const { host, port } = options.target
    const socket = await connectSocket(options)
    return socket.map(opened => new Connection(opened, options.clock, `http://${host.includes(':') ? `[${host}]` : host}:${port}`))
  }

  /** Whether no exchange has completed on it. */
  get isFresh (): boolean {
    return this.exchangeCount === 0
  }

  /** Records that a request was refused on this connection. */
  recordRefusal (requestId: string): void {
    this.refusedIds.add(requestId)
    const [oldest] = this.refusedIds
    if (this.refusedIds.size > MAX_REFUSED_IDS && oldest !== undefined) this.refusedIds.delete(oldest)
  }

  /** Whether a request was refused on this connection, so that the refusal could be taken for that of a later one with the same id. */
  hasRefused (requestId: string): boolean {
    return this.refusedIds.has(requestId)
  }

  /** Whether an exchange can start on it. */
  get isUsable (): boolean {
    return !this.isDestroyed && !this.socket.destroyed && !this.socket.readableEnded
  }

  /** Whether the connection ended with an error instead of an orderly close. */
  get isBroken (): boolean {
    return this.hasFailed
  }

  /** Monotonic time of connecting or of the latest complete exchange, when the connection was known to work. */
  get lastCompletedAtMs (): number {
    return this.lastCompletedMs
  }

  /** Bytes that were passed to the socket. */
  get sentBytes (): number {
    return this.socket.bytesWritten
  }

  /** Whether a part of a request has not been passed to the operating system yet. */
  get hasUnsentBytes (): boolean {
    return this.socket.writableLength > 0
  }

  /** Sets what resumes the response in progress; called when everything that the target sent has been read. */
  onAllRead (resumeResponse: () => void): void {
    this.resumeResponse = resumeResponse
  }

  /** Records that an exchange completed. */
  recordExchange (): void {
    this.exchangeCount++
    this.lastCompletedMs = this.clock.monotonicMs()
  }

  /** Closes the connection immediately; a request that waits for it fails without being sent. */
  destroy (): void {
    if (this.isDestroyed) return
    this.isDestroyed = true
    // Without an error, the HTTP client finishes a paused response on close and throws.
    this.socket.destroy(CONNECTION_CLOSED)
    this.client.destroy(CONNECTION_CLOSED).catch(() => {})
  }

  private provideSocket (callback: buildConnector.Callback): void {
    const isFirst = !this.isSocketProvided
    this.isSocketProvided = true
    queueMicrotask(() => {
      if (isFirst && this.isUsable) callback(null, this.socket)
      else callback(CONNECTION_CLOSED, null)
    })
  }
}
