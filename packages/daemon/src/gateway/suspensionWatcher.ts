import type { Clock, Log } from '@lovagehoist/common'

/** Clocks, log and callback of a suspension watcher. */
export interface SuspensionWatcherOptions {
  readonly clock: Clock
  /** Time since the machine started, including the time for which it was suspended. */
  readonly uptimeMs: () => number
  readonly log: Log
  /** Called with the length of each suspension. */
  readonly onSuspended: (durationMs: number) => void
}

const CHECK_INTERVAL_MS = 250
/** Shorter steps come from the rounding of the clocks. */
const MIN_SUSPENSION_MS = 400

/**
 * Detects suspensions of the machine: the monotonic clock stops during one, while uptime and wall clock go on. Both must step
 * relative to the monotonic clock; a step of only one of them means that this clock was set.
 *
 * @param options - Clocks, log and callback.
 * @returns A loop that runs until its signal aborts.
 */
export const createSuspensionWatcher = ({ clock, uptimeMs, log, onSuspended }: SuspensionWatcherOptions) => async (signal: AbortSignal): Promise<void> => {
  const offsetsMs = (): readonly number[] => [uptimeMs() - clock.monotonicMs(), clock.wallMs() - clock.monotonicMs()]
  let previousOffsetsMs = offsetsMs()
  while (!signal.aborted) {
    await clock.sleepMs(CHECK_INTERVAL_MS, signal)
    const currentOffsetsMs = offsetsMs()
    const stepMs = Math.min(...currentOffsetsMs.map((offsetMs, index) => offsetMs - (previousOffsetsMs[index] ?? 0)))
    previousOffsetsMs = currentOffsetsMs
    if (stepMs < MIN_SUSPENSION_MS) continue
    log.warn('the machine was suspended', { durationMs: Math.round(stepMs) })
    onSuspended(stepMs)
  }
}
