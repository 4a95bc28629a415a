import type { Clock } from '@lovagehoist/common'

/** Unused time of a slot that may be saved up. */
const MOST_SAVED_SLOT_MS = 50
/** Overdraft that is remembered. */
const MOST_OWED_SLOT_MS = 1_000

/** Slots in use against a fractional limit: the part above a whole number is granted for that share of the time. */
export class SlotCredit {
  private inUse = 0
  private peak = 0
  private savedSlotMs = MOST_SAVED_SLOT_MS
  private countedAtMs: number

  private constructor (private readonly clock: Clock, private readonly limit: () => number) {
    this.countedAtMs = clock.monotonicMs()
  }

  /**
   * Creates a credit with nothing in use.
   *
   * @param clock - Source of time.
   * @param limit - Slots that may be in use on average.
   * @returns The credit.
   */
  static create (clock: Clock, limit: () => number): SlotCredit {
    return new SlotCredit(clock, limit)
  }

  /** Slots in use. */
  get held (): number {
    return this.inUse
  }

  /** Takes a slot when the limit allows it now. */
  take (): boolean {
    if (this.waitMs() > 0) return false
    this.inUse++
    this.peak = Math.max(this.peak, this.inUse)
    return true
  }

  /** Gives a slot back. */
  giveBack (): void {
    this.settle()
    this.inUse--
  }

  /** Most slots in use at once since the last call. */
  takePeak (): number {
    const { peak } = this
    this.peak = this.inUse
    return peak
  }

  /** Time until a slot can be taken if none is given back; infinite when one must be. */
  waitMs (): number {
    this.settle()
    const limit = this.limit()
    if (this.inUse + 1 <= limit) return 0
    if (this.inUse >= limit) return Number.POSITIVE_INFINITY
    return this.savedSlotMs > 0 ? 0 : (1 - this.savedSlotMs) / (limit - this.inUse)
  }

  private settle (): void {
    const nowMs = this.clock.monotonicMs()
    const earned = (this.limit() - this.inUse) * (nowMs - this.countedAtMs)
    this.savedSlotMs = Math.max(-MOST_OWED_SLOT_MS, Math.min(MOST_SAVED_SLOT_MS, this.savedSlotMs + earned))
    this.countedAtMs = nowMs
  }
}
