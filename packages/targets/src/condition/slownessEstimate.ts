import type { PaceCounters } from '@lovagehoist/common'

/** Share of the targets that are slow at any time, used when nothing is known. */
export const SLOW_PRIOR = 0.02
/** Probability from which a target counts as slow. A single overrun stays below it: in some services 3 requests in 100 take 7 times the mean. */
export const MIN_SLOW_CHANCE = 0.5
/** Probability below which a slow target may have recovered: one prompt response leads there from the upper bound, a second one ends the doubt. */
export const MIN_CERTAIN_CHANCE = 0.9
/** Bounds. One response in ten of a target that is slower by 5 is prompt, so that one alone must not clear it. */
const MIN_CHANCE = 0.02
const MAX_CHANCE = 0.98
/** Time constant of the decay without outcomes. Probes tell of a recovery; with 8 s, and with 40 s, slow targets got load again between two probes. */
const RELAXATION_MS = 120_000
/** Ratio of the probabilities of an outcome at a slow target (5 to 12 times the usual work) and at another one. */
const OVERRUN_ODDS = 0.85 / 0.04
const PROMPT_ODDS = 0.12 / 0.96
/** Outcomes of one kind that an update counts; the estimate reaches its bounds with fewer. */
const MAX_COUNTED_OUTCOMES = 8

/** Probability that a target is slow, as of a time. */
export interface SlownessEstimate {
  readonly chance: number
  readonly atMs: number
}

/**
 * Returns the probability that a target is slow now; it moves towards the prior without outcomes.
 *
 * @param estimate - Last estimate; undefined if there is none.
 * @param nowMs - Monotonic time.
 * @returns The probability, 0 to 1.
 */
export const slowChanceAt = (estimate: SlownessEstimate | undefined, nowMs: number): number =>
  estimate === undefined ? SLOW_PRIOR : SLOW_PRIOR + (estimate.chance - SLOW_PRIOR) * Math.exp(-Math.max(0, nowMs - estimate.atMs) / RELAXATION_MS)

const applyOdds = (chance: number, odds: number, count: number): number => {
  let next = chance
  for (let index = 0; index < Math.min(count, MAX_COUNTED_OUTCOMES); index++) {
    const ratio = next / (1 - next) * odds
    next = Math.min(MAX_CHANCE, Math.max(MIN_CHANCE, ratio / (1 + ratio)))
  }
  return next
}

/**
 * Updates an estimate by Bayes' rule. Overruns count first, because prompt responses of the same update may be newer than them but not much older.
 *
 * @param estimate - Last estimate; undefined if there is none.
 * @param counts - Prompt responses and overruns since then.
 * @param nowMs - Monotonic time.
 * @returns The new estimate.
 */
export const updateSlowness = (estimate: SlownessEstimate | undefined, { prompt, overrun }: PaceCounters, nowMs: number): SlownessEstimate =>
  ({ chance: applyOdds(applyOdds(slowChanceAt(estimate, nowMs), OVERRUN_ODDS, overrun), PROMPT_ODDS, prompt), atMs: nowMs })
