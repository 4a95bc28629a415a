import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** A response is slow above this multiple of this percentile of the pool's latencies. */
const SLOW_PERCENTILE = 75
const SLOW_FACTOR = 5
/** Latencies below this are never slow. */
const MIN_SLOW_THRESHOLD_MS = 20
/** Samples below which nothing is slow. */
const MIN_SAMPLES = 50
const ROTATION_INTERVAL_MS = 10_000
const MAX_LATENCY_MS = 600_000

const createHistogram = (): Histogram => build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_MS, numberOfSignificantValueDigits: 1, bitBucketSize: 32 })

/** Latency distribution of a whole pool, against which slow responses are detected. */
export class LatencyBaseline {
  private current = createHistogram()
  private previous: Histogram | undefined
  private rotatedAtMs: number

  private constructor (nowMs: number) {
    this.rotatedAtMs = nowMs
  }

  /**
   * Creates a baseline without samples, against which no response is slow.
   *
   * @param nowMs - Monotonic time.
   * @returns The baseline.
   */
  static create (nowMs: number): LatencyBaseline {
    return new LatencyBaseline(nowMs)
  }

  /**
   * Compares a latency with the distribution, then adds it.
   *
   * @param latencyMs - Time until the response head arrived.
   * @param nowMs - Monotonic time.
   * @returns Whether the response is slow compared with the pool.
   */
  add (latencyMs: number, nowMs: number): boolean {
    if (nowMs - this.rotatedAtMs >= ROTATION_INTERVAL_MS) this.rotate(nowMs)
    const isSlow = latencyMs > this.slowThresholdMs()
    this.current.recordValue(Math.max(1, Math.min(MAX_LATENCY_MS, Math.round(latencyMs))))
    return isSlow
  }

  private slowThresholdMs (): number {
    const source = this.previous ?? this.current
    if (source.totalCount < MIN_SAMPLES) return Infinity
    return Math.max(MIN_SLOW_THRESHOLD_MS, SLOW_FACTOR * source.getValueAtPercentile(SLOW_PERCENTILE))
  }

  private rotate (nowMs: number): void {
    this.previous = this.current.totalCount >= MIN_SAMPLES ? this.current : this.previous
    this.current = createHistogram()
    this.rotatedAtMs = nowMs
  }
}
