import type { Clock } from '@lovagehoist/common'
import { Histogram } from 'prom-client'
import type { Registry } from 'prom-client'
import type { BackgroundTask } from './runTask.js'

/** As long as the intervals of other tasks, whose timers wake the process anyway; a delay half as long is seen every second time. */
const SAMPLE_INTERVAL_MS = 250
const MS_PER_SECOND = 1_000
const BUCKETS_SECONDS = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5]

/**
 * Creates a loop that measures how late its own timer fires: a process without processor time, or one that is blocked by its own work, shows in it.
 *
 * @param clock - Source of time.
 * @param registry - Registry of this daemon.
 * @returns A loop that runs until its signal aborts.
 */
export const createEventLoopDelayTask = (clock: Clock, registry: Registry): BackgroundTask => {
  const delays = new Histogram({ name: 'lovagehoist_event_loop_delay_seconds', help: 'Delay of a timer every 250 ms.', buckets: BUCKETS_SECONDS, registers: [registry] })
  return async signal => {
    while (!signal.aborted) {
      const dueAtMs = clock.monotonicMs() + SAMPLE_INTERVAL_MS
      await clock.sleepMs(SAMPLE_INTERVAL_MS, signal)
      if (!signal.aborted) delays.observe(Math.max(0, clock.monotonicMs() - dueAtMs) / MS_PER_SECOND)
    }
  }
}
