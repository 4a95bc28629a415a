import { NO_COUNTS, addCounts, subtractCounts } from './outcomeCounts.js'
import type { OutcomeCounts } from './outcomeCounts.js'
import type { DetectionProfile } from './profiles.js'

/** Counts of one daemon at the targets of a service. */
export interface Observation {
  readonly instanceId: string
  readonly availabilityZone: string
  readonly byTarget: ReadonlyMap<string, OutcomeCounts>
}

/** A target with significantly more bad outcomes than the rest of its pool. */
export interface Outlier {
  readonly targetId: string
  readonly reason: 'failures' | 'slow'
  /** Share of bad outcomes above that of the rest of the pool, 0 to 1. */
  readonly severity: number
}

/** Parameters of the detection for one service. */
export interface DetectionOptions {
  readonly profile: DetectionProfile
  /** Zones of the targets that may be outliers, by target id. */
  readonly zoneByTarget: ReadonlyMap<string, string>
  /** Number of targets that are ejected or in trial. */
  readonly ejectedTargets: number
  /** Number of live daemons. */
  readonly daemons: number
  /** Number of zones with live daemons. */
  readonly zones: number
}

type BadOutcomeKind = 'failures' | 'slow'
type SignificanceBounds = Pick<DetectionProfile, 'minFailures' | 'deviations' | 'marginShare' | 'ratio'>

const BAD_OUTCOME_KINDS: readonly BadOutcomeKind[] = ['failures', 'slow']
/** Pseudo-counts that smooth the share of bad outcomes in a pool with few attempts. */
const PRIOR_BAD_OUTCOMES = 0.5
const PRIOR_ATTEMPTS = 10
/** When more than this share of the pool is ejected or looks bad, no target is an outlier. */
const MAX_OUTLIER_SHARE = 0.5
/** Attempts from which on the view of a zone counts on its own. */
const MIN_ZONE_ATTEMPTS = 20
/** Number of other targets from which on the worst of them is left out of the comparison. */
const MIN_OTHERS_TO_TRIM = 4

/**
 * Computes the lower bound of the Wilson score interval for a share.
 *
 * @param bad - Number of bad outcomes.
 * @param attempts - Number of attempts.
 * @param deviations - Width of the interval to each side, in standard deviations.
 * @returns The bound, 0 to 1.
 */
export const wilsonLowerBound = (bad: number, attempts: number, deviations: number): number => {
  if (attempts === 0) return 0
  const share = bad / attempts
  const square = deviations * deviations
  const centre = share + square / (2 * attempts)
  const width = deviations * Math.sqrt(share * (1 - share) / attempts + square / (4 * attempts * attempts))
  return Math.max(0, (centre - width) / (1 + square / attempts))
}

const smoothedShare = (rest: OutcomeCounts, kind: BadOutcomeKind): number => (rest[kind] + PRIOR_BAD_OUTCOMES) / (rest.attempts + PRIOR_ATTEMPTS)

const thresholdShare = (share: number, bounds: SignificanceBounds): number => Math.max(share * bounds.ratio, share + bounds.marginShare)

const sumCounts = (counts: Iterable<OutcomeCounts>): OutcomeCounts => [...counts].reduce(addCounts, NO_COUNTS)

/**
 * Computes by how much a target's share of bad outcomes lies above that of the rest of its pool.
 *
 * @param own - Counts of the target.
 * @param rest - Counts of the other targets of the pool.
 * @param bounds - Thresholds of significance.
 * @param kind - Kind of bad outcome.
 * @returns The excess, 0 to 1, or undefined when it is not significant.
 */
export const significantExcess = (own: OutcomeCounts, rest: OutcomeCounts, bounds: SignificanceBounds, kind: BadOutcomeKind): number | undefined => {
  if (own[kind] < bounds.minFailures) return undefined
  const share = smoothedShare(rest, kind)
  const isSignificant = wilsonLowerBound(own[kind], own.attempts, bounds.deviations) > Math.min(0.9, thresholdShare(share, bounds))
  return isSignificant ? own[kind] / own.attempts - share : undefined
}

const groupCounts = (observations: readonly Observation[], targetId: string, keyOf: (observation: Observation) => string): ReadonlyMap<string, OutcomeCounts> => {
  const groups = new Map<string, OutcomeCounts>()
  for (const observation of observations) {
    const counts = observation.byTarget.get(targetId)
    if (counts === undefined) continue
    groups.set(keyOf(observation), addCounts(groups.get(keyOf(observation)) ?? NO_COUNTS, counts))
  }
  return groups
}

/** Returns the group with the most bad outcomes of a kind. */
const largestContributor = (groups: ReadonlyMap<string, OutcomeCounts>, kind: BadOutcomeKind): readonly [string, OutcomeCounts] =>
  [...groups].reduce<readonly [string, OutcomeCounts]>((largest, group) => group[1][kind] > largest[1][kind] ? group : largest, ['', NO_COUNTS])

/** Whether the excess is still significant without the group that reports the most bad outcomes. */
const isSignificantWithoutLargest = (groups: ReadonlyMap<string, OutcomeCounts>, rest: OutcomeCounts, profile: DetectionProfile, kind: BadOutcomeKind): boolean => {
  const [, largest] = largestContributor(groups, kind)
  const remainder = subtractCounts(sumCounts(groups.values()), largest)
  const bounds = { ...profile, minFailures: Math.ceil(profile.minFailures / 4), deviations: profile.remainderDeviations }
  return significantExcess(remainder, rest, bounds, kind) !== undefined
}

/** Whether the target looks healthy to some zone that uses it often enough. */
const isHealthyFromSomeZone = (zones: ReadonlyMap<string, OutcomeCounts>, rest: OutcomeCounts, profile: DetectionProfile, kind: BadOutcomeKind): boolean =>
  [...zones.values()].some(counts => counts.attempts >= MIN_ZONE_ATTEMPTS && counts[kind] / counts.attempts < smoothedShare(rest, kind) + profile.marginShare / 2)

/** Whether the bad outcomes are due to the target itself, not to one daemon or to the network path between two zones. */
const isTargetAtFault = (observations: readonly Observation[], targetId: string, rest: OutcomeCounts, kind: BadOutcomeKind, options: DetectionOptions): boolean => {
  const { profile } = options
  const countsByDaemon = groupCounts(observations, targetId, observation => observation.instanceId)
  if (options.daemons > 1 && !isSignificantWithoutLargest(countsByDaemon, rest, profile, kind)) return false
  const countsByZone = groupCounts(observations, targetId, observation => observation.availabilityZone)
  if (isHealthyFromSomeZone(countsByZone, rest, profile, kind)) return false
  // Most requests reach a target from its own zone. Failures there can't be due to a link between zones, so this zone alone is sufficient evidence.
  const isOwnZoneLargest = largestContributor(countsByZone, kind)[0] === options.zoneByTarget.get(targetId)
  return options.zones <= 1 || isOwnZoneLargest || isSignificantWithoutLargest(countsByZone, rest, profile, kind)
}

const countsByTarget = (observations: readonly Observation[], options: DetectionOptions): ReadonlyMap<string, OutcomeCounts> => {
  const pool = new Map<string, OutcomeCounts>()
  for (const { byTarget } of observations) {
    for (const [targetId, counts] of byTarget) {
      if (options.zoneByTarget.has(targetId)) pool.set(targetId, addCounts(pool.get(targetId) ?? NO_COUNTS, counts))
    }
  }
  return pool
}

/** Sums the counts of the other targets. The worst of them is left out, so that a second outlier does not hide the first. */
const restOfPool = (pool: ReadonlyMap<string, OutcomeCounts>, targetId: string): OutcomeCounts => {
  const others = [...pool].filter(([otherId]) => otherId !== targetId).map(([, counts]) => counts)
  const badShare = (counts: OutcomeCounts): number => (counts.failures + counts.slow) / Math.max(1, counts.attempts)
  const sorted = [...others].sort((a, b) => badShare(a) - badShare(b))
  return sumCounts(sorted.length < MIN_OTHERS_TO_TRIM ? sorted : sorted.slice(0, -1))
}

/**
 * Finds the outliers among the targets of a service in the merged counts of several daemons.
 *
 * @param observations - Counts of the daemons.
 * @param options - Profile, targets, and numbers of daemons and zones.
 * @returns The outliers, highest severity first; none when most of the pool looks bad. Targets whose bad outcomes are due to a network path are left out.
 */
export const findOutliers = (observations: readonly Observation[], options: DetectionOptions): readonly Outlier[] => {
  const pool = countsByTarget(observations, options)
  const candidates: Outlier[] = []
  for (const [targetId, own] of pool) {
    const rest = restOfPool(pool, targetId)
    for (const reason of BAD_OUTCOME_KINDS) {
      const severity = significantExcess(own, rest, options.profile, reason)
      if (severity !== undefined && !candidates.some(known => known.targetId === targetId)) candidates.push({ targetId, reason, severity })
    }
  }
  const isMostOfPool = candidates.length + options.ejectedTargets > MAX_OUTLIER_SHARE * (options.zoneByTarget.size + options.ejectedTargets)
  if (isMostOfPool) return []
  return candidates
    .filter(({ targetId, reason }) => isTargetAtFault(observations, targetId, restOfPool(pool, targetId), reason, options))
    .sort((a, b) => b.severity - a.severity)
}
