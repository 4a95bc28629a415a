/** Time in which a share of refusals fades to a third: a full queue empties within seconds. */
const FADE_MS = 2_000
/** Weight of one outcome. */
const OUTCOME_WEIGHT = 0.35

/** Recent share of refusals, as of a moment. */
export interface RefusalShare {
  readonly share: number
  readonly atMs: number
}

/**
 * Tells the share now.
 *
 * @param refusals - Share as it was.
 * @param nowMs - Monotonic time.
 * @returns The share, 0 to 1.
 */
export const refusalShareAt = ({ share, atMs }: RefusalShare, nowMs: number): number => share * Math.exp(-(nowMs - atMs) / FADE_MS)

/**
 * Takes outcomes in.
 *
 * @param refusals - Share as it was.
 * @param counts - Refused and accepted requests since.
 * @param nowMs - Monotonic time.
 * @returns The new share.
 */
export const addOutcomes = (refusals: RefusalShare, counts: { readonly refused: number, readonly accepted: number }, nowMs: number): RefusalShare => {
  const refusedPart = 1 - (1 - OUTCOME_WEIGHT) ** counts.refused
  const keptPart = (1 - OUTCOME_WEIGHT) ** counts.accepted
  const before = refusalShareAt(refusals, nowMs) * keptPart
  return { share: before + (1 - before) * refusedPart, atMs: nowMs }
}
