import type { Random } from '@lovagehoist/common'

/**
 * Returns the delay before the next attempt: uniform between 0 and a limit that doubles with each attempt.
 *
 * @param random - Source of randomness.
 * @param attempt - Attempts so far, from 0.
 * @param firstMs - Limit of the first delay.
 * @param maxMs - Limit of every delay.
 * @returns The delay in milliseconds, at least 1.
 */
export const fullJitterMs = (random: Random, attempt: number, firstMs: number, maxMs: number): number =>
  Math.max(1, random.next() * Math.min(maxMs, firstMs * 2 ** attempt))
