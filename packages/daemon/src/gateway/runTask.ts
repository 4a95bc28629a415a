import type { Clock, Log } from '@lovagehoist/common'

/** A background loop that runs until its signal aborts. */
export type BackgroundTask = (signal: AbortSignal) => Promise<void>

/** Time after which a task that failed is started again. */
const RESTART_DELAY_MS = 1_000

/**
 * Runs a background task, and starts it again after an unexpected error: a daemon without it would go on with what it knows for ever.
 *
 * @param task - Task to run.
 * @param dependencies - Clock and log.
 * @param signal - Ends the task.
 */
export const runTask = async (task: BackgroundTask, { clock, log }: { readonly clock: Clock, readonly log: Log }, signal: AbortSignal): Promise<void> => {
  while (!signal.aborted) {
    try {
      await task(signal)
      return
    } catch (error) {
      log.error('background task failed', { error: error instanceof Error ? error.stack : String(error) })
    }
    await clock.sleepMs(RESTART_DELAY_MS, signal)
  }
}
