import { monitorEventLoopDelay } from 'node:perf_hooks'

const NANOS_PER_MS = 1_000_000
const RESOLUTION_MS = 10

/** Measures the delay of this process's event loop, to detect that the load generator itself is the bottleneck. */
export class EventLoopLag {
  private readonly monitor = monitorEventLoopDelay({ resolution: RESOLUTION_MS })

  private constructor () {
    this.monitor.enable()
  }

  /** Starts a measurement. */
  static create (): EventLoopLag {
    return new EventLoopLag()
  }

  /** 99th percentile of the delay in milliseconds, less the sampling interval. */
  p99Ms (): number {
    return Math.max(0, this.monitor.percentile(99) / NANOS_PER_MS - RESOLUTION_MS)
  }
}
