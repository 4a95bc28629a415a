/** Width of a part of the window. */
const PART_MS = 100
/** Parts of the window: short, since an account's demand may change by a factor of seven from one second to the next, and a multiple of the 0.2 s between reports of large zones. */
const PARTS = 4
/** Standard deviations of the count by which the rate is assumed to be lower. */
const DEVIATIONS = 0.7
/** Requests from which a window that is not full yet tells a rate. */
const MIN_EARLY_COUNT = 8
const MS_PER_SECOND = 1_000

/** Recent rate of an account's requests, counted in a short sliding window. */
export class DemandRate {
  private readonly counts: number[] = Array.from({ length: PARTS }, () => 0)
  private part: number
  private total = 0

  private constructor (private readonly startedAtMs: number) {
    this.part = Math.floor(startedAtMs / PART_MS)
  }

  /**
   * Creates a rate of zero.
   *
   * @param nowMs - Monotonic time.
   */
  static create (nowMs: number): DemandRate {
    return new DemandRate(nowMs)
  }

  /** Adds requests that became known now. */
  add (count: number, nowMs: number): void {
    this.advance(nowMs)
    const index = this.part % PARTS
    this.counts[index] = (this.counts[index] ?? 0) + count
    this.total += count
  }

  /** Requests per second, a little below the mean so that few requests by chance at once don't look like a high rate. */
  perSecond (nowMs: number): number {
    this.advance(nowMs)
    if (this.total <= 0) return 0
    const windowMs = (PARTS - 1) * PART_MS + nowMs % PART_MS
    const count = Math.max(0, this.total - DEVIATIONS * Math.sqrt(this.total))
    const countedMs = this.total < MIN_EARLY_COUNT ? windowMs : Math.max(PART_MS, Math.min(windowMs, nowMs - this.startedAtMs))
    return count * MS_PER_SECOND / countedMs
  }

  private advance (nowMs: number): void {
    const part = Math.floor(nowMs / PART_MS)
    for (let skipped = Math.min(PARTS, part - this.part); skipped > 0; skipped--) {
      const index = (part - skipped + 1) % PARTS
      this.total -= this.counts[index] ?? 0
      this.counts[index] = 0
    }
    this.part = Math.max(this.part, part)
  }
}
