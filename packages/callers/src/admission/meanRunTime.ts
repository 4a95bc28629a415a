/** Weight of the latest observation. */
const SMOOTHING_FACTOR = 0.1

/** Exponential moving average of the execution time of a service's requests. */
export class MeanRunTime {
  private averageMs: number | undefined

  private constructor () {}

  /**
   * Creates an average without observations.
   *
   * @returns The average.
   */
  static create (): MeanRunTime {
    return new MeanRunTime()
  }

  /** Average, in milliseconds; 0 before the first observation. */
  get meanMs (): number {
    return this.averageMs ?? 0
  }

  /** Adds the execution time of one request. */
  observe (runMs: number): void {
    this.averageMs = this.averageMs === undefined ? runMs : this.averageMs + (runMs - this.averageMs) * SMOOTHING_FACTOR
  }
}
