import type { Target, TargetRating } from '@lovagehoist/common'
import type { Capacity } from './ejections/capacity.js'
import { countedSlots } from './ejections/capacity.js'
import type { EjectionView } from './ejections/ejectionView.js'
import { RETAINED_WEIGHT, chooseAvoidedTargets } from './evidence/avoidance.js'
import type { TargetCounts } from './evidence/localEvidence.js'

/** Weight of a target in trial; 1 is the full weight. */
export const TRIAL_WEIGHT = 0.05

/** Rating of a target with its reason. */
export interface ReasonedRating extends TargetRating {
  /**
   * `given-back` is an ejected target in use because of the capacity floor, `floor` one whose ejection or avoidance the floor limits, and
   * `local-evidence` one that this daemon avoids by itself.
   */
  readonly reason: 'ejected' | 'trial' | 'given-back' | 'local-evidence' | 'floor'
}

/** Ratings of the targets of a service that are ejected, in trial or avoided. */
export interface ServiceRatings {
  readonly byTarget: ReadonlyMap<string, ReasonedRating>
  /** Monotonic time after which the ratings must be computed again. */
  readonly validUntilMs: number
}

/** Inputs of the ratings, for one service. */
export interface RatingInputs {
  readonly view: EjectionView
  readonly targets: readonly Target[]
  readonly capacity: Capacity
  /** Outcomes that this daemon counted itself. */
  readonly counts: readonly TargetCounts[]
  /** Outliers whose ejection was refused because of the capacity floor. */
  readonly retained: ReadonlySet<string>
  /** Targets in trial that get no requests, because the service has none that can be retried. */
  readonly starvedTrials: ReadonlySet<string>
  readonly validUntilMs: number
}

/**
 * Rates the targets of a service.
 *
 * @param inputs - Ejections, own evidence and capacity.
 * @returns The ratings of the targets that are not healthy; the targets never all have weight 0.
 */
export const rateTargets = (inputs: RatingInputs): ServiceRatings => {
  const { view, targets, capacity, counts, retained, starvedTrials, validUntilMs } = inputs
  const byTarget = new Map<string, ReasonedRating>()
  const ejectedSlots = [...view.statuses.keys()].reduce((sum, targetId) => sum + countedSlots(capacity, targetId), 0)
  const avoidedTargets = chooseAvoidedTargets({ counts, capacity, ejectedSlots, retained, ejectedIds: new Set(view.statuses.keys()) })
  for (const [targetId, { weight, reason }] of avoidedTargets) byTarget.set(targetId, { status: 'avoided', weight, reason, idempotentOnly: reason !== 'floor' })
  for (const targetId of view.readmitted) byTarget.set(targetId, { status: 'avoided', weight: RETAINED_WEIGHT, reason: 'given-back', idempotentOnly: false })
  const activeTargets = targets.filter(target => !target.isLeaving)
  const hasHealthyTarget = activeTargets.some(target => !byTarget.has(target.id) && !view.statuses.has(target.id))
  if (!hasHealthyTarget) for (const [targetId, rating] of byTarget) byTarget.set(targetId, { ...rating, idempotentOnly: false })
  for (const [targetId, status] of view.statuses) {
    byTarget.set(targetId, status === 'ejected'
      ? { status, weight: 0, reason: status, idempotentOnly: false }
      : { status, weight: TRIAL_WEIGHT, reason: status, idempotentOnly: !starvedTrials.has(targetId) })
  }
  return { byTarget, validUntilMs }
}
