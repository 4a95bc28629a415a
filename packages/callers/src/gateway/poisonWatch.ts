import type { Clock, CrashCounts } from '@lovagehoist/common'
import { murmurHash } from '@lovagehoist/common'

/** Crashes after which a request is stopped. */
const STOP_AFTER = 3
/** Time for which crashes are remembered: such a request comes again within seconds. */
const MEMORY_MS = 60_000

interface Suspect {
  crashes: number
  atMs: number
}

/** Recognises requests that crash each target that runs them. */
export class PoisonWatch {
  private readonly own = new Map<string, Suspect>()
  private readonly fleet = new Map<string, Suspect>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates a watch without suspects.
   *
   * @param clock - Source of time.
   * @returns The watch.
   */
  static create (clock: Clock): PoisonWatch {
    return new PoisonWatch(clock)
  }

  /**
   * Tells whether a request is to be stopped.
   *
   * @param describe - Gives what is equal in all its repeats; asked only while there are suspects.
   * @returns Whether it crashed targets often enough.
   */
  isStopped (describe: () => string): boolean {
    if (this.own.size === 0 && this.fleet.size === 0) return false
    const fingerprint = fingerprintOf(describe())
    return Math.max(this.countOf(this.own, fingerprint), this.countOf(this.fleet, fingerprint)) >= STOP_AFTER
  }

  /** Notes that a target broke the connection of a request that it ran. */
  noteCrash (description: string): void {
    const fingerprint = fingerprintOf(description)
    this.own.set(fingerprint, { crashes: this.countOf(this.own, fingerprint) + 1, atMs: this.clock.monotonicMs() })
  }

  /** Crashes that this daemon saw lately. */
  readonly takeCrashes = (): CrashCounts => {
    const limitMs = this.clock.monotonicMs() - MEMORY_MS
    for (const [fingerprint, { atMs }] of this.own) if (atMs < limitMs) this.own.delete(fingerprint)
    return [...this.own].map(([fingerprint, { crashes }]) => [fingerprint, crashes] as const)
  }

  /** Takes the sums of the fleet. */
  readonly takeFleetCrashes = (counts: CrashCounts): void => {
    const atMs = this.clock.monotonicMs()
    for (const [fingerprint, crashes] of counts) this.fleet.set(fingerprint, { crashes, atMs })
    for (const [fingerprint, suspect] of this.fleet) if (suspect.atMs < atMs - MEMORY_MS) this.fleet.delete(fingerprint)
  }

  private countOf (suspects: ReadonlyMap<string, Suspect>, fingerprint: string): number {
    const suspect = suspects.get(fingerprint)
    return suspect === undefined || this.clock.monotonicMs() - suspect.atMs > MEMORY_MS ? 0 : suspect.crashes
  }
}

const fingerprintOf = (description: string): string => murmurHash(description).toString(36)
