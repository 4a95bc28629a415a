/** Time constant of the exponential decay; a full queue drains within seconds. */
const DECAY_MS = 2_000
/** Weight of one outcome in the moving average. */
const OUTCOME_WEIGHT = 0.35

/** Share of recent requests that were refused, with the time of its last update. */
export interface RefusalShare {
  readonly share: number
  readonly atMs: number
}

/**
 * Returns the share after the decay since its last update.
 *
 * @param refusals - Share at its last update.
 * @param nowMs - Monotonic time.
 * @returns The share, 0 to 1.
 */
export const refusalShareAt = ({ share, atMs }: RefusalShare, nowMs: number): number => share * Math.exp(-(nowMs - atMs) / DECAY_MS)

/**
 * Adds outcomes to the share.
 *
 * @param refusals - Share at its last update.
 * @param counts - Refused and accepted requests since the last update.
 * @param nowMs - Monotonic time.
 * @returns The new share.
 */
export const addOutcomes = (refusals: RefusalShare, counts: { readonly refused: number, readonly accepted: number }, nowMs: number): RefusalShare => {
  const refusedWeight = 1 - (1 - OUTCOME_WEIGHT) ** counts.refused
  const remainingWeight = (1 - OUTCOME_WEIGHT) ** counts.accepted
  const before = refusalShareAt(refusals, nowMs) * remainingWeight
  return { share: before + (1 - before) * refusedWeight, atMs: nowMs }
}
