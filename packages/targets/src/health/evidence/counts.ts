/** Tries at a target within the window, and how many of them went badly. */
export interface Counts {
  readonly tries: number
  readonly failures: number
  readonly slow: number
}

/** Longest time over which tries are counted. */
export const WINDOW_MS = 8_000
/** Length of the window in which a sudden change shows early. */
export const SHORT_WINDOW_MS = 3_000
const BUCKET_MS = 250

export const NO_COUNTS: Counts = { tries: 0, failures: 0, slow: 0 }

interface Bucket {
  readonly index: number
  tries: number
  failures: number
  slow: number
  shed: number
}

/** What one try adds. */
export type Tally = 'works' | 'failed' | 'slow' | 'shed'

/** Counts with other tries added that went well. */
export const scaleTries = (counts: Counts, factor: number): Counts => ({ ...counts, tries: Math.round(counts.tries * factor) })

/** Sum of counts. */
export const addCounts = (a: Counts, b: Counts): Counts => ({ tries: a.tries + b.tries, failures: a.failures + b.failures, slow: a.slow + b.slow })

/** Difference of counts. */
export const subtractCounts = (a: Counts, b: Counts): Counts => ({ tries: a.tries - b.tries, failures: a.failures - b.failures, slow: a.slow - b.slow })

/** Counts of a sliding window in short buckets. */
export class SlidingCounts {
  private buckets: readonly Bucket[] = []

  private constructor () {}

  /**
   * Creates counts of zero.
   *
   * @returns The counts.
   */
  static create (): SlidingCounts {
    return new SlidingCounts()
  }

  /** Adds one try. */
  add (tally: Tally, nowMs: number): void {
    const bucket = this.bucketAt(Math.floor(nowMs / BUCKET_MS))
    if (tally === 'shed') {
      bucket.shed++
      return
    }
    bucket.tries++
    if (tally === 'failed') bucket.failures++
    if (tally === 'slow') bucket.slow++
  }

  /** Counts within a window. */
  total (nowMs: number, windowMs = WINDOW_MS): Counts {
    return this.recent(nowMs, windowMs).reduce<Counts>(addCounts, NO_COUNTS)
  }

  /** Share of tries within the window that were refused because of load, 0 to 1, and the number of both. */
  shed (nowMs: number, windowMs: number): { readonly shed: number, readonly all: number } {
    const recent = this.recent(nowMs, windowMs)
    const shed = recent.reduce((sum, bucket) => sum + bucket.shed, 0)
    return { shed, all: recent.reduce((sum, bucket) => sum + bucket.tries, shed) }
  }

  /** Whether nothing was counted within the window. */
  isEmpty (nowMs: number): boolean {
    return this.recent(nowMs).length === 0
  }

  /** Forgets everything. */
  clear (): void {
    this.buckets = []
  }

  private recent (nowMs: number, windowMs = WINDOW_MS): readonly Bucket[] {
    const firstIndex = Math.floor((nowMs - windowMs) / BUCKET_MS)
    return this.buckets.filter(bucket => bucket.index > firstIndex)
  }

  private bucketAt (index: number): Bucket {
    const last = this.buckets.at(-1)
    if (last?.index === index) return last
    const bucket = { index, tries: 0, failures: 0, slow: 0, shed: 0 }
    this.buckets = [...this.recent(index * BUCKET_MS), bucket]
    return bucket
  }
}
