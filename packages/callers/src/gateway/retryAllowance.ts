import type { Clock, DeploymentLimits } from '@lovagehoist/common'

/** What the allowance needs. */
export interface RetryAllowanceOptions {
  readonly clock: Clock
  /** Share, slack and window of the whole fleet. */
  readonly bounds: () => DeploymentLimits
  /** Whether no predecessor of this process can have spent any of the slack. */
  readonly isFirstStart: boolean
  /** Number of live daemons, this one included. */
  readonly fleetSize: () => number
}

/** Part of the budget that is used: the windows of daemons and of who counts do not begin together. */
const USED_PART = 0.93
/** Parts of a window in which events are counted. */
const BUCKETS = 20
/** Size of the fleet that is assumed until the others are known. */
const LEAST_FLEET = 24

interface Bucket {
  readonly beganAtMs: number
  requests: number
  repeats: number
}

/**
 * Repeats that this daemon may make at each service: a share of its own requests of the last window and its part of the fleet's
 * slack. When every daemon keeps to its own, the sum keeps to the fleet's budget, without any exchange.
 */
export class RetryAllowance {
  private readonly services = new Map<string, Bucket[]>()
  private readonly startedAtMs: number

  private constructor (private readonly options: RetryAllowanceOptions) {
    this.startedAtMs = options.clock.monotonicMs()
  }

  /**
   * Creates an allowance.
   *
   * @param options - Clock, budget and size of the fleet.
   * @returns The allowance.
   */
  static create (options: RetryAllowanceOptions): RetryAllowance {
    return new RetryAllowance(options)
  }

  /** Notes a request for a service. */
  earn (service: string): void {
    this.bucketOf(service).requests++
  }

  /**
   * Takes one repeat.
   *
   * @param service - Service.
   * @returns Whether there was one.
   */
  spend (service: string): boolean {
    const current = this.bucketOf(service)
    const { retryShare } = this.options.bounds()
    let requests = 0
    let repeats = 0
    for (const bucket of this.services.get(service) ?? []) {
      requests += bucket.requests
      repeats += bucket.repeats
    }
    if (repeats + 1 > (retryShare * requests + this.slack()) * USED_PART) return false
    current.repeats++
    return true
  }

  /** Part of the slack; a process that has just started does not know what its predecessor spent. */
  private slack (): number {
    const { retrySlack, retryWindowMs } = this.options.bounds()
    const ownPart = Math.min(1, (this.options.clock.monotonicMs() - this.startedAtMs) / retryWindowMs)
    const knownPart = this.options.isFirstStart ? 1 : ownPart
    return retrySlack * knownPart / Math.max(LEAST_FLEET, this.options.fleetSize())
  }

  private bucketOf (service: string): Bucket {
    const { clock, bounds } = this.options
    const nowMs = clock.monotonicMs()
    const { retryWindowMs } = bounds()
    const kept = (this.services.get(service) ?? []).filter(({ beganAtMs }) => nowMs - beganAtMs < retryWindowMs)
    this.services.set(service, kept)
    const last = kept.at(-1)
    if (last !== undefined && nowMs - last.beganAtMs < retryWindowMs / BUCKETS) return last
    const bucket: Bucket = { beganAtMs: nowMs, requests: 0, repeats: 0 }
    kept.push(bucket)
    return bucket
  }
}
