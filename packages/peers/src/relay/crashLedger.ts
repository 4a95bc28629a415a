import type { Clock, CrashCounts } from '@lovagehoist/common'

/** Time after which a silent source is forgotten. */
const MEMORY_MS = 60_000

interface Source {
  readonly counts: ReadonlyMap<string, number>
  readonly atMs: number
}

/** Sums the crashes that daemons and zones report. */
export class CrashLedger {
  private readonly sources = new Map<string, Source>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates an empty ledger.
   *
   * @param clock - Source of time.
   * @returns The ledger.
   */
  static create (clock: Clock): CrashLedger {
    return new CrashLedger(clock)
  }

  /**
   * Takes the counts of a source, which replace its earlier ones.
   *
   * @param source - Daemon or zone.
   * @param counts - All its counts.
   */
  take (source: string, counts: CrashCounts): void {
    if (counts.length > 0) this.sources.set(source, { counts: new Map(counts), atMs: this.clock.monotonicMs() })
  }

  /**
   * Sums counts.
   *
   * @param isIncluded - Which sources.
   * @returns The sums.
   */
  sums (isIncluded: (source: string) => boolean = () => true): CrashCounts {
    const sums = new Map<string, number>()
    const limitMs = this.clock.monotonicMs() - MEMORY_MS
    for (const [name, { counts, atMs }] of this.sources) {
      if (atMs < limitMs) this.sources.delete(name)
      else if (isIncluded(name)) for (const [fingerprint, count] of counts) sums.set(fingerprint, (sums.get(fingerprint) ?? 0) + count)
    }
    return [...sums]
  }
}
