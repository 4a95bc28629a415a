import type { Target, TargetReservation } from '@lovagehoist/common'

/** Requests that this daemon has in flight at each target. */
export class InFlight {
  private readonly counts = new Map<string, number>()

  private constructor () {}

  /**
   * Creates an empty count.
   *
   * @returns The count.
   */
  static create (): InFlight {
    return new InFlight()
  }

  /** Requests in flight as a share of the target's slots. */
  load (target: Target): number {
    return (this.counts.get(target.id) ?? 0) / Math.max(1, target.slots)
  }

  /** Counts a request until its reservation is released. */
  reserve (target: Target): TargetReservation {
    this.counts.set(target.id, (this.counts.get(target.id) ?? 0) + 1)
    let isHeld = true
    const release = (): void => {
      if (!isHeld) return
      isHeld = false
      this.counts.set(target.id, (this.counts.get(target.id) ?? 1) - 1)
    }
    return { target, release }
  }
}
