import type { GatewayBounds } from '@lovagehoist/common'

/** Part of the fleet's budget that is used: what callers' requests are counted differs a little from what was sent. */
const USED_PART = 0.85

/** Repeats that this daemon may make at each service: a share of its requests, and its part of the fleet's slack. */
export class RetryAllowance {
  private readonly saved = new Map<string, number>()

  private constructor (private readonly bounds: () => GatewayBounds, private readonly fleetSize: () => number) {}

  /**
   * Creates an allowance.
   *
   * @param bounds - Share and slack of the whole fleet.
   * @param fleetSize - Number of live daemons.
   * @returns The allowance.
   */
  static create (bounds: () => GatewayBounds, fleetSize: () => number): RetryAllowance {
    return new RetryAllowance(bounds, fleetSize)
  }

  /** Notes a request for a service. */
  earn (service: string): void {
    this.saved.set(service, Math.min(this.most(), this.savedOf(service) + this.bounds().retryShare * USED_PART))
  }

  /**
   * Takes one repeat.
   *
   * @param service - Service.
   * @returns Whether there was one.
   */
  spend (service: string): boolean {
    const saved = this.savedOf(service)
    if (saved < 1) return false
    this.saved.set(service, saved - 1)
    return true
  }

  private savedOf (service: string): number {
    return this.saved.get(service) ?? this.most()
  }

  private most (): number {
    return Math.max(1, this.bounds().retrySlack * USED_PART / this.fleetSize())
  }
}
