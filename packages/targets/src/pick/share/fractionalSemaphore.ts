import type { Clock } from '@lovagehoist/common'

/** Unused slot time that may be accumulated, in slots times milliseconds. */
const MAX_CREDIT_SLOT_MS = 50
/** Limit of the remembered overdraft, in slots times milliseconds. */
const MAX_OVERDRAFT_SLOT_MS = 1_000

/** Semaphore with a fractional limit: the slot above the whole part is granted for the fractional share of the time. */
export class FractionalSemaphore {
  private inUse = 0
  private peak = 0
  private creditSlotMs = MAX_CREDIT_SLOT_MS
  private accruedAtMs: number

  private constructor (private readonly clock: Clock, private readonly limit: () => number) {
    this.accruedAtMs = clock.monotonicMs()
  }

  /**
   * Creates a semaphore with no slots in use.
   *
   * @param clock - Source of time.
   * @param limit - Slots that may be in use on average.
   * @returns The semaphore.
   */
  static create (clock: Clock, limit: () => number): FractionalSemaphore {
    return new FractionalSemaphore(clock, limit)
  }

  /** Slots in use. */
  get inUseCount (): number {
    return this.inUse
  }

  /** Acquires a slot if the limit allows it now. */
  tryAcquire (): boolean {
    if (this.waitMs() > 0) return false
    this.inUse++
    this.peak = Math.max(this.peak, this.inUse)
    return true
  }

  /** Releases a slot. */
  release (): void {
    this.accrueCredit()
    this.inUse--
  }

  /** Returns the highest number of slots in use at once since the last call, and starts again from the current number. */
  readAndResetPeak (): number {
    const { peak } = this
    this.peak = this.inUse
    return peak
  }

  /** Returns the time until a slot can be acquired if none is released; infinite if a release is required. */
  waitMs (): number {
    this.accrueCredit()
    const limit = this.limit()
    if (this.inUse + 1 <= limit) return 0
    if (this.inUse >= limit) return Number.POSITIVE_INFINITY
    return this.creditSlotMs > 0 ? 0 : (1 - this.creditSlotMs) / (limit - this.inUse)
  }

  private accrueCredit (): void {
    const nowMs = this.clock.monotonicMs()
    const earned = (this.limit() - this.inUse) * (nowMs - this.accruedAtMs)
    this.creditSlotMs = Math.max(-MAX_OVERDRAFT_SLOT_MS, Math.min(MAX_CREDIT_SLOT_MS, this.creditSlotMs + earned))
    this.accruedAtMs = nowMs
  }
}
