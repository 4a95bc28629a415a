/** Cancels a timer; calling it after the timer fired has no effect. */
export type CancelTimer = () => void

/** Source of time for every part below the composition root. */
export interface Clock {
  /** Milliseconds on a clock that never steps back; its origin is arbitrary. */
  readonly monotonicMs: () => number
  /** Milliseconds since the Unix epoch; may step. */
  readonly wallMs: () => number
  /**
   * Waits for a time; resolves early, without an error, when the signal aborts.
   *
   * @param durationMs - Time to wait.
   * @param signal - Ends the wait early.
   */
  readonly sleepMs: (durationMs: number, signal?: AbortSignal) => Promise<void>
  /**
   * Calls a function once after a time.
   *
   * @param durationMs - Time to wait.
   * @param run - Function to call.
   * @returns Cancels the timer.
   */
  readonly after: (durationMs: number, run: () => void) => CancelTimer
}
