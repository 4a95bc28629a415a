import type { Random } from '@lovagehoist/common'
import type { Candidate, PlacementRequest } from './candidate.js'

/** Share of the requests that probe targets of the own zone which no daemon has used yet. */
const NEW_TARGET_PROBE_SHARE = 0.12
/** Idle time from which a target gets probes, so that all healthy capacity is in use and known when daemons or targets are lost. */
const PROBE_IDLE_MS = 500
/** Additional idle time for targets of other zones, in which the daemons there probe them and report that they did. */
const OTHER_ZONE_DELAY_MS = 700
/** Additional idle time in which daemons that are connected to the target may probe it, and the same while few are because many have been lost. */
const UNCONNECTED_DELAY_MS = 400
const SHORT_UNCONNECTED_DELAY_MS = 200
/** Idle time from which a target that is probably failing gets a trial: a request that can be retried loses little there, another may be lost. */
const RETRYABLE_TRIAL_IDLE_MS = 1_000
const TRIAL_IDLE_MS = 1_700
/** Share of a service's targets that must be in use unless the request says otherwise. */
const DEFAULT_MIN_USED_SHARE = 0.8
/** Idle time from which a target is not in use. One that failed more recently is expected to fail still, and does not count. */
const UNUSED_IDLE_MS = 2_000
/** Targets of the own zone from which their use alone counts; what is known of the use of other zones' targets may be seconds old in a large fleet. */
const MIN_OWN_ZONE_TARGETS = 8
/** Time over which the share of requests that probe an idle target rises to all, so that a busy service needs few of them and a small one still sends one. */
const PROBE_RAMP_MS = 500
/** As above, for trials of targets that are probably failing. */
const TRIAL_RAMP_MS = 1_500
/** Failure probability, or refusal share, from which a target is probably failing. */
const MIN_SUSPECT_CHANCE = 0.25
/** Mean failure probability, or mean refusal share, from which a large part of the service counts as failing. */
const WIDESPREAD_FAILURE_SHARE = 0.2

/** Which idle targets may get probes. */
interface ProbePolicy {
  /** Whether targets of other zones are probed as early as those of the own zone. */
  readonly probesOtherZones: boolean
  /** Whether requests that can't be retried may go to probably failing targets. */
  readonly isTrialNeeded: boolean
  /** Number of targets of the own zone that no daemon has used yet. */
  readonly newTargets: number
}

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

/** Whether a large part of the service fails or refuses requests. */
const isFailureWidespread = (candidates: readonly Candidate[]): boolean =>
  meanOf(candidates.map(({ failingChance }) => failingChance)) > WIDESPREAD_FAILURE_SHARE ||
  meanOf(candidates.map(({ refusalShare }) => refusalShare)) > WIDESPREAD_FAILURE_SHARE

const isNewInOwnZone = ({ isNew, isOwnZone }: Candidate): boolean => isNew && isOwnZone

const isSuspect = ({ failingChance, refusalShare }: Candidate): boolean => Math.max(failingChance, refusalShare) >= MIN_SUSPECT_CHANCE

/** Rises over a time, from 0 to 1. */
const rampUp = (elapsedMs: number, rampMs: number): number => Math.min(1, Math.max(0, elapsedMs) / rampMs) ** 2

/** Whether too few targets are in use for those that probably fail to be left alone; in a large service each zone looks after its own targets. */
const needsTrials = (allCandidates: readonly Candidate[], minUsedShare: number): boolean => {
  const ownZone = allCandidates.filter(({ isOwnZone }) => isOwnZone)
  const candidates = ownZone.length >= MIN_OWN_ZONE_TARGETS ? ownZone : allCandidates
  const unused = candidates.filter(({ idleMs }) => idleMs >= UNUSED_IDLE_MS).length
  const used = candidates.filter(candidate => candidate.idleMs < UNUSED_IDLE_MS && !isSuspect(candidate)).length
  return used < minUsedShare * (used + unused)
}

/** Probability that a request is sent to a probably failing candidate. A request in progress there will tell what another one would. */
const trialChance = ({ inProgress, idleMs, isOwnZone }: Candidate, { isIdempotent = false }: PlacementRequest, { isTrialNeeded }: ProbePolicy): number => {
  if (inProgress > 0 || !isOwnZone || !(isIdempotent || isTrialNeeded)) return 0
  return rampUp(idleMs - (isIdempotent ? RETRYABLE_TRIAL_IDLE_MS : TRIAL_IDLE_MS), TRIAL_RAMP_MS)
}

/** Probability that a request is sent to a candidate as a probe. */
const probeChance = (candidate: Candidate, request: PlacementRequest, policy: ProbePolicy): number => {
  if (isSuspect(candidate)) return trialChance(candidate, request, policy)
  const minChance = isNewInOwnZone(candidate) ? NEW_TARGET_PROBE_SHARE / policy.newTargets : 0
  const unconnectedDelayMs = policy.probesOtherZones ? SHORT_UNCONNECTED_DELAY_MS : UNCONNECTED_DELAY_MS
  const delayMs = (candidate.isOwnZone || policy.probesOtherZones ? 0 : OTHER_ZONE_DELAY_MS) + (candidate.isConnected ? 0 : unconnectedDelayMs)
  return Math.max(minChance, rampUp(candidate.idleMs - PROBE_IDLE_MS - delayMs, PROBE_RAMP_MS))
}

/**
 * Chooses an idle target to probe, the healthiest first, so that healthy capacity is in use and recovered targets are noticed.
 *
 * @param candidates - Targets that may run the request.
 * @param request - Request to place.
 * @param hasFreeSlot - Whether a candidate would run the request at once; others are not probed.
 * @param random - Decides whether the request is a probe.
 * @returns The target to probe; undefined if the request is not a probe.
 */
export const chooseProbe = (candidates: readonly Candidate[], request: PlacementRequest, hasFreeSlot: (candidate: Candidate) => boolean, random: Random): Candidate | undefined => {
  if (request.isRetry === true) return undefined
  const policy: ProbePolicy = {
    // After the loss of many daemons, a large part of a service fails for a moment; recently started daemons have not seen these failures.
    probesOtherZones: request.isRecentlyStarted === true || isFailureWidespread(candidates),
    isTrialNeeded: needsTrials(candidates, request.minUsedShare ?? DEFAULT_MIN_USED_SHARE),
    newTargets: candidates.filter(isNewInOwnZone).length
  }
  return candidates
    .filter(hasFreeSlot)
    .map(candidate => ({ candidate, chance: probeChance(candidate, request, policy) }))
    .filter(({ chance }) => chance > 0)
    .map(due => ({ ...due, tieBreak: random.next() }))
    .sort((a, b) => a.candidate.failingChance - b.candidate.failingChance || a.tieBreak - b.tieBreak)
    .find(({ chance }) => random.next() < chance)?.candidate
}
