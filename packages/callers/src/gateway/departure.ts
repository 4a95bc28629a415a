import type { Clock } from '@lovagehoist/common'

/** Time from the begin of leaving in which requests are taken: the balancer sends new connections elsewhere by then. */
const TAKING_MS = 2_900
/** Part of the grace time after which no request is taken, however long it is: the rest is for those in progress. */
const TAKING_SHARE = 0.5

/** Tells whether a process that leaves still takes requests: one that comes late would be cut when the process ends. */
export class Departure {
  private lastTakenAtMs = Infinity

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates the departure of a process that does not leave yet.
   *
   * @param clock - Source of time.
   * @returns The departure.
   */
  static create (clock: Clock): Departure {
    return new Departure(clock)
  }

  /**
   * Begins to leave.
   *
   * @param graceMs - Time until the process is killed.
   */
  begin (graceMs: number): void {
    this.lastTakenAtMs = this.clock.monotonicMs() + Math.min(TAKING_MS, TAKING_SHARE * graceMs)
  }

  /** Whether a request that comes now is taken. */
  get isTaking (): boolean {
    return this.clock.monotonicMs() <= this.lastTakenAtMs
  }
}
