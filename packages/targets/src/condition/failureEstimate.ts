/** Outcomes of requests at one target since the last look. */
export interface OutcomeCounts {
  /** Requests that the target answered as a sound one does. */
  readonly succeeded: number
  /** Requests that it failed, broke off or did not answer. */
  readonly failed: number
}

/** Mean time that a sound target stays sound; partial failures come every few dozen seconds somewhere in a pool. */
const SOUND_MS = 50_000
/** Mean time that a partial failure lasts; the protocol says several seconds. */
const FAILING_MS = 5_500
/** Share of requests that a sound target fails; errors of single requests. */
const SOUND_FAILURE_SHARE = 0.015
/** Share of requests that a partially failing target fails. */
const FAILING_FAILURE_SHARE = 0.6

const RELAXATION_MS = 1 / (1 / SOUND_MS + 1 / FAILING_MS)
/** Chance that a target nobody knows anything about is failing. */
export const UNKNOWN_CHANCE = FAILING_MS / (SOUND_MS + FAILING_MS)
const LEAST_CHANCE = 0.005
const MOST_CHANCE = 0.98

const clamp = (chance: number): number => Math.min(MOST_CHANCE, Math.max(LEAST_CHANCE, chance))

const update = (chance: number, failingShare: number, soundShare: number): number => {
  const failing = chance * failingShare
  return clamp(failing / (failing + (1 - chance) * soundShare))
}

/**
 * Moves an estimate towards what is known of any target, as time passes without evidence.
 *
 * @param chance - Chance that the target was failing.
 * @param elapsedMs - Time since then.
 * @returns The chance that it is failing now.
 */
export const relax = (chance: number, elapsedMs: number): number =>
  UNKNOWN_CHANCE + (chance - UNKNOWN_CHANCE) * Math.exp(-Math.max(0, elapsedMs) / RELAXATION_MS)

/**
 * Takes outcomes into an estimate by Bayes' rule.
 *
 * @param chance - Chance that the target is failing.
 * @param counts - Outcomes since.
 * @returns The chance after the outcomes.
 */
export const observe = (chance: number, { succeeded, failed }: OutcomeCounts): number => {
  let next = chance
  for (let index = 0; index < succeeded; index++) next = update(next, 1 - FAILING_FAILURE_SHARE, 1 - SOUND_FAILURE_SHARE)
  for (let index = 0; index < failed; index++) next = update(next, FAILING_FAILURE_SHARE, SOUND_FAILURE_SHARE)
  return next
}

/**
 * Chance that the next request fails.
 *
 * @param chance - Chance that the target is failing.
 * @returns The chance for one request.
 */
export const requestFailureChance = (chance: number): number =>
  chance * FAILING_FAILURE_SHARE + (1 - chance) * SOUND_FAILURE_SHARE
