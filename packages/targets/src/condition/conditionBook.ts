import type { Clock } from '@lovagehoist/common'
import { UNKNOWN_CHANCE, observe, relax } from './failureEstimate.js'
import type { OutcomeCounts } from './failureEstimate.js'

interface Estimate {
  chance: number
  atMs: number
}

/** Time without evidence after which a target is forgotten. */
const FORGET_MS = 60_000

/** Chances that targets are failing, from the outcomes of requests. */
export class ConditionBook {
  private readonly estimates = new Map<string, Estimate>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates a book that knows nothing.
   *
   * @param clock - Source of time.
   * @returns The book.
   */
  static create (clock: Clock): ConditionBook {
    return new ConditionBook(clock)
  }

  /**
   * Takes outcomes in.
   *
   * @param targetId - Target.
   * @param counts - Outcomes since the last call.
   */
  observe (targetId: string, counts: OutcomeCounts): void {
    this.estimates.set(targetId, { chance: observe(this.chance(targetId) ?? UNKNOWN_CHANCE, counts), atMs: this.clock.monotonicMs() })
  }

  /**
   * Tells the chance that a target is failing now.
   *
   * @param targetId - Target.
   * @returns The chance, 0 to 1; undefined without evidence.
   */
  chance (targetId: string): number | undefined {
    const estimate = this.estimates.get(targetId)
    return estimate === undefined ? undefined : relax(estimate.chance, this.clock.monotonicMs() - estimate.atMs)
  }

  /** Forgets a target, as when it has started anew. */
  forget (targetId: string): void {
    this.estimates.delete(targetId)
  }

  /** Forgets targets without recent evidence. */
  sweep (): void {
    const limitMs = this.clock.monotonicMs() - FORGET_MS
    for (const [targetId, { atMs }] of this.estimates) if (atMs < limitMs) this.estimates.delete(targetId)
  }
}
