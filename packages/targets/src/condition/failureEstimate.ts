/** Outcomes of requests at one target since the last update. */
export interface RequestOutcomeCounts {
  /** Requests with a response that a healthy target would give. */
  readonly succeeded: number
  /** Requests that could not be delivered, or that waited unusually long. */
  readonly failed: number
  /** Requests that failed in the time that the work normally takes. */
  readonly failedLate: number
  /** Requests that failed before the work could have finished. */
  readonly failedEarly: number
}

/** Mean time that a healthy target stays healthy; within a pool, some target fails partially every minute or two. */
const MEAN_HEALTHY_MS = 120_000
/** Mean duration of a partial failure, specified as several seconds. */
const MEAN_FAILING_MS = 8_000

/** Probability of an outcome at a failing target and at a healthy one. */
interface Likelihood {
  readonly failing: number
  readonly healthy: number
}

/** Healthy targets fail about one request in a hundred, after doing its work; a failing target mostly fails requests immediately. */
const LIKELIHOODS: Readonly<Record<keyof RequestOutcomeCounts, Likelihood>> = {
  succeeded: { failing: 0.35, healthy: 0.975 },
  failed: { failing: 0.2, healthy: 0.01 },
  failedLate: { failing: 0.05, healthy: 0.012 },
  failedEarly: { failing: 0.4, healthy: 0.003 }
}
const FAILURE_RATE_WHEN_FAILING = 1 - LIKELIHOODS.succeeded.failing
const FAILURE_RATE_WHEN_HEALTHY = 1 - LIKELIHOODS.succeeded.healthy

const RELAXATION_MS = 1 / (1 / MEAN_HEALTHY_MS + 1 / MEAN_FAILING_MS)
/** Outcomes of one kind that an update counts; the estimate reaches its bounds with fewer, and counts of other daemons may be wrong. */
const MAX_COUNTED_OUTCOMES = 256
/** Prior probability that a target is failing, used when no outcome is known. */
export const PRIOR_CHANCE = MEAN_FAILING_MS / (MEAN_HEALTHY_MS + MEAN_FAILING_MS)
/** Lower bound, because a target may have begun to fail since its last success. */
const MIN_CHANCE = 0.015
const MAX_CHANCE = 0.98

const clamp = (chance: number): number => Math.min(MAX_CHANCE, Math.max(MIN_CHANCE, chance))

const applyBayes = (chance: number, { failing, healthy }: Likelihood): number => {
  const whenFailing = chance * failing
  return clamp(whenFailing / (whenFailing + (1 - chance) * healthy))
}

/**
 * Moves an estimate towards the prior as time passes without new outcomes.
 *
 * @param chance - Probability that the target was failing.
 * @param elapsedMs - Time since then.
 * @returns The probability that the target is failing now.
 */
export const decayToPrior = (chance: number, elapsedMs: number): number =>
  PRIOR_CHANCE + (chance - PRIOR_CHANCE) * Math.exp(-Math.max(0, elapsedMs) / RELAXATION_MS)

/**
 * Updates an estimate with outcomes by Bayes' rule.
 *
 * @param chance - Probability that the target is failing, before the outcomes.
 * @param counts - Outcomes since then.
 * @returns The posterior probability.
 */
export const updateChance = (chance: number, counts: RequestOutcomeCounts): number => {
  let next = chance
  for (const kind of ['succeeded', 'failed', 'failedLate', 'failedEarly'] as const) {
    for (let index = 0; index < Math.min(counts[kind], MAX_COUNTED_OUTCOMES); index++) next = applyBayes(next, LIKELIHOODS[kind])
  }
  return next
}

/**
 * Returns the probability that the next request fails.
 *
 * @param chance - Probability that the target is failing.
 * @returns The probability that one request fails.
 */
export const requestFailureChance = (chance: number): number =>
  chance * FAILURE_RATE_WHEN_FAILING + (1 - chance) * FAILURE_RATE_WHEN_HEALTHY

/** Probabilities up to this one don't count as evidence of a failure. */
const MAX_UNSUSPICIOUS_CHANCE = PRIOR_CHANCE * 1.1

/**
 * Combines the estimates of two observers: evidence of a failure from either one wins; without any, the lower estimate, which is based on more outcomes, counts.
 *
 * @param first - Probability according to one observer; undefined if it has seen no outcome.
 * @param second - Probability according to the other observer.
 * @returns The probability that the target is failing.
 */
export const combineChances = (first: number | undefined, second: number | undefined): number => {
  if (first === undefined || second === undefined) return first ?? second ?? PRIOR_CHANCE
  const highest = Math.max(first, second)
  return highest > MAX_UNSUSPICIOUS_CHANCE ? highest : Math.min(first, second)
}
