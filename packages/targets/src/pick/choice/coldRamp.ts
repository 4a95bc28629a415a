/** Share of work that a target gets right after its start. */
const FIRST_SHARE = 0.1

/**
 * Share of its usual work that a cold target gets.
 *
 * @param ageMs - Time since the target's start.
 * @param coldStartMs - Time in which a target grows to its full share.
 * @returns A share from 0.1 to 1, growing evenly.
 */
export const coldShare = (ageMs: number, coldStartMs: number): number => {
  if (ageMs >= coldStartMs) return 1
  return Math.max(FIRST_SHARE, ageMs / coldStartMs)
}
