import type { Random } from '../random/random.js'

/**
 * Pause after a failure: between half and the whole of a limit that doubles with each failure.
 *
 * @param random - Source of randomness.
 * @param failures - Failures in a row, from 1.
 * @param initialMs - Limit of the first pause.
 * @param maxMs - Limit of every pause.
 * @returns The pause in milliseconds.
 */
export const backoffMs = (random: Random, failures: number, initialMs: number, maxMs: number): number =>
  Math.min(maxMs, initialMs * 2 ** (failures - 1)) * (1 + random.next()) / 2
