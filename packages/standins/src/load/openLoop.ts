import type { Clock } from '@lovagehoist/common'

const MS_PER_SECOND = 1_000
const TICK_INTERVAL_MS = 2

/** Rate and duration of an open-loop load. */
export interface OpenLoopOptions {
  readonly clock: Clock
  readonly perSecond: number
  readonly durationMs: number
}

/**
 * Starts requests at a constant rate, regardless of whether earlier ones have ended (open loop).
 *
 * @param options - Rate and duration.
 * @param start - Starts the request with the given index.
 * @returns Resolves when every request has ended.
 */
export const runOpenLoop = async (options: OpenLoopOptions, start: (index: number) => Promise<void>): Promise<void> => {
  const { clock, perSecond, durationMs } = options
  const startedAtMs = clock.monotonicMs()
  const running: Array<Promise<void>> = []
  let elapsedMs = 0
  while (elapsedMs < durationMs) {
    await clock.sleepMs(TICK_INTERVAL_MS)
    elapsedMs = clock.monotonicMs() - startedAtMs
    const due = Math.floor(Math.min(elapsedMs, durationMs) * perSecond / MS_PER_SECOND)
    while (running.length < due) running.push(start(running.length))
  }
  await Promise.all(running)
}
