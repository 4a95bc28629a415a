import type { Clock } from '@lovagehoist/common'
import type { PlannedDaemon } from './planSubsets.js'

/** Time for which the list is cached. */
const CACHE_MS = 200

/** Cached list of the daemons that receive traffic; the list object stays the same until the daemons change. */
export class CachedDaemonList {
  private cached: readonly PlannedDaemon[] = []
  private readAtMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly clock: Clock, private readonly read: () => readonly PlannedDaemon[]) {}

  /**
   * Creates a cache.
   *
   * @param clock - Source of time.
   * @param read - Reads the daemons that receive traffic, this one included, in any order.
   * @returns The cache.
   */
  static create (clock: Clock, read: () => readonly PlannedDaemon[]): CachedDaemonList {
    return new CachedDaemonList(clock, read)
  }

  /** Returns the daemons that receive traffic, ordered by ID. */
  readonly daemons = (): readonly PlannedDaemon[] => {
    const nowMs = this.clock.monotonicMs()
    if (nowMs - this.readAtMs < CACHE_MS) return this.cached
    this.readAtMs = nowMs
    const sorted = [...this.read()].sort((a, b) => a.id < b.id ? -1 : 1)
    const isSame = sorted.length === this.cached.length &&
      sorted.every(({ id, availabilityZone }, index) => id === this.cached[index]?.id && availabilityZone === this.cached[index]?.availabilityZone)
    if (!isSame) this.cached = sorted
    return this.cached
  }
}
