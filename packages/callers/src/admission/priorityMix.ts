/** Weight of the newest observation. */
const NEWEST_SHARE = 0.02
/** Share of higher priorities above which estimates are not stretched further. */
const LARGEST_SHARE = 0.9

/** Shares of the priorities among the requests that were started lately. */
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

  /** Notes that a request of a priority was started. */
  observe (priority: number): void {
    for (const [other, share] of this.shares) this.shares.set(other, share * (1 - NEWEST_SHARE))
    this.shares.set(priority, (this.shares.get(priority) ?? 0) + NEWEST_SHARE)
  }

  /**
   * Share of starts that went to requests of higher priority.
   *
   * @param priority - Priority of a waiting request.
   * @returns A share from 0 to 0.9.
   */
  shareAbove (priority: number): number {
    const above = [...this.shares].reduce((sum, [other, share]) => other > priority ? sum + share : sum, 0)
    return Math.min(LARGEST_SHARE, above)
  }
}
