import { monitorEventLoopDelay } from 'node:perf_hooks'

const NANOS_PER_MS = 1_000_000
const RESOLUTION_MS = 10

/** Delay of this process's event loop, which tells whether the load generator itself is the limit. */
export class EventLoopLag {
  private readonly monitor = monitorEventLoopDelay({ resolution: RESOLUTION_MS })

  private constructor () {
    this.monitor.enable()
  }

  /**
   * Starts to measure.
   *
   * @returns The measurement.
   */
  static create (): EventLoopLag {
    return new EventLoopLag()
  }

  /** Delay that 99 in 100 turns stay below, in milliseconds, beyond the sampling interval. */
  p99Ms (): number {
    return Math.max(0, this.monitor.percentile(99) / NANOS_PER_MS - RESOLUTION_MS)
  }
}
