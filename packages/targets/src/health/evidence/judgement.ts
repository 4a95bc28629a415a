import { NO_COUNTS, addCounts, subtractCounts } from './counts.js'
import type { Counts } from './counts.js'
import type { Profile } from './profiles.js'

/** What one daemon counted at the targets of a service. */
export interface Observation {
  readonly instanceId: string
  readonly availabilityZone: string
  readonly byTarget: ReadonlyMap<string, Counts>
}

/** A target that looks sick. */
export interface Suspicion {
  readonly targetId: string
  readonly reason: 'failures' | 'slow'
  /** Excess of bad outcomes over the rest of the pool, 0 to 1. */
  readonly severity: number
}

/** What a service's evidence is judged by. */
export interface JudgementOptions {
  readonly profile: Profile
  /** Targets that may be judged, with their zones. */
  readonly zoneByTarget: ReadonlyMap<string, string>
  /** Targets that are out already. */
  readonly outTargets: number
  /** Live daemons and the zones they are in. */
  readonly daemons: number
  readonly zones: number
}

type Bad = 'failures' | 'slow'
type Bounds = Pick<Profile, 'minFailures' | 'deviations' | 'marginShare' | 'ratio'>

const BAD_KINDS: readonly Bad[] = ['failures', 'slow']
const PRIOR_BAD = 0.5
const PRIOR_TRIES = 10
const MOST_OF_POOL_SHARE = 0.5
const ZONE_TRIES = 20
/** Other targets from which on the worst is left out. */
const MIN_TRIMMED_POOL = 4

/**
 * Lower bound of a share by Wilson's score.
 *
 * @param bad - Bad outcomes.
 * @param tries - Tries.
 * @param deviations - Width in standard deviations.
 * @returns The bound, 0 to 1.
 */
export const wilsonLowerShare = (bad: number, tries: number, deviations: number): number => {
  if (tries === 0) return 0
  const share = bad / tries
  const square = deviations * deviations
  const centre = share + square / (2 * tries)
  const width = deviations * Math.sqrt(share * (1 - share) / tries + square / (4 * tries * tries))
  return Math.max(0, (centre - width) / (1 + square / tries))
}

const restShare = (rest: Counts, kind: Bad): number => (rest[kind] + PRIOR_BAD) / (rest.tries + PRIOR_TRIES)

const limitShare = (share: number, bounds: Bounds): number => Math.max(share * bounds.ratio, share + bounds.marginShare)

const sumOf = (counts: Iterable<Counts>): Counts => [...counts].reduce(addCounts, NO_COUNTS)

/**
 * Whether a target's share of bad outcomes lies above that of the rest of its pool.
 *
 * @param own - Counts of the target.
 * @param rest - Counts of the other targets of the pool.
 * @param bounds - How sure to be.
 * @param kind - Kind of bad outcome.
 * @returns The excess share, or undefined when it is not significant.
 */
export const excessOf = (own: Counts, rest: Counts, bounds: Bounds, kind: Bad): number | undefined => {
  if (own[kind] < bounds.minFailures) return undefined
  const share = restShare(rest, kind)
  const isSignificant = wilsonLowerShare(own[kind], own.tries, bounds.deviations) > Math.min(0.9, limitShare(share, bounds))
  return isSignificant ? own[kind] / own.tries - share : undefined
}

const groupBy = (observations: readonly Observation[], targetId: string, keyOf: (observation: Observation) => string): ReadonlyMap<string, Counts> => {
  const groups = new Map<string, Counts>()
  for (const observation of observations) {
    const counts = observation.byTarget.get(targetId)
    if (counts === undefined) continue
    groups.set(keyOf(observation), addCounts(groups.get(keyOf(observation)) ?? NO_COUNTS, counts))
  }
  return groups
}

/** Group that reports most of the bad outcomes. */
const loudestOf = (groups: ReadonlyMap<string, Counts>, kind: Bad): readonly [string, Counts] =>
  [...groups].reduce<readonly [string, Counts]>((most, group) => group[1][kind] > most[1][kind] ? group : most, ['', NO_COUNTS])

/** Whether the evidence stands without the group that reports most of it. */
const standsWithoutLoudest = (groups: ReadonlyMap<string, Counts>, rest: Counts, profile: Profile, kind: Bad): boolean => {
  const [, loudest] = loudestOf(groups, kind)
  const remainder = subtractCounts(sumOf(groups.values()), loudest)
  const bounds = { ...profile, minFailures: Math.ceil(profile.minFailures / 4), deviations: profile.remainderDeviations }
  return excessOf(remainder, rest, bounds, kind) !== undefined
}

/** Whether a zone that uses the target a lot finds it well. */
const isWellSomewhere = (zones: ReadonlyMap<string, Counts>, rest: Counts, profile: Profile, kind: Bad): boolean =>
  [...zones.values()].some(counts => counts.tries >= ZONE_TRIES && counts[kind] / counts.tries < restShare(rest, kind) + profile.marginShare / 2)

const isAboutTarget = (observations: readonly Observation[], targetId: string, rest: Counts, kind: Bad, options: JudgementOptions): boolean => {
  const { profile } = options
  const daemons = groupBy(observations, targetId, observation => observation.instanceId)
  if (options.daemons > 1 && !standsWithoutLoudest(daemons, rest, profile, kind)) return false
  const zones = groupBy(observations, targetId, observation => observation.availabilityZone)
  if (isWellSomewhere(zones, rest, profile, kind)) return false
  // The path within a target's own zone is the one that most of its work takes; no link between zones explains failures there.
  const isOwnZoneLoudest = loudestOf(zones, kind)[0] === options.zoneByTarget.get(targetId)
  return options.zones <= 1 || isOwnZoneLoudest || standsWithoutLoudest(zones, rest, profile, kind)
}

const poolCounts = (observations: readonly Observation[], options: JudgementOptions): ReadonlyMap<string, Counts> => {
  const pool = new Map<string, Counts>()
  for (const { byTarget } of observations) {
    for (const [targetId, counts] of byTarget) {
      if (options.zoneByTarget.has(targetId)) pool.set(targetId, addCounts(pool.get(targetId) ?? NO_COUNTS, counts))
    }
  }
  return pool
}

/** Counts of the other targets; the worst of them is left out, so that a second sick target does not hide the first. */
const restOf = (pool: ReadonlyMap<string, Counts>, targetId: string): Counts => {
  const others = [...pool].filter(([otherId]) => otherId !== targetId).map(([, counts]) => counts)
  const badShare = (counts: Counts): number => (counts.failures + counts.slow) / Math.max(1, counts.tries)
  const sorted = [...others].sort((a, b) => badShare(a) - badShare(b))
  return sumOf(sorted.length < MIN_TRIMMED_POOL ? sorted : sorted.slice(0, -1))
}

/**
 * Finds the targets of a service that are sick by the merged evidence of several daemons.
 *
 * @param observations - What daemons counted.
 * @param options - Profile, targets and number of daemons and zones.
 * @returns Suspicions, the sickest first; none when most of the pool looks sick or the evidence speaks about a path.
 */
export const findSick = (observations: readonly Observation[], options: JudgementOptions): readonly Suspicion[] => {
  const pool = poolCounts(observations, options)
  const looksSick: Suspicion[] = []
  for (const [targetId, own] of pool) {
    const rest = restOf(pool, targetId)
    for (const reason of BAD_KINDS) {
      const severity = excessOf(own, rest, options.profile, reason)
      if (severity !== undefined && !looksSick.some(known => known.targetId === targetId)) looksSick.push({ targetId, reason, severity })
    }
  }
  const isMostOfPool = looksSick.length + options.outTargets > MOST_OF_POOL_SHARE * (options.zoneByTarget.size + options.outTargets)
  if (isMostOfPool) return []
  return looksSick
    .filter(({ targetId, reason }) => isAboutTarget(observations, targetId, restOf(pool, targetId), reason, options))
    .sort((a, b) => b.severity - a.severity)
}
