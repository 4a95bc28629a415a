import type { Capacity } from '../ejections/capacity.js'
import { ejectableSlots, countedSlots } from '../ejections/capacity.js'
import { NO_COUNTS, addCounts, subtractCounts } from './counts.js'
import { excessOf } from './judgement.js'
import type { TargetCounts } from './localEvidence.js'
import { LOCAL_PROFILE } from './profiles.js'

/** Share of work for a target that this daemon avoids by itself. */
export const AVOIDED_WEIGHT = 0.1
/** Share of work for a sick target that the floor keeps in. */
export const KEPT_WEIGHT = 0.25

/** Targets that get a reduced share, with the reason. */
export type Avoidance = ReadonlyMap<string, { readonly weight: number, readonly reason: 'local-evidence' | 'floor' }>

/** What avoidance is decided from. */
export interface AvoidanceInputs {
  readonly counts: readonly TargetCounts[]
  readonly capacity: Capacity
  /** Slots that are out by ejection. */
  readonly outSlots: number
  /** Sick targets that the floor keeps in. */
  readonly keptIn: ReadonlySet<string>
  readonly out: ReadonlySet<string>
}

const MOST_OF_POOL_SHARE = 0.5

/**
 * Chooses the targets that this daemon gives less work; the floor stays at full weight.
 *
 * @param inputs - Own counts and what is out already.
 * @returns Targets with their share of work, none of them 0.
 */
export const avoid = ({ counts, capacity, outSlots, keptIn, out }: AvoidanceInputs): Avoidance => {
  const used = counts.filter(item => !out.has(item.targetId))
  const total = used.map(item => item.long).reduce(addCounts, NO_COUNTS)
  const excess = ({ long }: TargetCounts): number => {
    const rest = subtractCounts(total, long)
    return Math.max(excessOf(long, rest, LOCAL_PROFILE, 'failures') ?? 0, excessOf(long, rest, LOCAL_PROFILE, 'slow') ?? 0)
  }
  const bad = used.map(item => ({ targetId: item.targetId, excess: excess(item) })).filter(item => item.excess > 0 && !keptIn.has(item.targetId))
  if (bad.length > MOST_OF_POOL_SHARE * capacity.slotsById.size) return new Map()
  const chosen = new Map<string, { weight: number, reason: 'local-evidence' | 'floor' }>()
  for (const targetId of keptIn) if (!out.has(targetId)) chosen.set(targetId, { weight: KEPT_WEIGHT, reason: 'floor' })
  let leftSlots = ejectableSlots(capacity) - outSlots
  for (const { targetId } of [...bad].sort((a, b) => b.excess - a.excess)) {
    leftSlots -= countedSlots(capacity, targetId)
    chosen.set(targetId, leftSlots >= 0 ? { weight: AVOIDED_WEIGHT, reason: 'local-evidence' } : { weight: KEPT_WEIGHT, reason: 'floor' })
  }
  return chosen
}
