import type { ClientAccount, Random } from '@lovagehoist/common'

/** Demand of the accounts of a simulation. */
export interface AccountLoadOptions {
  readonly accounts?: number
  /** Requests per second of all accounts together. */
  readonly requestsPerSecond?: number
  /** Rate and burst of each account, relative to its usual requests per second; 1.6 by default. */
  readonly headroom?: number
  /** Accounts that demand a multiple of their usual rate for a time, by their index. */
  readonly hot?: ReadonlyArray<{ readonly account: number, readonly factor: number, readonly fromMs: number, readonly untilMs: number }>
  /** Zone whose daemons get all requests of an account at a time; undefined for all zones. */
  readonly zoneOf?: (account: number, atMs: number) => number | undefined
}

const ACCOUNTS = 73
const REQUESTS_PER_SECOND = 640
/** Weights of the accounts: the k-th largest has k to this power. */
const WEIGHT_EXPONENT = -1.2
const HEADROOM = 1.6
const MS_PER_SECOND = 1_000

/** Poisson requests of a few large and many small accounts. */
export class AccountLoad {
  readonly accounts: readonly ClientAccount[]
  private readonly usualPerSecond: readonly number[]
  private readonly maxFactors: readonly number[]

  private constructor (private readonly options: AccountLoadOptions, private readonly random: Random) {
    const weights = Array.from({ length: options.accounts ?? ACCOUNTS }, (_, index) => (index + 1) ** WEIGHT_EXPONENT)
    const total = weights.reduce((sum, weight) => sum + weight, 0)
    this.usualPerSecond = weights.map(weight => weight / total * (options.requestsPerSecond ?? REQUESTS_PER_SECOND))
    const headroom = options.headroom ?? HEADROOM
    this.accounts = this.usualPerSecond.map((perSecond, index) => ({ name: `account-${index}`, keys: [], priority: undefined, requestsPerSecond: headroom * perSecond, burst: headroom * perSecond }))
    this.maxFactors = weights.map((_, index) => Math.max(1, ...(options.hot ?? []).filter(({ account }) => account === index).map(({ factor }) => factor)))
  }

  /** Creates the load. */
  static create (options: AccountLoadOptions, random: Random): AccountLoad {
    return new AccountLoad(options, random)
  }

  /** Draws the time until the next request that an account may make. */
  nextDelayMs (account: number): number {
    return -Math.log(1 - this.random.next()) * MS_PER_SECOND / ((this.usualPerSecond[account] ?? 1) * (this.maxFactors[account] ?? 1))
  }

  /** Draws whether the account makes the request; those of its usual time are fewer than those of its busiest. */
  isRequest (account: number, atMs: number): boolean {
    const hot = this.options.hot?.find(entry => entry.account === account && atMs >= entry.fromMs && atMs < entry.untilMs)
    return this.random.next() < (hot?.factor ?? 1) / (this.maxFactors[account] ?? 1)
  }

  /** Zone whose daemons get the requests of an account; undefined for all zones. */
  zoneOf (account: number, atMs: number): number | undefined {
    return this.options.zoneOf?.(account, atMs)
  }
}
