import type { Clock } from '@lovagehoist/common'
import type { PlannedDaemon } from './planSubsets.js'

/** Time for which a list of daemons is used before it is read again. */
const FRESH_MS = 200

/** Daemons that take traffic; the same list object is kept while they stay the same. */
export class DaemonRoster {
  private known: readonly PlannedDaemon[] = []
  private readAtMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly clock: Clock, private readonly read: () => readonly PlannedDaemon[]) {}

  /**
   * Creates a roster.
   *
   * @param clock - Source of time.
   * @param read - Reads the daemons that take traffic, this one included, in any order.
   * @returns The roster.
   */
  static create (clock: Clock, read: () => readonly PlannedDaemon[]): DaemonRoster {
    return new DaemonRoster(clock, read)
  }

  /** Daemons that take traffic, in order of their ids. */
  readonly daemons = (): readonly PlannedDaemon[] => {
    const nowMs = this.clock.monotonicMs()
    if (nowMs - this.readAtMs < FRESH_MS) return this.known
    this.readAtMs = nowMs
    const sorted = [...this.read()].sort((a, b) => a.id < b.id ? -1 : 1)
    const isSame = sorted.length === this.known.length &&
      sorted.every(({ id, availabilityZone }, index) => id === this.known[index]?.id && availabilityZone === this.known[index]?.availabilityZone)
    if (!isSame) this.known = sorted
    return this.known
  }
}
