/** Confirmation that a version was the newest accepted one at a given time. */
export interface VersionConfirmation {
  readonly version: number
  /** Monotonic time of this daemon at which the version was the newest. */
  readonly atMs: number
}

/**
 * Tracks the last time at which this daemon's version was confirmed as the newest accepted one.
 *
 * A daemon may serve while the last confirmation is recent. Confirmations come from a read of the table that shows the
 * held version, from a peer with such a read, or from a majority of the known instances that holds nothing newer.
 */
export class ConfirmationTracker {
  private confirmedAtMs = Number.NEGATIVE_INFINITY
  private newerConfirmation: VersionConfirmation = { version: 0, atMs: Number.NEGATIVE_INFINITY }

  private constructor (private readonly heldVersion: () => number) {}

  /**
   * Creates a tracker without confirmations.
   *
   * @param heldVersion - Returns the version that the daemon holds; 0 for none.
   * @returns The tracker.
   */
  static create (heldVersion: () => number): ConfirmationTracker {
    return new ConfirmationTracker(heldVersion)
  }

  /** Adds a confirmation; one for a newer version than the held one is kept until that version is adopted. */
  add (confirmation: VersionConfirmation): void {
    if (confirmation.version <= this.heldVersion()) this.confirmedAtMs = Math.max(this.confirmedAtMs, confirmation.atMs)
    else if (confirmation.version > this.newerConfirmation.version || (confirmation.version === this.newerConfirmation.version && confirmation.atMs > this.newerConfirmation.atMs)) this.newerConfirmation = confirmation
  }

  /** Applies a kept confirmation; to be called after each change of the held version. */
  onVersionAdopted (): void {
    if (this.newerConfirmation.version <= this.heldVersion()) this.confirmedAtMs = Math.max(this.confirmedAtMs, this.newerConfirmation.atMs)
  }

  /**
   * Returns the time since the held version was last confirmed as the newest.
   *
   * @param nowMs - Monotonic time.
   * @returns Milliseconds; infinite when it never was.
   */
  ageMs (nowMs: number): number {
    return this.heldVersion() === 0 ? Number.POSITIVE_INFINITY : nowMs - this.confirmedAtMs
  }
}
