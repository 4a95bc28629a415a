import type { Clock, Log } from '@lovagehoist/common'

/** What the watch needs. */
export interface SuspensionOptions {
  readonly clock: Clock
  /** Time since the machine started, which goes on while it is suspended. */
  readonly uptimeMs: () => number
  readonly log: Log
  /** Called with the length of each suspension. */
  readonly onSuspended: (durationMs: number) => void
}

const LOOK_MS = 250
/** Steps below this are the rounding of the clocks. */
const LEAST_STEP_MS = 400

/**
 * Watches for suspensions of the machine: the monotonic clock stands still in them, the uptime and the time of day do not. One alone that steps was set.
 *
 * @param options - Clocks and what is told.
 * @returns A loop that runs until its signal aborts.
 */
export const watchSuspension = ({ clock, uptimeMs, log, onSuspended }: SuspensionOptions) => async (signal: AbortSignal): Promise<void> => {
  const offsetsMs = (): readonly number[] => [uptimeMs() - clock.monotonicMs(), clock.wallMs() - clock.monotonicMs()]
  let before = offsetsMs()
  while (!signal.aborted) {
    await clock.sleepMs(LOOK_MS, signal)
    const now = offsetsMs()
    const stepMs = Math.min(...now.map((offsetMs, index) => offsetMs - (before[index] ?? 0)))
    before = now
    if (stepMs < LEAST_STEP_MS) continue
    log.warn('the machine was suspended', { durationMs: Math.round(stepMs) })
    onSuspended(stepMs)
  }
}
