/** Outcomes of requests at one target since the last look. */
export interface OutcomeCounts {
  /** Requests that the target answered as a sound one does. */
  readonly succeeded: number
  /** Requests that it failed, broke off or did not answer, after the time that work takes. */
  readonly failed: number
  /** Requests that it failed sooner than work could have ended. */
  readonly failedEarly: number
}

/** Mean time that a sound target stays sound; partial failures come every minute or two somewhere in a pool. */
const SOUND_MS = 120_000
/** Mean time that a partial failure lasts; the protocol says several seconds. */
const FAILING_MS = 8_000

/** How often an outcome comes from a target that is failing, and from a sound one. */
interface Likelihood {
  readonly failing: number
  readonly sound: number
}

/** Sound targets fail about one request in a hundred, after its work; a failing one mostly fails at once. */
const LIKELIHOODS: Readonly<Record<keyof OutcomeCounts, Likelihood>> = {
  succeeded: { failing: 0.35, sound: 0.985 },
  failed: { failing: 0.25, sound: 0.012 },
  failedEarly: { failing: 0.4, sound: 0.003 }
}
const FAILING_FAILURE_SHARE = 1 - LIKELIHOODS.succeeded.failing
const SOUND_FAILURE_SHARE = 1 - LIKELIHOODS.succeeded.sound

const RELAXATION_MS = 1 / (1 / SOUND_MS + 1 / FAILING_MS)
/** Chance that a target nobody knows anything about is failing. */
export const UNKNOWN_CHANCE = FAILING_MS / (SOUND_MS + FAILING_MS)
/** A target may have begun to fail since its last success. */
const LEAST_CHANCE = 0.015
const MOST_CHANCE = 0.98

const clamp = (chance: number): number => Math.min(MOST_CHANCE, Math.max(LEAST_CHANCE, chance))

const update = (chance: number, { failing, sound }: Likelihood): number => {
  const ofFailing = chance * failing
  return clamp(ofFailing / (ofFailing + (1 - chance) * sound))
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
export const observe = (chance: number, counts: OutcomeCounts): number => {
  let next = chance
  for (const kind of ['succeeded', 'failed', 'failedEarly'] as const) {
    for (let index = 0; index < counts[kind]; index++) next = update(next, LIKELIHOODS[kind])
  }
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

/** Chances up to this are no sign that a target is failing. */
const NO_SIGN_CHANCE = UNKNOWN_CHANCE * 1.1

/**
 * Joins what two observers hold of a target: a sign of one is kept, and without any the better informed one counts.
 *
 * @param first - Chance by one observer; undefined when it saw nothing.
 * @param second - Chance by the other.
 * @returns The chance that the target is failing.
 */
export const joinChances = (first: number | undefined, second: number | undefined): number => {
  if (first === undefined || second === undefined) return first ?? second ?? UNKNOWN_CHANCE
  const most = Math.max(first, second)
  return most > NO_SIGN_CHANCE ? most : Math.min(first, second)
}
