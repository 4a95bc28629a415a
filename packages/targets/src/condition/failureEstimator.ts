import type { Clock } from '@lovagehoist/common'
import { PRIOR_CHANCE, updateChance, decayToPrior } from './failureEstimate.js'
import type { RequestOutcomeCounts } from './failureEstimate.js'

interface Estimate {
  chance: number
  atMs: number
}

/** Time without new outcomes after which the estimate of a target is dropped. */
const ESTIMATE_TTL_MS = 60_000

/** Estimates for each target the probability that it is failing, from the outcomes of requests. */
export class FailureEstimator {
  private readonly estimates = new Map<string, Estimate>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates an estimator without any outcomes.
   *
   * @param clock - Source of time.
   * @returns The estimator.
   */
  static create (clock: Clock): FailureEstimator {
    return new FailureEstimator(clock)
  }

  /**
   * Updates the estimate of a target with new outcomes.
   *
   * @param targetId - Target.
   * @param counts - Outcomes since the last call.
   */
  recordOutcomes (targetId: string, counts: RequestOutcomeCounts): void {
    this.estimates.set(targetId, { chance: updateChance(this.failingChance(targetId) ?? PRIOR_CHANCE, counts), atMs: this.clock.monotonicMs() })
  }

  /**
   * Returns the probability that a target is failing now.
   *
   * @param targetId - Target.
   * @returns The probability, 0 to 1; undefined if no outcome was recorded.
   */
  failingChance (targetId: string): number | undefined {
    const estimate = this.estimates.get(targetId)
    return estimate === undefined ? undefined : decayToPrior(estimate.chance, this.clock.monotonicMs() - estimate.atMs)
  }

  /** Drops the estimate of a target, for example after the target restarted. */
  forget (targetId: string): void {
    this.estimates.delete(targetId)
  }

  /** Drops estimates without recent outcomes. */
  sweep (): void {
    const limitMs = this.clock.monotonicMs() - ESTIMATE_TTL_MS
    for (const [targetId, { atMs }] of this.estimates) if (atMs < limitMs) this.estimates.delete(targetId)
  }
}
