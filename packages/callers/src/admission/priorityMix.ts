/** Weight of the latest observation in the exponential moving average. */
const SMOOTHING_FACTOR = 0.02
/** Upper bound of the returned share; keeps wait estimates that divide by the remainder finite. */
const MAX_SHARE_ABOVE = 0.9

/** Moving average of the share of each priority among started requests. */
export class PriorityMix {
  private readonly shares = new Map<number, number>()

  private constructor () {}

  /**
   * Creates a mix without observations.
   *
   * @returns The mix.
   */
  static create (): PriorityMix {
    return new PriorityMix()
  }

  /** Records the start of a request. */
  observe (priority: number): void {
    for (const [other, share] of this.shares) this.shares.set(other, share * (1 - SMOOTHING_FACTOR))
    this.shares.set(priority, (this.shares.get(priority) ?? 0) + SMOOTHING_FACTOR)
  }

  /**
   * Returns the share of started requests that had a higher priority.
   *
   * @param priority - Priority of a waiting request.
   * @returns A share from 0 to 0.9.
   */
  shareAbove (priority: number): number {
    const above = [...this.shares].reduce((sum, [other, share]) => other > priority ? sum + share : sum, 0)
    return Math.min(MAX_SHARE_ABOVE, above)
  }
}
