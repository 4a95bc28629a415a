import type { ClientAccount, QuotaBounds } from '@lovagehoist/common'

/** What one account saw. */
export interface AccountResult {
  readonly account: number
  readonly demanded: number
  readonly run: number
  readonly refused: number
  /** Requests that a perfect token bucket of the account's rate and burst admits. */
  readonly perfect: number
  /** Largest number of requests that ran in one window, relative to the bound. */
  readonly worstWindowShare: number
}

interface QuotaChange {
  readonly atMs: number
  readonly factor: number
}

interface Events {
  readonly demandedAtMs: number[]
  readonly runAtMs: number[]
  refused: number
  notRun: number
}

const MS_PER_SECOND = 1_000
/** Time after a lowered quota from which the new bound applies: one window after the configuration is in force everywhere. */
const CONFIG_APPLY_MS = 2_500

const largestWindow = (times: readonly number[], windowMs: number): number => {
  let first = 0
  let largest = 0
  times.forEach((atMs, index) => {
    while ((times[first] ?? atMs) <= atMs - windowMs) first++
    largest = Math.max(largest, index - first + 1)
  })
  return largest
}

const perfectCount = (times: readonly number[], { requestsPerSecond, burst }: ClientAccount, change: QuotaChange | undefined, emptiedAtMs: number): number => {
  let level = burst
  let previousMs = 0
  let count = 0
  for (const atMs of times) {
    if (previousMs < emptiedAtMs && atMs >= emptiedAtMs) {
      level = 0
      previousMs = emptiedAtMs
    }
    const factor = change !== undefined && atMs >= change.atMs ? change.factor : 1
    level = Math.min(burst * factor, level + requestsPerSecond * factor * (atMs - previousMs) / MS_PER_SECOND)
    previousMs = atMs
    if (level < 1) continue
    level--
    count++
  }
  return count
}

/** Counts what the accounts of a simulation demanded and got. */
export class AccountTally {
  private readonly events = new Map<number, Events>()

  private constructor (private readonly bounds: QuotaBounds) {}

  /** Creates an empty tally. */
  static create (bounds: QuotaBounds): AccountTally {
    return new AccountTally(bounds)
  }

  /** Counts a caller's request. */
  recordDemand (account: number, atMs: number): void {
    this.eventsOf(account).demandedAtMs.push(atMs)
  }

  /** Counts a request that a target ran. */
  recordRun (account: number, atMs: number): void {
    this.eventsOf(account).runAtMs.push(atMs)
  }

  /** Counts an admitted request that no target ran. */
  recordNotRun (account: number): void {
    this.eventsOf(account).notRun++
  }

  /** Counts a refused request. */
  recordRefused (account: number): void {
    this.eventsOf(account).refused++
  }

  /**
   * Compares each account with its quota.
   *
   * @param accounts - Accounts with their quotas.
   * @param change - Change of all quotas.
   * @param emptiedAtMs - Time at which the perfect token buckets are emptied, since the whole fleet lost what it knew.
   */
  results (accounts: readonly ClientAccount[], change: QuotaChange | undefined, emptiedAtMs = Infinity): readonly AccountResult[] {
    return accounts.map((quota, account) => {
      const { demandedAtMs, runAtMs, refused, notRun } = this.eventsOf(account)
      const { windowMs } = this.bounds
      const enforcedAtMs = change === undefined ? Infinity : change.atMs + CONFIG_APPLY_MS
      const shareOf = (times: readonly number[], factor: number): number => largestWindow(times, windowMs) / this.boundOf(quota, factor)
      const worstWindowShare = Math.max(shareOf(runAtMs.filter(atMs => atMs < enforcedAtMs), 1), change === undefined ? 0 : shareOf(runAtMs.filter(atMs => atMs >= enforcedAtMs), change.factor))
      return { account, demanded: demandedAtMs.length, run: runAtMs.length, refused, perfect: Math.max(0, perfectCount(demandedAtMs, quota, change, emptiedAtMs) - notRun), worstWindowShare }
    })
  }

  private boundOf ({ requestsPerSecond, burst }: ClientAccount, factor: number): number {
    const { windowMs, overageShare, slackRequests } = this.bounds
    return (requestsPerSecond * windowMs / MS_PER_SECOND + burst) * factor * (1 + overageShare) + slackRequests
  }

  private eventsOf (account: number): Events {
    const known = this.events.get(account) ?? { demandedAtMs: [], runAtMs: [], refused: 0, notRun: 0 }
    this.events.set(account, known)
    return known
  }
}
