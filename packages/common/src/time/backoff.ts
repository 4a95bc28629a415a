import type { Random } from '../random/random.js'

/**
 * Exponential backoff with jitter: a random pause between half and all of a limit that doubles with each failure.
 *
 * @param random - Source of randomness.
 * @param failures - Number of consecutive failures, at least 1.
 * @param initialMs - Upper limit of the first pause.
 * @param maxMs - Upper limit of every pause.
 * @returns The pause in milliseconds.
 */
export const backoffMs = (random: Random, failures: number, initialMs: number, maxMs: number): number =>
  Math.min(maxMs, initialMs * 2 ** (failures - 1)) * (1 + random.next()) / 2
