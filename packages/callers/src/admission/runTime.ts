/** Weight of the newest observation. */
const NEWEST_SHARE = 0.1

/** Moving average of the time that requests of a service run. */
export class RunTime {
  private averageMs: number | undefined

  private constructor () {}

  /**
   * Creates an average without observations.
   *
   * @returns The average.
   */
  static create (): RunTime {
    return new RunTime()
  }

  /** Average in milliseconds; 0 before the first observation. */
  get meanMs (): number {
    return this.averageMs ?? 0
  }

  /** Adds the time of one request. */
  observe (runMs: number): void {
    this.averageMs = this.averageMs === undefined ? runMs : this.averageMs + (runMs - this.averageMs) * NEWEST_SHARE
  }
}
