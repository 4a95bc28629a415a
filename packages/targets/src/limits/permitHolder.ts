import type { Clock, PerTarget, SettledPermits } from '@lovagehoist/common'

/** Time for which a permit may be used after it arrived. */
export const PERMIT_LIFETIME_MS = 3_000
/** Age from which a permit may be used by requests that others outrank, so that urgent ones have the first chance. */
const OUTRANKED_MIN_AGE_MS = 250

/** Permits of this daemon for single requests to limited targets. */
export class PermitHolder {
  /** Times of arrival by target, oldest first. */
  private readonly arrivals = new Map<string, number[]>()
  private readonly settled = new Map<string, SettledPermits>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates a holder without permits.
   *
   * @param clock - Source of time.
   * @returns The holder.
   */
  static create (clock: Clock): PermitHolder {
    return new PermitHolder(clock)
  }

  /** Adds permits that arrived now. */
  add (targetId: string, count: number): void {
    const nowMs = this.clock.monotonicMs()
    this.arrivals.set(targetId, [...this.valid(targetId), ...Array.from({ length: count }, () => nowMs)])
  }

  /**
   * Tells whether a request may use a permit for a target.
   *
   * @param targetId - Target.
   * @param isOutranked - Whether requests of higher priority use the same service.
   */
  has (targetId: string, isOutranked: boolean): boolean {
    const [oldestMs] = this.valid(targetId)
    return oldestMs !== undefined && (!isOutranked || this.clock.monotonicMs() - oldestMs >= OUTRANKED_MIN_AGE_MS)
  }

  /** Uses the permit for a target that expires first. */
  spend (targetId: string): void {
    const valid = this.valid(targetId)
    if (valid.length === 0) return
    this.arrivals.set(targetId, valid.slice(1))
    this.settle(targetId, { used: 1, unused: 0 })
  }

  /** Drops all permits, since it is not known how old they are; they count as unused. */
  drop (): void {
    for (const [targetId, arrivals] of this.arrivals) if (arrivals.length > 0) this.settle(targetId, { used: 0, unused: arrivals.length })
    this.arrivals.clear()
  }

  /** Permits that were used or have expired since the start of this process, by target. */
  settledPermits (): PerTarget<SettledPermits> {
    for (const targetId of [...this.arrivals.keys()]) if (this.valid(targetId).length === 0) this.arrivals.delete(targetId)
    return [...this.settled]
  }

  /** Drops the permits of a target that was removed or restarted. */
  forget (targetId: string): void {
    this.arrivals.delete(targetId)
    this.settled.delete(targetId)
  }

  /** Permits for a target that have not expired; counts the others as unused. */
  private valid (targetId: string): readonly number[] {
    const arrivals = this.arrivals.get(targetId) ?? []
    const oldestMs = this.clock.monotonicMs() - PERMIT_LIFETIME_MS
    const valid = arrivals.filter(atMs => atMs > oldestMs)
    if (valid.length === arrivals.length) return arrivals
    this.arrivals.set(targetId, valid)
    this.settle(targetId, { used: 0, unused: arrivals.length - valid.length })
    return valid
  }

  private settle (targetId: string, { used, unused }: SettledPermits): void {
    const before = this.settled.get(targetId) ?? { used: 0, unused: 0 }
    this.settled.set(targetId, { used: before.used + used, unused: before.unused + unused })
  }
}
