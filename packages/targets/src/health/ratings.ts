import type { Target, TargetRating } from '@lovagehoist/common'
import type { Capacity } from './ejections/capacity.js'
import { countedSlots } from './ejections/capacity.js'
import type { EjectionView } from './ejections/ejectionView.js'
import { RETAINED_WEIGHT, chooseAvoidedTargets } from './evidence/avoidance.js'
import type { TargetCounts } from './evidence/localEvidence.js'

/** Share of work of a target in trial. */
export const TRIAL_WEIGHT = 0.05

/** Rating with the reason for it. */
export interface ReasonedRating extends TargetRating {
  readonly reason: 'ejected' | 'trial' | 'given-back' | 'local-evidence' | 'floor'
}

/** Ratings of the targets of a service that are not plainly healthy. */
export interface Ratings {
  readonly byTarget: ReadonlyMap<string, ReasonedRating>
  readonly validUntilMs: number
}

/** What ratings are made from. */
export interface RatingInputs {
  readonly view: EjectionView
  readonly targets: readonly Target[]
  readonly capacity: Capacity
  readonly counts: readonly TargetCounts[]
  readonly keptIn: ReadonlySet<string>
  readonly validUntilMs: number
}

/**
 * Rates the targets of a service.
 *
 * @param inputs - Ejections, own evidence and capacity.
 * @returns The ratings that differ from healthy; never all of them without work.
 */
export const ratingsOf = (inputs: RatingInputs): Ratings => {
  const { view, targets, capacity, counts, keptIn, validUntilMs } = inputs
  const byTarget = new Map<string, ReasonedRating>()
  const outSlots = [...view.statuses.keys()].reduce((sum, targetId) => sum + countedSlots(capacity, targetId), 0)
  const avoided = chooseAvoidedTargets({ counts, capacity, ejectedSlots: outSlots, retained: keptIn, ejectedIds: new Set(view.statuses.keys()) })
  for (const [targetId, { weight, reason }] of avoided) byTarget.set(targetId, { status: 'avoided', weight, reason, idempotentOnly: true })
  for (const targetId of view.readmitted) byTarget.set(targetId, { status: 'avoided', weight: RETAINED_WEIGHT, reason: 'given-back', idempotentOnly: true })
  const usable = targets.filter(target => !target.isLeaving)
  const hasPlain = usable.some(target => !byTarget.has(target.id) && !view.statuses.has(target.id))
  if (!hasPlain) for (const [targetId, rating] of byTarget) byTarget.set(targetId, { ...rating, idempotentOnly: false })
  for (const [targetId, status] of view.statuses) {
    byTarget.set(targetId, status === 'ejected'
      ? { status, weight: 0, reason: status, idempotentOnly: false }
      : { status, weight: TRIAL_WEIGHT, reason: status, idempotentOnly: true })
  }
  return { byTarget, validUntilMs }
}
