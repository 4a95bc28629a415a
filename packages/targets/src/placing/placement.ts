import type { ChoiceInputs, Random } from '@lovagehoist/common'
import { requestFailureChance } from '../condition/failureEstimate.js'

/** What is known of a target when a request is placed. */
export interface Candidate extends Omit<ChoiceInputs, 'waitMs' | 'listingAgeMs'> {
  readonly targetId: string
  readonly slots: number
  /** Time since any daemon known to this one used the target. */
  readonly idleMs: number
  /** Whether no daemon known to this one has used the target yet. */
  readonly isNew: boolean
}

/** Which request is placed. */
export interface PlacementNeed {
  /** Time left until the answer is due. */
  readonly leftMs: number
  /** Whether requests that go first use the same targets. */
  readonly yieldsSlots: boolean
  /** Whether the daemon has just started and does not know yet which targets others use. */
  readonly isYoung?: boolean
}

/** Where a request goes, or why it has no place. */
export type Placement =
  | { readonly type: 'placed', readonly targetId: string, readonly waitMs: number, readonly costMs: number }
  | { readonly type: 'too-late', readonly waitMs: number }
  | { readonly type: 'no-target' }

/** A failed request counts as if its answer had taken this much longer; a caller's patience is several seconds. */
const FAILURE_COST_MS = 6_000
/** A refused try costs a round trip and a repeat out of the budget. */
const REFUSAL_COST_MS = 1_500
/** Bytes between zones are dear: another zone is used only when the own one is busy or failing. */
const OTHER_ZONE_COST_MS = 200
/** Opening a connection costs the target and a round trip, and connections are few; daemons keep to the targets that they know. */
const CONNECT_COST_MS = 100
/** Bonus that outweighs what is unknown of a target, so that it gets a request. */
const TRIAL_BONUS_MS = 1_500
/** Part of the requests that may go to a target for a trial: all daemons see the same need, and one request is enough. */
const TRIAL_SHARE = 0.12
/**
 * Time without use after which a target gets a trial, so that all sound capacity is in use and known when daemons or targets are lost. Targets
 * of other zones are left to their own zone, unless much of the service fails.
 */
const UNUSED_MS = 1_000
/** Chance of failing above which a target gets no trial. */
const TRIAL_CHANCE = 0.4
/** Mean chance of failing, or mean share of refusals, from which much of a service fails. */
const MUCH_FAILS_SHARE = 0.2
/** Share of the service time by which a full target counts slower than an empty one, so that load spreads. */
const SPREAD_SHARE = 0.5
/**
 * Costs that differ by this much make a choice e times as likely. Counts of other daemons are some 100 ms old: in a full pool, all would
 * choose the same target, so the draw widens with the load.
 */
const LEAST_SPREAD_MS = 20
const FULL_SPREAD_MS = 200
/** Candidates that cost more than the best by so many spreads are left out of the draw. */
const DRAWN_SPREADS = 3
/** Share of the time left that wait and work may take without a risk of being late, and the one at which lateness is sure. */
const SAFE_TIME_SHARE = 0.7
const LOST_TIME_SHARE = 1.3
/** Part of its time limit that a request's own work is planned to take at most: a short limit means short work, whatever others of the service take. */
const PLANNED_WORK_SHARE = 0.3
/** Chance of being late from which a request that has to wait is refused: it would hold a slot for nothing. */
const REFUSED_LATE_CHANCE = 0.75
/** Slots of each target that requests of lower rank leave free. */
const RESERVED_SLOTS = 1

/**
 * Expected wait for a slot.
 *
 * @param candidate - Target.
 * @param reservedSlots - Slots that the request may not use.
 * @returns Wait in milliseconds.
 */
export const expectedWaitMs = ({ slots, inProgress, serviceTimeMs }: Candidate, reservedSlots = 0): number => {
  const usable = Math.max(1, slots - reservedSlots)
  const ahead = inProgress - usable + 1
  return ahead <= 0 ? 0 : ahead / slots * serviceTimeMs
}

/** Chance that an answer comes after the time left. */
const lateChance = (candidate: Candidate, waitMs: number, leftMs: number): number => {
  const workMs = Math.min(candidate.serviceTimeMs, PLANNED_WORK_SHARE * leftMs)
  const share = (waitMs + workMs) / Math.max(1, leftMs)
  return Math.min(1, Math.max(0, (share - SAFE_TIME_SHARE) / (LOST_TIME_SHARE - SAFE_TIME_SHARE)))
}

const costOf = (candidate: Candidate, waitMs: number): number => {
  const { slots, inProgress, failingChance, refusalShare, serviceTimeMs, isOwnZone, isConnected } = candidate
  const load = Math.min(1, inProgress / slots)
  return waitMs + serviceTimeMs * (1 + SPREAD_SHARE * load * load) +
    requestFailureChance(failingChance) * FAILURE_COST_MS +
    refusalShare * REFUSAL_COST_MS +
    (isOwnZone ? 0 : OTHER_ZONE_COST_MS) +
    (isConnected ? 0 : CONNECT_COST_MS)
}

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

/** Whether much of a service fails or refuses work. */
const isMuchFailing = (candidates: readonly Candidate[]): boolean =>
  meanOf(candidates.map(({ failingChance }) => failingChance)) > MUCH_FAILS_SHARE ||
  meanOf(candidates.map(({ refusalShare }) => refusalShare)) > MUCH_FAILS_SHARE

const wantsTrial = ({ isNew, idleMs, failingChance, isOwnZone }: Candidate, isSpreading: boolean): boolean =>
  failingChance < TRIAL_CHANCE && (isNew || (idleMs > UNUSED_MS && (isOwnZone || isSpreading)))

interface Weighed {
  readonly candidate: Candidate
  readonly waitMs: number
  readonly costMs: number
  readonly lateChance: number
}

/** Draws a candidate, the cheaper the likelier. */
const draw = (weighed: readonly Weighed[], spreadMs: number, random: Random): Weighed | undefined => {
  const leastMs = Math.min(...weighed.map(({ costMs }) => costMs))
  const weights = weighed.map(({ costMs }) => costMs > leastMs + DRAWN_SPREADS * spreadMs ? 0 : Math.exp((leastMs - costMs) / spreadMs))
  let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0)
  return weighed.find((_, index) => {
    left -= weights[index] ?? 0
    return left < 0
  }) ?? weighed.find(({ costMs }) => costMs === leastMs)
}

/**
 * Chooses a target: the least expected time to an answer, failures counted as time.
 *
 * @param candidates - Targets that may run the request.
 * @param need - Request.
 * @param random - Draws between targets of like cost, so that daemons with the same view do not all choose the same.
 * @returns The place.
 */
export const place = (candidates: readonly Candidate[], need: PlacementNeed, random: Random): Placement => {
  if (candidates.length === 0) return { type: 'no-target' }
  const reserved = need.yieldsSlots ? RESERVED_SLOTS : 0
  // After a loss of many daemons, much fails for a moment that the new ones have not seen.
  const isSpreading = need.isYoung === true || isMuchFailing(candidates)
  const isTrial = random.next() < TRIAL_SHARE
  const weighed = candidates.map((candidate): Weighed => {
    const waitMs = expectedWaitMs(candidate, reserved)
    const late = lateChance(candidate, waitMs, need.leftMs)
    const bonusMs = isTrial && wantsTrial(candidate, isSpreading) ? TRIAL_BONUS_MS : 0
    return { candidate, waitMs, lateChance: late, costMs: costOf(candidate, waitMs) + late * FAILURE_COST_MS - bonusMs }
  })
  const hopeful = weighed.filter(({ waitMs, lateChance }) => waitMs === 0 || lateChance < REFUSED_LATE_CHANCE)
  if (hopeful.length === 0) return { type: 'too-late', waitMs: Math.min(...weighed.map(({ waitMs }) => waitMs)) }
  const load = meanOf(hopeful.map(({ candidate: { inProgress, slots } }) => Math.min(1, inProgress / slots)))
  const spreadMs = LEAST_SPREAD_MS + FULL_SPREAD_MS * load * load
  const chosen = draw(hopeful, spreadMs, random)
  if (chosen === undefined) return { type: 'no-target' }
  return { type: 'placed', targetId: chosen.candidate.targetId, waitMs: chosen.waitMs, costMs: chosen.costMs }
}
