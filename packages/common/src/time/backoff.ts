import type { Random } from '../random/random.js'

/**
 * Pause after a failure: between half and the whole of a limit that doubles with each failure.
 *
 * @param random - Source of randomness.
 * @param failures - Failures in a row, from 1.
 * @param firstMs - Limit of the first pause.
 * @param longestMs - Limit of every pause.
 * @returns The pause in milliseconds.
 */
export const backoffMs = (random: Random, failures: number, firstMs: number, longestMs: number): number =>
  Math.min(longestMs, firstMs * 2 ** (failures - 1)) * (1 + random.next()) / 2
