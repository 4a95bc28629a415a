import type { ServiceRoom } from '@lovagehoist/common'

/** How short the capacity of a service is. */
export interface ShortageLevel {
  /** Requests in progress for each slot; above 1 some of them wait. */
  readonly load: number
  /** Expected wait of a new request for a slot, in milliseconds. */
  readonly waitMs: number
  /** Wait at targets whose queues are full, in milliseconds. */
  readonly queueLimitMs: number
  /** Expected time to serve a request once a slot is free, in milliseconds. */
  readonly serviceTimeMs: number
}

/** Properties of a request that decide whether it is admitted in a shortage. */
export interface ShortageRequest {
  /** Position among the priorities in use at the service; 0 is the most urgent. */
  readonly rank: number
  /** Number of priorities in use at the service. */
  readonly ranks: number
  /** Time left until the latency objective, in milliseconds. */
  readonly objectiveLeftMs: number
  /** Whether the request was sent to a target before. */
  readonly isRetry: boolean
}

/** Requests that a target queues beyond its slots; a full target refuses. */
const TARGET_QUEUE_PLACES = 8
/**
 * Share of the longest useful wait from which the most and the least urgent rank are refused in part. With 0.9 and 0.08 requests were refused that
 * targets could still have served in time: 228 instead of 169 refusals on a day with bursts whose callers do not come back.
 */
const FIRST_RANK_START = 1.2
const LAST_RANK_START = 0.3
/**
 * Rise of the wait, as a share of the longest useful one, over which a rank goes from admitted to refused. With half of it and starts from
 * 0.12 to 0.5, daemons whose counts are up to 0.8 s old refused and admitted in turns, and callers got less value than without admission.
 */
const RAMP_SHARE = 0.6
/** Part of a step between two ranks by which retries at second targets rank below first attempts. */
const RETRY_STEP = 0.1
/** Share of the first rank's admitted share that every rank keeps, so that none is starved. */
const MIN_RELATIVE_SHARE = 0.15
/** Admitted share of the first rank that is left in the worst shortage, so that its end is noticed by requests that run. */
const MIN_SHARE = 0.05
/** Service time as a multiple of the mean that must fit into the objective beside the wait. */
const SERVICE_TIME_MARGIN = 1.3
/** Longest useful wait as a share of that of a full queue at least; a shorter one makes the ramps steep, and oscillation leaves slots idle. */
const MIN_QUEUE_SHARE = 0.75

const clampShare = (value: number): number => Math.min(1, Math.max(0, value))

/**
 * Describes how short the capacity of a service is.
 *
 * @param room - What is known of its capacity.
 * @param serviceTimeMs - Time to serve a request without any wait.
 * @returns The level; without any known slot there is no shortage that admission could relieve.
 */
export const shortageLevelOf = ({ targets, slots, inProgress }: ServiceRoom, serviceTimeMs: number): ShortageLevel => {
  const load = slots <= 0 ? 0 : inProgress / slots
  const fullQueueMs = slots <= 0 ? 0 : TARGET_QUEUE_PLACES * targets / slots * serviceTimeMs
  return { load, waitMs: Math.max(0, load - 1) * serviceTimeMs, queueLimitMs: fullQueueMs, serviceTimeMs }
}

/**
 * Returns the longest wait that a request may be expected to have and still be worth its slot.
 *
 * @param level - Shortage of the service.
 * @param objectiveLeftMs - Time left until the latency objective.
 * @returns The wait in milliseconds.
 */
export const longestUsefulWaitMs = ({ queueLimitMs, serviceTimeMs }: ShortageLevel, objectiveLeftMs: number): number =>
  Math.max(MIN_QUEUE_SHARE * queueLimitMs, Math.min(queueLimitMs, objectiveLeftMs - SERVICE_TIME_MARGIN * serviceTimeMs))

/** Wait from which a request's rank is refused in part, as a share of the longest useful one. */
const startOf = ({ rank, ranks, isRetry }: ShortageRequest): number => {
  const step = ranks > 1 ? (FIRST_RANK_START - LAST_RANK_START) / (ranks - 1) : FIRST_RANK_START - LAST_RANK_START
  return FIRST_RANK_START - step * (rank + (isRetry ? RETRY_STEP : 0))
}

const rampShare = (pressure: number, start: number): number => clampShare(1 - (pressure - start) / RAMP_SHARE)

/**
 * Returns the share of requests like this one that are admitted. It depends on the level alone, so that daemons with the same information
 * agree, and so that it falls and rises with what they know.
 *
 * @param level - Shortage of the service.
 * @param request - Request.
 * @returns Share from 0 to 1; 1 while nothing waits, and where the service has requests of one priority only.
 */
export const admittedShare = (level: ShortageLevel, request: ShortageRequest): number => {
  // Among requests of one priority a refusal only takes from one caller what it gives to another.
  if (level.waitMs === 0 || request.ranks === 1) return 1
  const pressure = level.waitMs / longestUsefulWaitMs(level, request.objectiveLeftMs)
  const firstShare = Math.max(MIN_SHARE, rampShare(pressure, FIRST_RANK_START))
  return Math.max(rampShare(pressure, startOf(request)), MIN_RELATIVE_SHARE * firstShare)
}

/**
 * Returns the time after which a request like this one is expected to be admitted in full.
 *
 * @param level - Shortage of the service.
 * @param request - Request.
 * @returns Time in milliseconds for the queues to drain to the start of the rank's ramp.
 */
export const drainTimeMs = (level: ShortageLevel, request: ShortageRequest): number =>
  Math.max(0, level.waitMs - startOf(request) * longestUsefulWaitMs(level, request.objectiveLeftMs))
