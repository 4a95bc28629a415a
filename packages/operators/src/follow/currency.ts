/** A version that somebody established as the newest accepted one at a moment. */
export interface Sighting {
  readonly version: number
  /** Monotonic time of this daemon at which the version was certainly the newest. */
  readonly atMs: number
}

/**
 * Knows until when this daemon certainly held the newest accepted version.
 *
 * A daemon may serve while that moment is recent. It is moved on by a read of the table that shows the version held, by
 * a peer that had such a read, or by most of the known instances holding nothing newer.
 */
export class Currency {
  private confirmedAtMs = Number.NEGATIVE_INFINITY
  private ahead: Sighting = { version: 0, atMs: Number.NEGATIVE_INFINITY }

  private constructor (private readonly heldVersion: () => number) {}

  /**
   * Creates the knowledge of a daemon that has heard nothing.
   *
   * @param heldVersion - Version that the daemon holds; 0 for none.
   * @returns The knowledge.
   */
  static create (heldVersion: () => number): Currency {
    return new Currency(heldVersion)
  }

  /** Takes in what was the newest version at a moment. */
  see (sighting: Sighting): void {
    if (sighting.version <= this.heldVersion()) this.confirmedAtMs = Math.max(this.confirmedAtMs, sighting.atMs)
    else if (sighting.version > this.ahead.version || (sighting.version === this.ahead.version && sighting.atMs > this.ahead.atMs)) this.ahead = sighting
  }

  /** Has to be called after the version held changed. */
  adopted (): void {
    if (this.ahead.version <= this.heldVersion()) this.confirmedAtMs = Math.max(this.confirmedAtMs, this.ahead.atMs)
  }

  /**
   * Time since the version held was certainly the newest.
   *
   * @param nowMs - Monotonic time.
   * @returns Milliseconds; infinite when it never was.
   */
  ageMs (nowMs: number): number {
    return this.heldVersion() === 0 ? Number.POSITIVE_INFINITY : nowMs - this.confirmedAtMs
  }
}
