import type { Clock, CrashCounts } from '@lovagehoist/common'
import { murmurHash } from '@lovagehoist/common'

/** Number of crashes from which a request is quarantined. */
const MIN_CRASHES = 3
/** Retention of crash counts: callers repeat such a request within seconds. */
const RETENTION_MS = 60_000

/** Crashes recorded for a request, with the fingerprint that equal requests share. */
export interface CrashCountDescription {
  readonly fingerprint: string
  readonly ownCrashes: number
  readonly fleetCrashes: number
}

interface CrashRecord {
  crashes: number
  atMs: number
}

/** Detects poison requests: requests that crash every target that executes them. */
export class PoisonRequestDetector {
  private readonly ownCrashes = new Map<string, CrashRecord>()
  private readonly fleetCrashes = new Map<string, CrashRecord>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates a detector without recorded crashes.
   *
   * @param clock - Source of time.
   * @returns The detector.
   */
  static create (clock: Clock): PoisonRequestDetector {
    return new PoisonRequestDetector(clock)
  }

  /**
   * Checks whether a request must not be sent to any further target.
   *
   * @param describe - Returns a description that is equal for all repetitions of the request; called only while crashes are recorded.
   * @returns Whether equal requests crashed targets often enough, here or in the whole fleet.
   */
  isPoison (describe: () => string): boolean {
    if (this.ownCrashes.size === 0 && this.fleetCrashes.size === 0) return false
    const fingerprint = fingerprintOf(describe())
    return Math.max(this.crashCountOf(this.ownCrashes, fingerprint), this.crashCountOf(this.fleetCrashes, fingerprint)) >= MIN_CRASHES
  }

  /** What is known of a request, for the log. */
  describe (description: string): CrashCountDescription {
    const fingerprint = fingerprintOf(description)
    return { fingerprint, ownCrashes: this.crashCountOf(this.ownCrashes, fingerprint), fleetCrashes: this.crashCountOf(this.fleetCrashes, fingerprint) }
  }

  /** Records that a target reset the connection while it executed a request. */
  recordCrash (description: string): void {
    const fingerprint = fingerprintOf(description)
    this.ownCrashes.set(fingerprint, { crashes: this.crashCountOf(this.ownCrashes, fingerprint) + 1, atMs: this.clock.monotonicMs() })
  }

  /** Crash counts by fingerprint that this daemon recorded within the retention time; drops older ones. */
  readonly crashCounts = (): CrashCounts => {
    const limitMs = this.clock.monotonicMs() - RETENTION_MS
    for (const [fingerprint, { atMs }] of this.ownCrashes) if (atMs < limitMs) this.ownCrashes.delete(fingerprint)
    return [...this.ownCrashes].map(([fingerprint, { crashes }]) => [fingerprint, crashes] as const)
  }

  /** Stores the crash counts of the whole fleet and drops expired ones. */
  readonly applyFleetCrashes = (counts: CrashCounts): void => {
    const atMs = this.clock.monotonicMs()
    for (const [fingerprint, crashes] of counts) this.fleetCrashes.set(fingerprint, { crashes, atMs })
    for (const [fingerprint, record] of this.fleetCrashes) if (record.atMs < atMs - RETENTION_MS) this.fleetCrashes.delete(fingerprint)
  }

  private crashCountOf (records: ReadonlyMap<string, CrashRecord>, fingerprint: string): number {
    const record = records.get(fingerprint)
    return record === undefined || this.clock.monotonicMs() - record.atMs > RETENTION_MS ? 0 : record.crashes
  }
}

const fingerprintOf = (description: string): string => murmurHash(description).toString(36)
