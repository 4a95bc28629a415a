import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

const SLOW_PERCENTILE = 75
const SLOW_FACTOR = 5
const MIN_SLOW_MS = 20
const MIN_SAMPLES = 50
const ROTATE_MS = 10_000
const LONGEST_MS = 600_000

const createHistogram = (): Histogram => build({ lowestDiscernibleValue: 1, highestTrackableValue: LONGEST_MS, numberOfSignificantValueDigits: 1, bitBucketSize: 32 })

/** Latencies of a whole pool, from which slow answers are told. */
export class LatencyBaseline {
  private current = createHistogram()
  private before: Histogram | undefined
  private rotatedAtMs: number

  private constructor (nowMs: number) {
    this.rotatedAtMs = nowMs
  }

  /**
   * Creates a baseline without samples, by which nothing is slow.
   *
   * @param nowMs - Monotonic time.
   * @returns The baseline.
   */
  static create (nowMs: number): LatencyBaseline {
    return new LatencyBaseline(nowMs)
  }

  /**
   * Judges a latency by the pool and adds it.
   *
   * @param latencyMs - Time to the answer's head.
   * @param nowMs - Monotonic time.
   * @returns Whether it is far outside the pool's own distribution.
   */
  add (latencyMs: number, nowMs: number): boolean {
    if (nowMs - this.rotatedAtMs >= ROTATE_MS) this.rotate(nowMs)
    const isSlow = latencyMs > this.limitMs()
    this.current.recordValue(Math.max(1, Math.min(LONGEST_MS, Math.round(latencyMs))))
    return isSlow
  }

  private limitMs (): number {
    const source = this.before ?? this.current
    if (source.totalCount < MIN_SAMPLES) return Infinity
    return Math.max(MIN_SLOW_MS, SLOW_FACTOR * source.getValueAtPercentile(SLOW_PERCENTILE))
  }

  private rotate (nowMs: number): void {
    this.before = this.current.totalCount >= MIN_SAMPLES ? this.current : this.before
    this.current = createHistogram()
    this.rotatedAtMs = nowMs
  }
}
