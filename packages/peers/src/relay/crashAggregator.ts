import type { Clock, CrashCounts } from '@lovagehoist/common'

/** Time after its last update at which a source's counts expire. */
const SOURCE_TTL_MS = 60_000

interface SourceCounts {
  readonly counts: ReadonlyMap<string, number>
  readonly updatedAtMs: number
}

/** Adds up the crash counts that daemons and zones report. */
export class CrashAggregator {
  private readonly sources = new Map<string, SourceCounts>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates an aggregator without counts.
   *
   * @param clock - Source of time.
   * @returns The aggregator.
   */
  static create (clock: Clock): CrashAggregator {
    return new CrashAggregator(clock)
  }

  /**
   * Replaces the counts of a source; an empty list leaves its earlier counts in place.
   *
   * @param source - Start id of a daemon, or name of a zone.
   * @param counts - All its crash counts, by request fingerprint.
   */
  update (source: string, counts: CrashCounts): void {
    if (counts.length > 0) this.sources.set(source, { counts: new Map(counts), updatedAtMs: this.clock.monotonicMs() })
  }

  /**
   * Adds up the counts of all sources that have not expired.
   *
   * @param isIncluded - Selects the sources to add up; all by default.
   * @returns Total by request fingerprint.
   */
  totals (isIncluded: (source: string) => boolean = () => true): CrashCounts {
    const totals = new Map<string, number>()
    const oldestMs = this.clock.monotonicMs() - SOURCE_TTL_MS
    for (const [name, { counts, updatedAtMs }] of this.sources) {
      if (updatedAtMs < oldestMs) this.sources.delete(name)
      else if (isIncluded(name)) for (const [fingerprint, count] of counts) totals.set(fingerprint, (totals.get(fingerprint) ?? 0) + count)
    }
    return [...totals]
  }
}
