import type { Clock } from '@lovagehoist/common'

/** What a gate needs. */
export interface StartGateOptions {
  readonly clock: Clock
  /** Whether the daemon knows what it needs to serve. */
  readonly isOpen: () => boolean
}

/** Time after a start in which requests wait: reading configuration and targets takes some 200 ms on half a core; longer, the store is away. */
const HOLD_MS = 1_000
/** Part of a request's own time that it may wait here. */
const HOLD_SHARE = 0.25
const LOOK_MS = 10

/** Holds the requests that reach a process in its first moments, instead of refusing what it can serve a moment later. */
export class StartGate {
  private readonly untilMs: number

  private constructor (private readonly options: StartGateOptions) {
    this.untilMs = options.clock.monotonicMs() + HOLD_MS
  }

  /**
   * Creates a gate for a process that starts now.
   *
   * @param options - Clock and what opens the gate.
   * @returns The gate.
   */
  static create (options: StartGateOptions): StartGate {
    return new StartGate(options)
  }

  /**
   * Waits until the gate opens; no longer than a start takes and a request can wait.
   *
   * @param leftMs - Time that the request has.
   * @param gone - Aborts when the caller is gone.
   */
  async pass (leftMs: number, gone: AbortSignal): Promise<void> {
    const { clock, isOpen } = this.options
    const untilMs = Math.min(this.untilMs, clock.monotonicMs() + HOLD_SHARE * leftMs)
    while (!isOpen() && !gone.aborted && clock.monotonicMs() < untilMs) await clock.sleepMs(LOOK_MS)
  }
}
