/** Retries that a quiet service may make at once. */
const RESERVE = 2
/** Most retries that can be saved up. */
const MOST = 20

/** Bounds the retries of each service to a share of its first tries; each daemon earns from its own, so the fleet keeps the share. */
export class RetryBudget {
  private readonly saved = new Map<string, number>()

  private constructor () {}

  /**
   * Creates a budget with a small reserve for each service.
   *
   * @returns The budget.
   */
  static create (): RetryBudget {
    return new RetryBudget()
  }

  /**
   * Notes a first try.
   *
   * @param service - Service.
   * @param share - Retries as a share of first tries.
   */
  earn (service: string, share: number): void {
    this.saved.set(service, Math.min(MOST, (this.saved.get(service) ?? RESERVE) + share))
  }

  /**
   * Takes one retry out of the budget.
   *
   * @param service - Service.
   * @returns Whether there was one.
   */
  spend (service: string): boolean {
    const saved = this.saved.get(service) ?? RESERVE
    if (saved < 1) return false
    this.saved.set(service, saved - 1)
    return true
  }
}
