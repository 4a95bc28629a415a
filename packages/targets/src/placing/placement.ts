import type { Random } from '@lovagehoist/common'
import { requestFailureChance } from '../condition/failureEstimate.js'
import type { Candidate, PlacementRequest } from './candidate.js'
import { chooseProbe } from './probing.js'

/** Target for a request, or the reason why there is none. */
export type Placement =
  | { readonly type: 'placed', readonly targetId: string, readonly waitMs: number, readonly costMs: number, readonly isProbe: boolean }
  | { readonly type: 'too-late', readonly waitMs: number }
  | { readonly type: 'no-target' }

/** A failed request costs as much as this much extra latency; callers wait for several seconds at most. */
const FAILURE_COST_MS = 6_000
/** A refused attempt costs a round trip and part of the retry budget. */
const REFUSAL_COST_MS = 1_500
/** Traffic between zones is expensive: another zone is used only when the targets of the own zone are busy or failing. */
const CROSS_ZONE_COST_MS = 200
/** A new connection costs work at the target and a round trip, and connections are limited, so daemons prefer targets they are connected to. */
const CONNECT_COST_MS = 200
/** Share of the service time that is added to the cost of a full target, so that load spreads. */
const FULL_TARGET_PENALTY_SHARE = 0.5
/**
 * Softmax temperature: a cost difference of this much changes the weight by a factor of e. Counts from other daemons are about
 * 100 ms old, so in a full pool all daemons would choose the same target; the temperature therefore rises with the load.
 */
const MIN_TEMPERATURE_MS = 20
const LOAD_TEMPERATURE_MS = 200
/** Candidates whose cost exceeds the lowest cost by more than this many temperatures are excluded. */
const MAX_DRAWN_TEMPERATURES = 3
/** Shares of the remaining time that wait and work may take: up to the first there is no risk of being late; from the second, lateness is certain. */
const ON_TIME_SHARE = 0.7
const LATE_TIME_SHARE = 1.3
/** Assumed maximum of a request's service time as a share of its remaining time: a short deadline implies short work, whatever the mean of the service. */
const MAX_SERVICE_TIME_SHARE = 0.3
/** Probability of being late from which a request that has to wait is refused, because it would only waste a slot. */
const MAX_LATE_CHANCE = 0.75
/** Slots of each target that lower-priority requests leave free. */
const RESERVED_SLOTS = 1

/**
 * Estimates the wait for a free slot.
 *
 * @param candidate - Target.
 * @param reservedSlots - Slots that the request must leave free.
 * @returns The wait in milliseconds.
 */
export const expectedWaitMs = ({ slots, inProgress, serviceTimeMs }: Candidate, reservedSlots = 0): number => {
  const usable = Math.max(1, slots - reservedSlots)
  const ahead = inProgress - usable + 1
  return ahead <= 0 ? 0 : ahead / slots * serviceTimeMs
}

/** Estimates the probability that the response arrives after the remaining time. */
const lateChance = (candidate: Candidate, waitMs: number, remainingMs: number): number => {
  const serviceTimeMs = Math.min(candidate.serviceTimeMs, MAX_SERVICE_TIME_SHARE * remainingMs)
  const share = (waitMs + serviceTimeMs) / Math.max(1, remainingMs)
  return Math.min(1, Math.max(0, (share - ON_TIME_SHARE) / (LATE_TIME_SHARE - ON_TIME_SHARE)))
}

/** A request with less time is not sent: the time limit of an earlier attempt may fire a fraction of a millisecond before the deadline, and checks may have taken the rest. */
const MIN_REMAINING_MS = 1

const costOf = (candidate: Candidate, waitMs: number): number => {
  const { slots, inProgress, failingChance, refusalShare, serviceTimeMs, isOwnZone, isConnected } = candidate
  const load = Math.min(1, inProgress / slots)
  return waitMs + serviceTimeMs * (1 + FULL_TARGET_PENALTY_SHARE * load * load) +
    requestFailureChance(failingChance) * FAILURE_COST_MS +
    refusalShare * REFUSAL_COST_MS +
    (isOwnZone ? 0 : CROSS_ZONE_COST_MS) +
    (isConnected ? 0 : CONNECT_COST_MS)
}

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

interface ScoredCandidate {
  readonly candidate: Candidate
  readonly waitMs: number
  readonly costMs: number
  readonly lateChance: number
}

/** Draws a candidate at random, with softmax weights by cost; undefined without any. */
const drawCandidate = (scored: readonly ScoredCandidate[], random: Random): ScoredCandidate | undefined => {
  const load = meanOf(scored.map(({ candidate: { inProgress, slots } }) => Math.min(1, inProgress / slots)))
  const temperatureMs = MIN_TEMPERATURE_MS + LOAD_TEMPERATURE_MS * load * load
  const lowestCostMs = Math.min(...scored.map(({ costMs }) => costMs))
  const weights = scored.map(({ costMs }) => costMs > lowestCostMs + MAX_DRAWN_TEMPERATURES * temperatureMs ? 0 : Math.exp((lowestCostMs - costMs) / temperatureMs))
  let remainingWeight = random.next() * weights.reduce((sum, weight) => sum + weight, 0)
  return scored.find((_, index) => {
    remainingWeight -= weights[index] ?? 0
    return remainingWeight < 0
  }) ?? scored.find(({ costMs }) => costMs === lowestCostMs)
}

/**
 * Chooses the target with the lowest expected time to a response, with failures converted to time.
 *
 * @param candidates - Targets that may run the request.
 * @param request - Request to place.
 * @param random - Randomizes the choice between targets of similar cost, so that daemons with the same information don't all choose the same one.
 * @returns The chosen target, or the reason why there is none.
 */
export const placeRequest = (candidates: readonly Candidate[], request: PlacementRequest, random: Random): Placement => {
  if (candidates.length === 0) return { type: 'no-target' }
  if (request.remainingMs < MIN_REMAINING_MS) return { type: 'too-late', waitMs: 0 }
  const reserved = request.hasHigherPriorityTraffic ? RESERVED_SLOTS : 0
  const scored = candidates.map((candidate): ScoredCandidate => {
    const waitMs = expectedWaitMs(candidate, reserved)
    const late = lateChance(candidate, waitMs, request.remainingMs)
    return { candidate, waitMs, lateChance: late, costMs: costOf(candidate, waitMs) + late * FAILURE_COST_MS }
  })
  const feasible = scored.filter(({ waitMs, lateChance }) => waitMs === 0 || lateChance < MAX_LATE_CHANCE)
  const probed = chooseProbe(candidates, request, candidate => expectedWaitMs(candidate, reserved) === 0, random)
  const chosen = feasible.find(({ candidate }) => candidate === probed) ?? drawCandidate(feasible, random)
  if (chosen === undefined) return { type: 'too-late', waitMs: Math.min(...scored.map(({ waitMs }) => waitMs)) }
  return { type: 'placed', targetId: chosen.candidate.targetId, waitMs: chosen.waitMs, costMs: chosen.costMs, isProbe: chosen.candidate === probed }
}
