import type { Clock } from '@lovagehoist/common'

/** Requests of one account at one daemon since its counter was created. */
export interface AccountCount {
  readonly account: string
  /** Age of the counter; a counter that was unused for long is replaced by a new one. */
  readonly ageMs: number
  readonly demanded: number
  /** Requests admitted, without those that no target ran. */
  readonly admitted: number
}

interface Counter {
  readonly createdAtMs: number
  demanded: number
  admitted: number
  changedAtMs: number
  /** Time of the first change that has not been reported. */
  pendingSinceMs: number | undefined
  repeatedUntilMs: number
}

/** Reports repeat a count for this long, since datagrams are lost and the standby relay of a large zone gets a report only every 0.4 s. */
const REPEAT_MS = 500
/** Time without a change after which a counter is dropped, so that the memory is bounded by the accounts in use. */
const IDLE_TTL_MS = 10_000
const SWEEP_INTERVAL_MS = 1_000

/** Counts the requests of each account at this daemon. */
export class AccountCounters {
  private readonly counters = new Map<string, Counter>()
  private sweptAtMs = -Infinity

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates counters without requests.
   *
   * @param clock - Source of time.
   * @returns The counters.
   */
  static create (clock: Clock): AccountCounters {
    return new AccountCounters(clock)
  }

  /** Counts a request, whether or not it is admitted. */
  recordDemand (account: string): void {
    const counter = this.counterOf(account)
    counter.demanded++
    this.markChanged(counter)
  }

  /** Counts an admitted request, or takes one back with -1. */
  recordAdmitted (account: string, change: 1 | -1): void {
    const counter = this.counterOf(account)
    counter.admitted += change
    this.markChanged(counter)
  }

  /**
   * Returns the counts to report now.
   *
   * @param isFull - Whether all counts are reported.
   * @param delayMsOf - Time for which changes of an account may be held back.
   */
  collect (isFull: boolean, delayMsOf: (account: string) => number): readonly AccountCount[] {
    const nowMs = this.clock.monotonicMs()
    this.sweep(nowMs)
    const counts: AccountCount[] = []
    for (const [account, counter] of this.counters) {
      if (counter.pendingSinceMs !== undefined && nowMs - counter.pendingSinceMs >= delayMsOf(account)) {
        counter.pendingSinceMs = undefined
        counter.repeatedUntilMs = nowMs + REPEAT_MS
      }
      if (isFull || nowMs <= counter.repeatedUntilMs) counts.push({ account, ageMs: nowMs - counter.createdAtMs, demanded: counter.demanded, admitted: counter.admitted })
    }
    return counts
  }

  private counterOf (account: string): Counter {
    const known = this.counters.get(account)
    if (known !== undefined) return known
    const nowMs = this.clock.monotonicMs()
    const counter: Counter = { createdAtMs: nowMs, demanded: 0, admitted: 0, changedAtMs: nowMs, pendingSinceMs: undefined, repeatedUntilMs: -Infinity }
    this.counters.set(account, counter)
    return counter
  }

  private markChanged (counter: Counter): void {
    const nowMs = this.clock.monotonicMs()
    counter.changedAtMs = nowMs
    counter.pendingSinceMs ??= nowMs
  }

  private sweep (nowMs: number): void {
    if (nowMs - this.sweptAtMs < SWEEP_INTERVAL_MS) return
    this.sweptAtMs = nowMs
    for (const [account, { changedAtMs }] of this.counters) if (nowMs - changedAtMs > IDLE_TTL_MS) this.counters.delete(account)
  }
}
