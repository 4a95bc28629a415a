import type { Result } from 'neverthrow'
import type { Clock, Target } from '@lovagehoist/common'
import { Connection } from './connection.js'
import type { OpenError } from './connection.js'

/** An exchange on a reused connection that waits for its answer's head. */
interface SilentWait {
  readonly sentAtMs: number
  /** Whether a connection that was opened before the request was sent has answered since. */
  hasOldAnswered: boolean
  /** Whether a connection that was opened after the request was sent has answered. */
  hasNewAnswered: boolean
}

/** Watches an exchange until its answer's head or its failure. */
export interface HeadWatch {
  /** Notes the answer's head. */
  readonly answered: () => void
  /** Ends the watch without an answer; true when only the connection is to blame. */
  readonly timedOut: () => boolean
  /** Ends the watch without a judgement. */
  readonly dropped: () => void
}

/** Longest life of a connection. */
const MAX_AGE_MS = 300_000
/** Longest time without an exchange. */
const MAX_IDLE_MS = 30_000
/** Age of the last proof up to which a connection may carry a non-idempotent request. */
const PROVEN_MS = 2_000
/** Wait for a head after which older connections are not chosen. */
const SUSPECT_MS = 1_000
const MAX_IDLE_CONNECTIONS = 512

/** Connections of one daemon to one target, the most recently used first. */
export class ConnectionList {
  private idle: Connection[] = []
  private readonly busy = new Set<Connection>()
  private readonly waits = new Set<SilentWait>()

  private constructor (private readonly target: Target, private readonly clock: Clock, private readonly connectTimeoutMs: number) {}

  /**
   * Creates an empty list.
   *
   * @param target - Where connections go.
   * @param clock - Source of time.
   * @param connectTimeoutMs - Limit of connecting.
   * @returns The list.
   */
  static create (target: Target, clock: Clock, connectTimeoutMs: number): ConnectionList {
    return new ConnectionList(target, clock, connectTimeoutMs)
  }

  /** Number of connections, idle and in use. */
  get size (): number {
    return this.idle.length + this.busy.size
  }

  /**
   * Takes an idle connection.
   *
   * @param isIdempotent - Whether the request can be sent again; otherwise the connection must have proved alive recently.
   * @returns The most recently used one that suits; undefined when one has to be opened.
   */
  take (isIdempotent: boolean): Connection | undefined {
    this.sweep()
    const index = this.findIdle(isIdempotent)
    const [found] = index < 0 ? [] : this.idle.splice(index, 1)
    if (found !== undefined) this.busy.add(found)
    return found
  }

  /** Whether a connection is idle that suits a request. */
  hasIdle (isIdempotent: boolean): boolean {
    return this.findIdle(isIdempotent) >= 0
  }

  /**
   * Opens a connection for immediate use.
   *
   * @param signal - Gives up.
   * @returns The connection or why there is none.
   */
  async open (signal: AbortSignal): Promise<Result<Connection, OpenError>> {
    const { target, clock, connectTimeoutMs } = this
    const opened = await Connection.open({ target, clock, connectTimeoutMs, signal })
    opened.map(connection => this.busy.add(connection))
    return opened
  }

  /** Gives back a connection; one whose exchange did not end whole is destroyed. */
  giveBack (connection: Connection, isWhole: boolean): void {
    const isKnown = this.busy.delete(connection)
    if (isWhole) connection.prove()
    if (!isKnown || !isWhole || !connection.isUsable || this.idle.length >= MAX_IDLE_CONNECTIONS) {
      connection.destroy()
      return
    }
    this.idle.unshift(connection)
  }

  /** Opens connections until there are as many as wanted. */
  async warm (wanted: number): Promise<void> {
    this.sweep()
    const missing = Math.min(wanted, MAX_IDLE_CONNECTIONS) - this.size
    const opening = Array.from({ length: Math.max(0, missing) }, async () => {
      const { target, clock, connectTimeoutMs } = this
      const opened = await Connection.open({ target, clock, connectTimeoutMs })
      opened.map(connection => this.idle.push(connection))
    })
    await Promise.all(opening)
  }

  /** Destroys idle connections that were opened longer ago than a time; those in use are not used again. */
  retire (olderThanMs: number): void {
    const limitMs = this.clock.monotonicMs() - olderThanMs
    this.keepIdle(connection => connection.openedAtMs >= limitMs)
    for (const connection of this.busy) if (connection.openedAtMs < limitMs) this.busy.delete(connection)
  }

  /** Destroys idle connections that are too old, unused for too long or closed by the target. */
  sweep (): void {
    const nowMs = this.clock.monotonicMs()
    this.keepIdle(connection => connection.isUsable && nowMs - connection.openedAtMs <= MAX_AGE_MS && nowMs - connection.provenAtMs <= MAX_IDLE_MS)
  }

  /**
   * Watches an exchange for silence of its connection.
   *
   * @param connection - Connection that carries it.
   * @returns The watch.
   */
  watch (connection: Connection): HeadWatch {
    const wait: SilentWait = { sentAtMs: this.clock.monotonicMs(), hasOldAnswered: false, hasNewAnswered: false }
    if (!connection.isFresh) this.waits.add(wait)
    return {
      answered: () => {
        this.waits.delete(wait)
        this.noteAnswer(connection)
      },
      timedOut: () => {
        this.waits.delete(wait)
        return !connection.isFresh && wait.hasNewAnswered && !wait.hasOldAnswered
      },
      dropped: () => { this.waits.delete(wait) }
    }
  }

  private findIdle (isIdempotent: boolean): number {
    const nowMs = this.clock.monotonicMs()
    const openedAfterMs = this.suspectBeforeMs(nowMs)
    return this.idle.findIndex(connection => connection.isUsable &&
      connection.openedAtMs >= openedAfterMs && (isIdempotent || nowMs - connection.provenAtMs <= PROVEN_MS))
  }

  private noteAnswer (connection: Connection): void {
    for (const wait of this.waits) {
      if (connection.openedAtMs > wait.sentAtMs) wait.hasNewAnswered = true
      else wait.hasOldAnswered = true
    }
  }

  private suspectBeforeMs (nowMs: number): number {
    let beforeMs = -Infinity
    for (const wait of this.waits) {
      if (nowMs - wait.sentAtMs > SUSPECT_MS && !wait.hasOldAnswered) beforeMs = Math.max(beforeMs, wait.sentAtMs)
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
