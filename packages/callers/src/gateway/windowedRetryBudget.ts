import type { Clock, DeploymentLimits } from '@lovagehoist/common'

/** Clock, limits and fleet state of a retry budget. */
export interface WindowedRetryBudgetOptions {
  readonly clock: Clock
  /** Retry share, slack and window that hold for the whole fleet. */
  readonly limits: () => DeploymentLimits
  /** Whether the fleet starts for the first time, so that no predecessor of this process can have used part of the slack. */
  readonly isFirstStart: boolean
  /** Number of live daemons, this one included. */
  readonly fleetSize: () => number
}

/** Share of the budget that is used: the windows of the daemons, and of whoever verifies the budget, are not aligned. */
const SAFETY_FACTOR = 0.93
/** Number of counting intervals in a window. */
const BUCKETS_PER_WINDOW = 20
/** Lower bound for the fleet size, used until the other daemons are known. */
const MIN_FLEET_SIZE = 24

interface Bucket {
  readonly startedAtMs: number
  requests: number
  retries: number
}

/**
 * Limits the retries of this daemon for each service to a share of its own requests in a sliding window, plus its part of the fleet's
 * slack. When every daemon keeps its own limit, the sum stays within the fleet's budget without any coordination.
 */
export class WindowedRetryBudget {
  private readonly services = new Map<string, Bucket[]>()
  private readonly startedAtMs: number

  private constructor (private readonly options: WindowedRetryBudgetOptions) {
    this.startedAtMs = options.clock.monotonicMs()
  }

  /**
   * Creates an empty budget.
   *
   * @param options - Clock, limits and fleet size.
   * @returns The budget.
   */
  static create (options: WindowedRetryBudgetOptions): WindowedRetryBudget {
    return new WindowedRetryBudget(options)
  }

  /** Counts a request for a service, which raises the limit for retries. */
  recordRequest (service: string): void {
    this.currentBucket(service).requests++
  }

  /**
   * Uses one retry of the budget, if one is left.
   *
   * @param service - Service.
   * @returns Whether the retry is allowed.
   */
  tryAcquire (service: string): boolean {
    const current = this.currentBucket(service)
    const { retryShare } = this.options.limits()
    let requests = 0
    let retries = 0
    for (const bucket of this.services.get(service) ?? []) {
      requests += bucket.requests
      retries += bucket.retries
    }
    if (retries + 1 > (retryShare * requests + this.slackShare()) * SAFETY_FACTOR) return false
    current.retries++
    return true
  }

  /** This daemon's part of the slack; it grows over the first window, because a predecessor may have used it up just before the restart. */
  private slackShare (): number {
    const { retrySlack, retryWindowMs } = this.options.limits()
    const elapsedShare = Math.min(1, (this.options.clock.monotonicMs() - this.startedAtMs) / retryWindowMs)
    const availableShare = this.options.isFirstStart ? 1 : elapsedShare
    return retrySlack * availableShare / Math.max(MIN_FLEET_SIZE, this.options.fleetSize())
  }

  private currentBucket (service: string): Bucket {
    const { clock, limits } = this.options
    const nowMs = clock.monotonicMs()
    const { retryWindowMs } = limits()
    const recent = (this.services.get(service) ?? []).filter(({ startedAtMs }) => nowMs - startedAtMs < retryWindowMs)
    this.services.set(service, recent)
    const last = recent.at(-1)
    if (last !== undefined && nowMs - last.startedAtMs < retryWindowMs / BUCKETS_PER_WINDOW) return last
    const bucket: Bucket = { startedAtMs: nowMs, requests: 0, retries: 0 }
    recent.push(bucket)
    return bucket
  }
}
