import type { Target, TargetReservation } from '@lovagehoist/common'

/** Counts the requests of this daemon in flight at each target. */
export class InFlightCounter {
  private readonly counts = new Map<string, number>()

  private constructor () {}

  /**
   * Creates a counter without requests.
   *
   * @returns The counter.
   */
  static create (): InFlightCounter {
    return new InFlightCounter()
  }

  /** Returns the requests in flight as a share of the target's slots. */
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
