import type { Clock } from '@lovagehoist/common'
import type { AccountQuota } from './accountQuota.js'

interface LocalLevel {
  tokens: number
  updatedAtMs: number
}

const MS_PER_SECOND = 1_000
const MAX_LEVELS = 4_096

/** Token buckets with this daemon's equal share of the quotas, used while no relay tells it what to admit. */
export class LocalBuckets {
  private readonly levels = new Map<string, LocalLevel>()

  private constructor (private readonly clock: Clock, private readonly knownDaemons: () => number) {}

  /**
   * Creates buckets, each with room for one request.
   *
   * @param clock - Source of time.
   * @param knownDaemons - Number of daemons of the fleet, this one included.
   * @returns The buckets.
   */
  static create (clock: Clock, knownDaemons: () => number): LocalBuckets {
    return new LocalBuckets(clock, knownDaemons)
  }

  /** Takes a token; returns 0, or the time until there will be one. */
  take (account: string, { perSecond, depth }: AccountQuota): number {
    const nowMs = this.clock.monotonicMs()
    const daemons = Math.max(1, this.knownDaemons())
    const level = this.levels.get(account) ?? { tokens: 1, updatedAtMs: nowMs }
    level.tokens = Math.min(Math.max(1, depth / daemons), level.tokens + perSecond / daemons * (nowMs - level.updatedAtMs) / MS_PER_SECOND)
    level.updatedAtMs = nowMs
    if (this.levels.size >= MAX_LEVELS) this.levels.clear()
    this.levels.set(account, level)
    if (level.tokens < 1) return (1 - level.tokens) * daemons / perSecond * MS_PER_SECOND
    level.tokens--
    return 0
  }

  /** Forgets all levels once a relay tells what to admit. */
  clear (): void {
    this.levels.clear()
  }
}
