import type { Capacity } from '../ejections/capacity.js'
import { ejectableSlots, countedSlots } from '../ejections/capacity.js'
import { NO_COUNTS, addCounts, subtractCounts } from './outcomeCounts.js'
import { significantExcess } from './findOutliers.js'
import type { TargetCounts } from './localEvidence.js'
import { LOCAL_PROFILE } from './profiles.js'

/** Weight of a target that this daemon avoids on its own evidence; 1 is the full weight. */
export const AVOIDED_WEIGHT = 0.1
/** Weight of an unhealthy target that can't be taken out of service because of the capacity floor. */
export const RETAINED_WEIGHT = 0.25

/** Targets with a reduced weight, by id. */
export type AvoidedTargets = ReadonlyMap<string, { readonly weight: number, readonly reason: 'local-evidence' | 'floor' }>

/** Inputs of the choice, for one service. */
export interface AvoidanceInputs {
  /** Outcomes that this daemon counted itself. */
  readonly counts: readonly TargetCounts[]
  readonly capacity: Capacity
  /** Slots of the targets in `ejectedIds`. */
  readonly ejectedSlots: number
  /** Outliers whose ejection was refused because of the capacity floor. */
  readonly retained: ReadonlySet<string>
  /** Targets that are ejected or in trial. */
  readonly ejectedIds: ReadonlySet<string>
}

/** When more than this share of the pool looks bad, no target is avoided. */
const MAX_AVOIDED_SHARE = 0.5

/**
 * Chooses the targets to which this daemon sends fewer requests. Targets beyond those that the floor permits to lose get the milder `RETAINED_WEIGHT`.
 *
 * @param inputs - Own counts, capacity and targets that are ejected already.
 * @returns Targets with their weights, none of them 0.
 */
export const chooseAvoidedTargets = ({ counts, capacity, ejectedSlots, retained, ejectedIds }: AvoidanceInputs): AvoidedTargets => {
  const candidates = counts.filter(item => !ejectedIds.has(item.targetId))
  const total = candidates.map(item => item.long).reduce(addCounts, NO_COUNTS)
  const excessOf = ({ long }: TargetCounts): number => {
    const rest = subtractCounts(total, long)
    return Math.max(significantExcess(long, rest, LOCAL_PROFILE, 'failures') ?? 0, significantExcess(long, rest, LOCAL_PROFILE, 'slow') ?? 0)
  }
  const outliers = candidates.map(item => ({ targetId: item.targetId, excess: excessOf(item) })).filter(item => item.excess > 0 && !retained.has(item.targetId))
  if (outliers.length > MAX_AVOIDED_SHARE * capacity.slotsById.size) return new Map()
  const chosen = new Map<string, { weight: number, reason: 'local-evidence' | 'floor' }>()
  for (const targetId of retained) if (!ejectedIds.has(targetId)) chosen.set(targetId, { weight: RETAINED_WEIGHT, reason: 'floor' })
  let remainingSlots = ejectableSlots(capacity) - ejectedSlots
  for (const { targetId } of [...outliers].sort((a, b) => b.excess - a.excess)) {
    remainingSlots -= countedSlots(capacity, targetId)
    chosen.set(targetId, remainingSlots >= 0 ? { weight: AVOIDED_WEIGHT, reason: 'local-evidence' } : { weight: RETAINED_WEIGHT, reason: 'floor' })
  }
  return chosen
}
