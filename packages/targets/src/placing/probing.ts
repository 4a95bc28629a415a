import type { Random } from '@lovagehoist/common'
import type { Candidate, PlacementRequest } from './candidate.js'

/** Share of the requests that probe targets of the own zone which no daemon has used yet. */
const NEW_TARGET_PROBE_SHARE = 0.12
/** Idle time from which a target gets probes, so that all healthy capacity is in use and known when daemons or targets are lost. */
const PROBE_IDLE_MS = 500
/** Additional idle time for targets of other zones, in which the daemons there probe them and report that they did. */
const OTHER_ZONE_DELAY_MS = 700
/** Additional idle time in which daemons that are connected to the target may probe it. */
const UNCONNECTED_DELAY_MS = 200
/** Time over which the share of requests that probe an idle target rises to all, so that a busy service needs few of them and a small one still sends one. */
const PROBE_RAMP_MS = 500
/** Failure probability from which a target is probably failing and is not probed. */
const MIN_SUSPECT_CHANCE = 0.4
/** Mean failure probability, or mean refusal share, from which a large part of the service counts as failing. */
const WIDESPREAD_FAILURE_SHARE = 0.2

/** Which idle targets may get probes. */
interface ProbePolicy {
  /** Whether targets of other zones are probed as early as those of the own zone. */
  readonly probesOtherZones: boolean
  /** Number of targets of the own zone that no daemon has used yet. */
  readonly newTargets: number
}

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

/** Whether a large part of the service fails or refuses requests. */
const isFailureWidespread = (candidates: readonly Candidate[]): boolean =>
  meanOf(candidates.map(({ failingChance }) => failingChance)) > WIDESPREAD_FAILURE_SHARE ||
  meanOf(candidates.map(({ refusalShare }) => refusalShare)) > WIDESPREAD_FAILURE_SHARE

const isNewInOwnZone = ({ isNew, isOwnZone }: Candidate): boolean => isNew && isOwnZone

const isSuspect = ({ failingChance }: Candidate): boolean => failingChance >= MIN_SUSPECT_CHANCE

/** Rises over a time, from 0 to 1. */
const rampUp = (elapsedMs: number, rampMs: number): number => Math.min(1, Math.max(0, elapsedMs) / rampMs) ** 2

/** Probability that a request is sent to a candidate as a probe. */
const probeChance = (candidate: Candidate, policy: ProbePolicy): number => {
  if (isSuspect(candidate)) return 0
  const minChance = isNewInOwnZone(candidate) ? NEW_TARGET_PROBE_SHARE / policy.newTargets : 0
  const delayMs = (candidate.isOwnZone || policy.probesOtherZones ? 0 : OTHER_ZONE_DELAY_MS) + (candidate.isConnected ? 0 : UNCONNECTED_DELAY_MS)
  return Math.max(minChance, rampUp(candidate.idleMs - PROBE_IDLE_MS - delayMs, PROBE_RAMP_MS))
}

/**
 * Chooses an idle target to probe, the healthiest first, so that healthy capacity is in use.
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
    newTargets: candidates.filter(isNewInOwnZone).length
  }
  return candidates
    .filter(hasFreeSlot)
    .map(candidate => ({ candidate, chance: probeChance(candidate, policy) }))
    .filter(({ chance }) => chance > 0)
    .map(due => ({ ...due, tieBreak: random.next() }))
    .sort((a, b) => a.candidate.failingChance - b.candidate.failingChance || a.tieBreak - b.tieBreak)
    .find(({ chance }) => random.next() < chance)?.candidate
}
