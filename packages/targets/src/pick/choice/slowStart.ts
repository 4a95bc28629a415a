/** Share of its usual number of requests that a target gets right after its start. */
const INITIAL_SHARE = 0.1

/**
 * Returns the share of its usual number of requests that a target gets during its slow start.
 *
 * @param ageMs - Time since the target's start.
 * @param coldStartMs - Duration of the slow start.
 * @returns The share, growing linearly from 0.1 to 1.
 */
export const slowStartShare = (ageMs: number, coldStartMs: number): number => {
  if (ageMs >= coldStartMs) return 1
  return Math.max(INITIAL_SHARE, ageMs / coldStartMs)
}
