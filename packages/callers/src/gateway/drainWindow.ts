import type { Clock } from '@lovagehoist/common'

/** Time after the start of a shutdown during which requests are still accepted: by its end the load balancer routes new connections elsewhere. */
const ACCEPT_MS = 2_900
/** Largest share of the grace period in which requests are still accepted: the rest is left for requests in progress. */
const MAX_ACCEPT_SHARE = 0.5

/** Decides whether a process that is shutting down still accepts requests: a late one would be cut off when the process is killed. */
export class DrainWindow {
  private acceptUntilMs = Infinity

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates the drain window of a process that is not shutting down yet.
   *
   * @param clock - Source of time.
   * @returns The drain window.
   */
  static create (clock: Clock): DrainWindow {
    return new DrainWindow(clock)
  }

  /**
   * Starts the shutdown; can't be undone.
   *
   * @param graceMs - Grace period, in milliseconds, until the process is killed.
   */
  begin (graceMs: number): void {
    this.acceptUntilMs = this.clock.monotonicMs() + Math.min(ACCEPT_MS, MAX_ACCEPT_SHARE * graceMs)
  }

  /** Whether the process is shutting down. */
  get isDraining (): boolean {
    return this.acceptUntilMs !== Infinity
  }

  /** Whether a request that arrives now is accepted. */
  get isAccepting (): boolean {
    return this.clock.monotonicMs() <= this.acceptUntilMs
  }
}
