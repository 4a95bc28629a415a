import type { Result } from 'neverthrow'
import type { Clock, Target } from '@lovagehoist/common'
import { Connection } from './connection.js'
import type { OpenError, OpenOptions, OpenSocket } from './connection.js'

/** An exchange on a reused connection that waits for its response head. */
interface PendingHead {
  readonly sentAtMs: number
  /** Whether a connection opened before the request was sent has received a response since. */
  hasOlderResponded: boolean
  /** Whether a connection opened after the request was sent has received a response. */
  hasNewerResponded: boolean
}

/** Monitors an exchange until its response head arrives or it fails. */
export interface HeadMonitor {
  /** Records that the response head arrived. */
  readonly headReceived: () => void
  /** Ends monitoring after a timeout; returns true if the connection rather than the target is at fault. */
  readonly timedOut: () => boolean
  /** Ends monitoring without a result. */
  readonly stop: () => void
}

/** Maximum age of a connection. */
const MAX_AGE_MS = 300_000
/** Maximum time without a complete exchange. */
const MAX_IDLE_MS = 30_000
/** Time since the last complete exchange up to which a connection may carry a non-idempotent request. */
const MAX_UNCONFIRMED_MS = 2_000
/** Wait for a response head after which connections opened before that request are not reused. */
const SUSPICION_TIMEOUT_MS = 1_000
const MAX_IDLE_CONNECTIONS = 512

/** Connections of one daemon to one target, the most recently used first. */
export class ConnectionPool {
  private idle: Connection[] = []
  private readonly busy = new Set<Connection>()
  private readonly pendingHeads = new Set<PendingHead>()

  private constructor (private readonly target: Target, private readonly clock: Clock, private readonly connectTimeoutMs: number, private readonly openSocket: OpenSocket | undefined) {}

  /**
   * Creates a pool without connections.
   *
   * @param target - Target that the connections lead to.
   * @param clock - Source of time.
   * @param connectTimeoutMs - Connect timeout.
   * @param openSocket - Starts to connect a socket; a TCP connection by default.
   * @returns The pool.
   */
  static create (target: Target, clock: Clock, connectTimeoutMs: number, openSocket?: OpenSocket): ConnectionPool {
    return new ConnectionPool(target, clock, connectTimeoutMs, openSocket)
  }

  /** ID of the target. */
  get targetId (): string {
    return this.target.id
  }

  /** Whether its connections lead to the address of a target; one that started again may have another. */
  leadsTo ({ host, port }: Pick<Target, 'host' | 'port'>): boolean {
    return this.target.host === host && this.target.port === port
  }

  /** Number of connections, idle and in use. */
  get size (): number {
    return this.idle.length + this.busy.size
  }

  /**
   * Takes an idle connection from the pool.
   *
   * @param isIdempotent - Whether the request may be sent again; otherwise the connection must have worked recently.
   * @param requestId - Id that responses to the request repeat; empty for none.
   * @returns The most recently used suitable connection; undefined if a new one has to be opened.
   */
  acquire (isIdempotent: boolean, requestId = ''): Connection | undefined {
    this.sweep()
    const index = this.findIdle(isIdempotent, requestId)
    const [found] = index < 0 ? [] : this.idle.splice(index, 1)
    if (found !== undefined) this.busy.add(found)
    return found
  }

  /** Whether an idle connection exists that suits a request. */
  hasIdle (isIdempotent: boolean): boolean {
    return this.findIdle(isIdempotent) >= 0
  }

  /**
   * Opens a connection for immediate use.
   *
   * @param signal - Cancels connecting.
   * @returns The connection, or the reason why it could not be opened.
   */
  async open (signal: AbortSignal): Promise<Result<Connection, OpenError>> {
    const opened = await Connection.open({ ...this.openOptions(), signal })
    opened.map(connection => this.busy.add(connection))
    return opened
  }

  /** Returns a connection to the pool; it is closed if its exchange did not complete. */
  release (connection: Connection, isComplete: boolean): void {
    const isKnown = this.busy.delete(connection)
    if (isComplete) connection.recordExchange()
    if (!isKnown || !isComplete || !connection.isUsable || this.idle.length >= MAX_IDLE_CONNECTIONS) {
      connection.destroy()
      return
    }
    this.idle.unshift(connection)
  }

  /** Opens idle connections until the pool has the given number in total. */
  async openUpTo (wanted: number): Promise<void> {
    this.sweep()
    const missing = Math.min(wanted, MAX_IDLE_CONNECTIONS) - this.size
    await Promise.all(Array.from({ length: Math.max(0, missing) }, async () => await this.openIdle()))
  }

  /** Opens an idle connection; returns whether that succeeded. */
  async openIdle (): Promise<boolean> {
    const opened = await Connection.open(this.openOptions())
    opened.map(connection => this.idle.push(connection))
    return opened.isOk()
  }

  /** Closes idle connections opened longer ago than the given time, and prevents the reuse of those in use. */
  closeOlderThan (olderThanMs: number): void {
    const limitMs = this.clock.monotonicMs() - olderThanMs
    this.keepIdle(connection => connection.openedAtMs >= limitMs)
    for (const connection of this.busy) if (connection.openedAtMs < limitMs) this.busy.delete(connection)
  }

  /** Closes idle connections that are too old, unused for too long or closed by the target. */
  sweep (): void {
    const nowMs = this.clock.monotonicMs()
    this.keepIdle(connection => connection.isUsable && nowMs - connection.openedAtMs <= MAX_AGE_MS && nowMs - connection.lastCompletedAtMs <= MAX_IDLE_MS)
  }

  /**
   * Monitors an exchange to detect a connection on which the target has gone silent.
   *
   * @param connection - Connection that carries the exchange.
   * @returns The monitor of the exchange.
   */
  monitor (connection: Connection): HeadMonitor {
    const pending: PendingHead = { sentAtMs: this.clock.monotonicMs(), hasOlderResponded: false, hasNewerResponded: false }
    if (!connection.isFresh) this.pendingHeads.add(pending)
    return {
      headReceived: () => {
        this.pendingHeads.delete(pending)
        this.recordResponse(connection)
      },
      timedOut: () => {
        this.pendingHeads.delete(pending)
        return !connection.isFresh && pending.hasNewerResponded && !pending.hasOlderResponded
      },
      stop: () => { this.pendingHeads.delete(pending) }
    }
  }

  private openOptions (): OpenOptions {
    const { target, clock, connectTimeoutMs, openSocket } = this
    return { target, clock, connectTimeoutMs, ...(openSocket === undefined ? {} : { openSocket }) }
  }

  private findIdle (isIdempotent: boolean, requestId?: string): number {
    const nowMs = this.clock.monotonicMs()
    const openedAfterMs = this.suspectOpenedBeforeMs(nowMs)
    return this.idle.findIndex(connection => connection.isUsable &&
      connection.openedAtMs >= openedAfterMs && (requestId === undefined || !connection.hasRefused(requestId)) && (isIdempotent || nowMs - connection.lastCompletedAtMs <= MAX_UNCONFIRMED_MS))
  }

  private recordResponse (connection: Connection): void {
    for (const pending of this.pendingHeads) {
      if (connection.openedAtMs > pending.sentAtMs) pending.hasNewerResponded = true
      else pending.hasOlderResponded = true
    }
  }

  private suspectOpenedBeforeMs (nowMs: number): number {
    let beforeMs = -Infinity
    for (const pending of this.pendingHeads) {
      if (nowMs - pending.sentAtMs > SUSPICION_TIMEOUT_MS && !pending.hasOlderResponded) beforeMs = Math.max(beforeMs, pending.sentAtMs)
    }
    return beforeMs
  }

  private keepIdle (isKept: (connection: Connection) => boolean): void {
    const dropped = this.idle.filter(connection => !isKept(connection))
    if (dropped.length === 0) return
    this.idle = this.idle.filter(isKept)
    for (const connection of dropped) connection.destroy()
  }
}
