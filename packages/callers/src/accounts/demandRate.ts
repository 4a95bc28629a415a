/** Time constant of the average: short, since an account's demand may rise by a factor of seven from one second to the next. */
const AVERAGING_MS = 300
const MS_PER_SECOND = 1_000

/** Recent rate of an account's requests, as an exponential average. */
export class DemandRate {
  private value = 0

  private constructor (private updatedAtMs: number) {}

  /**
   * Creates a rate of zero.
   *
   * @param nowMs - Monotonic time.
   */
  static create (nowMs: number): DemandRate {
    return new DemandRate(nowMs)
  }

  /** Adds requests that became known now. */
  add (count: number, nowMs: number): void {
    this.value = this.perSecond(nowMs) + count * MS_PER_SECOND / AVERAGING_MS
    this.updatedAtMs = nowMs
  }

  /** Requests per second. */
  perSecond (nowMs: number): number {
    return this.value * Math.exp((this.updatedAtMs - nowMs) / AVERAGING_MS)
  }
}
