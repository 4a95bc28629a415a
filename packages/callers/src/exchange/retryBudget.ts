/** Initial tokens, so that a service with little traffic can retry at all. */
const INITIAL_TOKENS = 2
/** Capacity of a token bucket, which bounds bursts of retries. */
const MAX_TOKENS = 20

/** Token buckets that limit the retries of each service to a share of its requests. Each daemon counts its own requests, so the whole fleet keeps the share. */
export class RetryBudget {
  private readonly tokens = new Map<string, number>()

  private constructor () {}

  /**
   * Creates a budget in which each service starts with a few tokens.
   *
   * @returns The budget.
   */
  static create (): RetryBudget {
    return new RetryBudget()
  }

  /**
   * Counts the first attempt of a request, which adds a fraction of a token.
   *
   * @param service - Service.
   * @param retryShare - Allowed retries as a share of requests.
   */
  recordRequest (service: string, retryShare: number): void {
    this.tokens.set(service, Math.min(MAX_TOKENS, (this.tokens.get(service) ?? INITIAL_TOKENS) + retryShare))
  }

  /**
   * Takes the token for one retry, if one is left.
   *
   * @param service - Service.
   * @returns Whether the retry is allowed.
   */
  tryAcquire (service: string): boolean {
    const tokens = this.tokens.get(service) ?? INITIAL_TOKENS
    if (tokens < 1) return false
    this.tokens.set(service, tokens - 1)
    return true
  }
}
