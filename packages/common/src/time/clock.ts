/** Cancels a timer; calling it after the timer fired has no effect. */
export type CancelTimer = () => void

/** Source of time; injected everywhere so that tests control it. */
export interface Clock {
  /** Monotonic time in milliseconds from an arbitrary origin. */
  readonly monotonicMs: () => number
  /** Wall-clock time in milliseconds since the Unix epoch; may jump. */
  readonly wallMs: () => number
  /**
   * Waits for a duration; resolves early, without an error, when the signal aborts.
   *
   * @param durationMs - Time to wait.
   * @param signal - Ends the wait early.
   */
  readonly sleepMs: (durationMs: number, signal?: AbortSignal) => Promise<void>
  /**
   * Calls a function once after a duration.
   *
   * @param durationMs - Time to wait.
   * @param run - Function to call.
   * @returns A function that cancels the timer.
   */
  readonly after: (durationMs: number, run: () => void) => CancelTimer
}
