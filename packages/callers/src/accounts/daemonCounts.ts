import type { Clock } from '@lovagehoist/common'
import type { AccountCount } from './accountCounters.js'

/** Requests of an account that became known. */
export interface CountIncrement {
  readonly account: string
  readonly demanded: number
  /** Negative if requests were taken back. */
  readonly admitted: number
}

/** Counts that one process of a daemon reported together. */
export interface DaemonReport {
  readonly startId: string
  /** Time since the process started; orders its reports. */
  readonly uptimeMs: number
  readonly counts: readonly AccountCount[]
}

interface KnownCount {
  readonly uptimeMs: number
  readonly ageMs: number
  readonly demanded: number
  readonly admitted: number
  readonly receivedAtMs: number
}

/** Counts are forgotten later than daemons drop an unused counter, so that a count that is not known belongs to a new counter. */
const RETENTION_MS = 15_000
const SWEEP_INTERVAL_MS = 2_000
/** Difference of two ages, as rounded by the sender, up to which they belong to the same counter. */
const SAME_COUNTER_MS = 2

/** Derives increments from the counts that daemons report, whatever is lost, repeated or reordered. */
export class DaemonCounts {
  private readonly daemons = new Map<string, Map<string, KnownCount>>()
  private sweptAtMs = -Infinity
  private readonly startedAtMs: number

  private constructor (private readonly clock: Clock) {
    this.startedAtMs = clock.monotonicMs()
  }

  /**
   * Creates an empty record; counters that are older than it count from their first report on.
   *
   * @param clock - Source of time.
   * @returns The record.
   */
  static create (clock: Clock): DaemonCounts {
    return new DaemonCounts(clock)
  }

  /** Number of daemons whose counts are known. */
  get size (): number {
    return this.daemons.size
  }

  /** Returns what a report adds to the counts that were known. */
  apply ({ startId, uptimeMs, counts }: DaemonReport): readonly CountIncrement[] {
    const nowMs = this.clock.monotonicMs()
    this.sweep(nowMs)
    const known = this.daemons.get(startId) ?? new Map<string, KnownCount>()
    this.daemons.set(startId, known)
    return counts.flatMap(count => {
      const previous = known.get(count.account)
      if (previous !== undefined && previous.uptimeMs >= uptimeMs) return []
      known.set(count.account, { uptimeMs, ageMs: count.ageMs, demanded: count.demanded, admitted: count.admitted, receivedAtMs: nowMs })
      const base = this.baseOf(count, previous, uptimeMs, nowMs)
      const [demanded, admitted] = [count.demanded - base.demanded, count.admitted - base.admitted]
      return demanded === 0 && admitted === 0 ? [] : [{ account: count.account, demanded, admitted }]
    })
  }

  /** The part of a count that is not new. */
  private baseOf (count: AccountCount, previous: KnownCount | undefined, uptimeMs: number, nowMs: number): { readonly demanded: number, readonly admitted: number } {
    const isSameCounter = previous !== undefined && Math.abs((uptimeMs - previous.uptimeMs) - (count.ageMs - previous.ageMs)) <= SAME_COUNTER_MS
    if (isSameCounter) return previous
    const isNewCounter = previous !== undefined || count.ageMs <= nowMs - this.startedAtMs
    return isNewCounter ? { demanded: 0, admitted: 0 } : count
  }

  private sweep (nowMs: number): void {
    if (nowMs - this.sweptAtMs < SWEEP_INTERVAL_MS) return
    this.sweptAtMs = nowMs
    for (const [startId, counts] of this.daemons) {
      for (const [account, { receivedAtMs }] of counts) if (nowMs - receivedAtMs > RETENTION_MS) counts.delete(account)
      if (counts.size === 0) this.daemons.delete(startId)
    }
  }
}
