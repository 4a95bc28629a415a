import type { Clock } from '@lovagehoist/common'

const MS_PER_SECOND = 1_000
const TICK_MS = 2

/** A steady load. */
export interface OpenLoopOptions {
  readonly clock: Clock
  readonly perSecond: number
  readonly durationMs: number
}

/**
 * Starts requests at a steady rate whether or not earlier ones have ended.
 *
 * @param options - Rate and time.
 * @param start - Starts the n-th request.
 * @returns Resolves when every request has ended.
 */
export const runOpenLoop = async (options: OpenLoopOptions, start: (index: number) => Promise<void>): Promise<void> => {
  const { clock, perSecond, durationMs } = options
  const beginMs = clock.monotonicMs()
  const running: Array<Promise<void>> = []
  let elapsedMs = 0
  while (elapsedMs < durationMs) {
    await clock.sleepMs(TICK_MS)
    elapsedMs = clock.monotonicMs() - beginMs
    const due = Math.floor(Math.min(elapsedMs, durationMs) * perSecond / MS_PER_SECOND)
    while (running.length < due) running.push(start(running.length))
  }
  await Promise.all(running)
}
