import type { Random } from '@lovagehoist/common'

/**
 * Pause before the next attempt: uniform between 0 and a limit that doubles with each attempt.
 *
 * @param random - Source of randomness.
 * @param attempt - Attempts so far, from 0.
 * @param firstMs - Limit of the first pause.
 * @param longestMs - Limit of every pause.
 * @returns The pause in milliseconds, at least 1.
 */
export const fullJitterMs = (random: Random, attempt: number, firstMs: number, longestMs: number): number =>
  Math.max(1, random.next() * Math.min(longestMs, firstMs * 2 ** attempt))
