import type { PickCriteria, Random, Target, TargetRating } from '@lovagehoist/common'

/** A target that may be chosen, with what counts for the choice. */
export interface Candidate {
  readonly target: Target
  /** Share of its usual work, above 0 and at most 1. */
  readonly weight: number
  /** Requests in flight there from this daemon. */
  readonly inFlight: number
  /** Whether it refused work a moment ago. */
  readonly isFull: boolean
}

/**
 * Tells whether a rating allows a request.
 *
 * @param rating - Rating of the target.
 * @param need - The request.
 * @returns Whether the target may be chosen.
 */
export const isAllowed = (rating: TargetRating, need: PickCriteria): boolean =>
  rating.weight > 0 && (need.isIdempotent || !rating.idempotentOnly)

const relativeLoad = ({ inFlight, target }: Candidate): number => inFlight / Math.max(1, target.slots)

const leastLoaded = (candidates: readonly Candidate[]): Candidate | undefined =>
  candidates.reduce<Candidate | undefined>((least, candidate) =>
    least === undefined || relativeLoad(candidate) < relativeLoad(least) ? candidate : least, undefined)

const heaviest = (candidates: readonly Candidate[]): Candidate | undefined =>
  candidates.reduce<Candidate | undefined>((best, candidate) => best === undefined || candidate.weight > best.weight ? candidate : best, undefined)

/**
 * Chooses a target: each candidate takes part with the probability of its weight, the least loaded one wins, and among
 * equals the first in order of preference. Targets that just refused work and zones that failed are left out while others fit.
 *
 * @param candidates - Targets in order of preference.
 * @param need - The request.
 * @param random - Draws for weights below 1.
 * @returns The chosen target; undefined when there is no candidate.
 */
export const chooseTarget = (candidates: readonly Candidate[], need: PickCriteria, random: Random): Target | undefined => {
  const filters: ReadonlyArray<(candidate: Candidate) => boolean> = [
    ({ target }) => !need.avoidedZones.has(target.availabilityZone),
    ({ isFull }) => !isFull
  ]
  const fitting = filters.reduce((left, filter) => {
    const kept = left.filter(filter)
    return kept.length > 0 ? kept : left
  }, candidates)
  const drawn = fitting.filter(({ weight }) => weight >= 1 || random.next() < weight)
  return (leastLoaded(drawn) ?? heaviest(fitting))?.target
}
