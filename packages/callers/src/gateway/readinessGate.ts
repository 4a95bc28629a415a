import type { Clock } from '@lovagehoist/common'

/** Clock and readiness check of a gate. */
export interface ReadinessGateOptions {
  readonly clock: Clock
  /** Whether the daemon has loaded everything that it needs to serve requests. */
  readonly isReady: () => boolean
}

/** Time after process start during which requests wait: loading configuration and targets takes about 200 ms on half a core; when it takes longer, the store is unreachable. */
const MAX_STARTUP_MS = 1_000
/** Largest share of a request's remaining time that it may spend waiting. */
const MAX_WAIT_SHARE = 0.25
const POLL_MS = 10

/** Delays requests that arrive while the daemon is starting, instead of refusing what it can serve a moment later. */
export class ReadinessGate {
  private readonly startupEndsAtMs: number

  private constructor (private readonly options: ReadinessGateOptions) {
    this.startupEndsAtMs = options.clock.monotonicMs() + MAX_STARTUP_MS
  }

  /**
   * Creates a gate for a process that is starting now.
   *
   * @param options - Clock and readiness check.
   * @returns The gate.
   */
  static create (options: ReadinessGateOptions): ReadinessGate {
    return new ReadinessGate(options)
  }

  /**
   * Waits until the daemon is ready, the startup time is over, a share of the request's time is used up or the caller disconnects.
   *
   * @param remainingMs - Time, in milliseconds, until the response is due.
   * @param disconnectSignal - Aborts when the caller disconnects.
   */
  async waitUntilReady (remainingMs: number, disconnectSignal: AbortSignal): Promise<void> {
    const { clock, isReady } = this.options
    const waitUntilMs = Math.min(this.startupEndsAtMs, clock.monotonicMs() + MAX_WAIT_SHARE * remainingMs)
    while (!isReady() && !disconnectSignal.aborted && clock.monotonicMs() < waitUntilMs) await clock.sleepMs(POLL_MS)
  }
}
