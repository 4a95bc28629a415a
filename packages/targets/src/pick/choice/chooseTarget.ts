import type { PickCriteria, Random, Target, TargetRating } from '@lovagehoist/common'

/** A target that may receive the request, with its weight and load. */
export interface Candidate {
  readonly target: Target
  /** Share of its usual number of requests, above 0 and at most 1. */
  readonly weight: number
  /** Requests of this daemon in flight at the target. */
  readonly inFlight: number
  /** Whether the target has just refused a request for lack of slots. */
  readonly isFull: boolean
}

/**
 * Checks whether a rating allows a request.
 *
 * @param rating - Rating of the target.
 * @param criteria - The request.
 * @returns Whether the target may be chosen.
 */
export const isAllowed = (rating: TargetRating, criteria: PickCriteria): boolean =>
  rating.weight > 0 && (criteria.isIdempotent || !rating.idempotentOnly)

const relativeLoad = ({ inFlight, target }: Candidate): number => inFlight / Math.max(1, target.slots)

const leastLoaded = (candidates: readonly Candidate[]): Candidate | undefined =>
  candidates.reduce<Candidate | undefined>((least, candidate) =>
    least === undefined || relativeLoad(candidate) < relativeLoad(least) ? candidate : least, undefined)

const highestWeight = (candidates: readonly Candidate[]): Candidate | undefined =>
  candidates.reduce<Candidate | undefined>((best, candidate) => best === undefined || candidate.weight > best.weight ? candidate : best, undefined)

/**
 * Chooses a target. Each candidate takes part with a probability equal to its weight; the least loaded one wins, and among
 * equally loaded ones the first in order of preference. Targets that have just refused requests, and zones to avoid, are
 * excluded as long as other candidates remain.
 *
 * @param candidates - Targets in order of preference.
 * @param criteria - The request.
 * @param random - Draws for weights below 1.
 * @returns The chosen target; undefined when there is no candidate.
 */
export const chooseTarget = (candidates: readonly Candidate[], criteria: PickCriteria, random: Random): Target | undefined => {
  const filters: ReadonlyArray<(candidate: Candidate) => boolean> = [
    ({ target }) => !criteria.avoidedZones.has(target.availabilityZone),
    ({ isFull }) => !isFull
  ]
  const eligible = filters.reduce((left, filter) => {
    const kept = left.filter(filter)
    return kept.length > 0 ? kept : left
  }, candidates)
  const participating = eligible.filter(({ weight }) => weight >= 1 || random.next() < weight)
  return (leastLoaded(participating) ?? highestWeight(eligible))?.target
}
