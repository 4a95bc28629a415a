/** Attempts at a target within a window, and how many of them failed or were slow. */
export interface OutcomeCounts {
  readonly attempts: number
  readonly failures: number
  readonly slow: number
}

/** Longest window over which attempts are counted. */
export const LONG_WINDOW_MS = 8_000
/** Shorter window, in which a sudden change becomes significant earlier. */
export const SHORT_WINDOW_MS = 3_000
/** Width of a bucket of the sliding window. */
const BUCKET_MS = 250

export const NO_COUNTS: OutcomeCounts = { attempts: 0, failures: 0, slow: 0 }

interface Bucket {
  readonly index: number
  attempts: number
  failures: number
  slow: number
  shed: number
}

/** Outcome of an attempt, as far as it is counted. */
export type CountedOutcome = 'works' | 'failed' | 'slow' | 'shed'

/** Multiplies the attempts by a factor; the added ones count as successful. */
export const scaleAttempts = (counts: OutcomeCounts, factor: number): OutcomeCounts => ({ ...counts, attempts: Math.round(counts.attempts * factor) })

export const addCounts = (a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts => ({ attempts: a.attempts + b.attempts, failures: a.failures + b.failures, slow: a.slow + b.slow })

export const subtractCounts = (a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts => ({ attempts: a.attempts - b.attempts, failures: a.failures - b.failures, slow: a.slow - b.slow })

/** Counts the outcomes at one target over a sliding window, in buckets of `BUCKET_MS`. */
export class SlidingWindowCounts {
  private buckets: readonly Bucket[] = []

  private constructor () {}

  /**
   * Creates counts that are all zero.
   *
   * @returns The counts.
   */
  static create (): SlidingWindowCounts {
    return new SlidingWindowCounts()
  }

  /** Counts one attempt. */
  add (outcome: CountedOutcome, nowMs: number): void {
    const bucket = this.bucketAt(Math.floor(nowMs / BUCKET_MS))
    if (outcome === 'shed') {
      bucket.shed++
      return
    }
    bucket.attempts++
    if (outcome === 'failed') bucket.failures++
    if (outcome === 'slow') bucket.slow++
  }

  /** Sums the counts of the last `windowMs`; shed attempts are not included. */
  total (nowMs: number, windowMs = LONG_WINDOW_MS): OutcomeCounts {
    return this.recentBuckets(nowMs, windowMs).reduce<OutcomeCounts>(addCounts, NO_COUNTS)
  }

  /** Number of attempts in the last `windowMs` that the target refused because of load, and of all attempts. */
  shedCounts (nowMs: number, windowMs: number): { readonly shed: number, readonly total: number } {
    const recent = this.recentBuckets(nowMs, windowMs)
    const shed = recent.reduce((sum, bucket) => sum + bucket.shed, 0)
    return { shed, total: recent.reduce((sum, bucket) => sum + bucket.attempts, shed) }
  }

  /** Whether nothing was counted within the long window. */
  isEmpty (nowMs: number): boolean {
    return this.recentBuckets(nowMs).length === 0
  }

  /** Resets all counts to zero. */
  clear (): void {
    this.buckets = []
  }

  private recentBuckets (nowMs: number, windowMs = LONG_WINDOW_MS): readonly Bucket[] {
    const firstIndex = Math.floor((nowMs - windowMs) / BUCKET_MS)
    return this.buckets.filter(bucket => bucket.index > firstIndex)
  }

  private bucketAt (index: number): Bucket {
    const last = this.buckets.at(-1)
    if (last?.index === index) return last
    const bucket = { index, attempts: 0, failures: 0, slow: 0, shed: 0 }
    this.buckets = [...this.recentBuckets(index * BUCKET_MS), bucket]
    return bucket
  }
}
