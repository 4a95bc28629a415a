import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Client } from 'undici'
import type { buildConnector } from 'undici'
import type { Clock, OutcomeKind, Target } from '@lovagehoist/common'

/** Why a connection could not be opened; nothing was sent. */
export interface OpenError {
  readonly outcome: Extract<OutcomeKind, 'refused' | 'cancelled'>
  readonly message: string
}

/** What opening a connection needs. */
export interface OpenOptions {
  readonly target: Target
  readonly clock: Clock
  /** Limit of connecting. */
  readonly connectTimeoutMs: number
  readonly signal?: AbortSignal
}

/** Idle time after which the HTTP client closes a connection by itself, unless the target names a shorter one. */
const KEEP_ALIVE_MS = 60_000
const MAX_ANSWER_HEAD_BYTES = 65_536

const USED_UP = Object.assign(new Error('the connection is closed'), { code: 'ERR_CONNECTION_USED_UP' })

const openSocket = async ({ target, clock, connectTimeoutMs, signal }: OpenOptions): Promise<Result<Socket, OpenError>> =>
  await new Promise(resolve => {
    const socket = connect({ host: target.host, port: target.port, noDelay: true, keepAlive: true })
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

/** One TCP connection to a target; carries one exchange at a time and never reconnects. */
export class Connection {
  /** HTTP client bound to this one socket. */
  readonly client: Client
  readonly openedAtMs: number
  private exchangeCount = 0
  private provenMs: number
  private isTaken = false
  private isDead = false
  private hasFailed = false

  private constructor (private readonly socket: Socket, private readonly clock: Clock, origin: string) {
    this.openedAtMs = clock.monotonicMs()
    this.provenMs = this.openedAtMs
    // Runs before the HTTP client's own listener, which takes a reset for the end of an answer without a length.
    socket.on('error', () => { this.hasFailed = true })
    // Node.js reports the end in order when data and a reset are read at once (libuv takes the hang-up for the end). A connection that
    // was reset has no peer any more; asked for the first time here, the address comes from the operating system.
    socket.once('end', () => { if (socket.remoteAddress === undefined) this.hasFailed = true })
    socket.once('close', () => { this.destroy() })
    this.client = new Client(origin, {
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_ANSWER_HEAD_BYTES,
      connect: (_options: buildConnector.Options, callback: buildConnector.Callback) => { this.handOver(callback) }
    })
  }

  /**
   * Connects to a target.
   *
   * @param options - Target, limit and signal.
   * @returns The connection, on which nothing has been sent.
   */
  static async open (options: OpenOptions): Promise<Result<Connection, OpenError>> {
    const { host, port } = options.target
    const socket = await openSocket(options)
    return socket.map(opened => new Connection(opened, options.clock, `http://${host.includes(':') ? `[${host}]` : host}:${port}`))
  }

  /** Whether no exchange has ended on it. */
  get isFresh (): boolean {
    return this.exchangeCount === 0
  }

  /** Whether an exchange can start on it. */
  get isUsable (): boolean {
    return !this.isDead && !this.socket.destroyed && !this.socket.readableEnded
  }

  /** Whether the connection ended with an error rather than in order. */
  get isBroken (): boolean {
    return this.hasFailed
  }

  /** Monotonic time of connecting or of the latest whole exchange. */
  get provenAtMs (): number {
    return this.provenMs
  }

  /** Bytes that were handed to the socket. */
  get sentBytes (): number {
    return this.socket.bytesWritten
  }

  /** Notes that an exchange ended whole. */
  prove (): void {
    this.exchangeCount++
    this.provenMs = this.clock.monotonicMs()
  }

  /** Cuts the connection; a request that waits on it fails unsent. */
  destroy (): void {
    if (this.isDead) return
    this.isDead = true
    this.socket.destroy()
    this.client.destroy(USED_UP).catch(() => {})
  }

  private handOver (callback: buildConnector.Callback): void {
    const isFirst = !this.isTaken
    this.isTaken = true
    queueMicrotask(() => {
      if (isFirst && this.isUsable) callback(null, this.socket)
      else callback(USED_UP, null)
    })
  }
}
