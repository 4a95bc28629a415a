import type { Clock } from '../time/clock.js'

/** Writes bytes without blocking and calls back once they are written. */
export type AsyncWrite = (bytes: Buffer, done: (error: Error | null) => void) => void

/** Options of a line sink. */
export interface LineSinkOptions {
  readonly clock: Clock
  readonly write: AsyncWrite
  /** Line limit per one-second window; lines that report failures are accepted up to twice this limit. */
  readonly linesPerSecond: number
}

/** Limit of the bytes queued while the reader is too slow; further lines are dropped. */
const MAX_QUEUED_BYTES = 262_144
/** Lines are batched for this long before they are written. */
const FLUSH_INTERVAL_MS = 100
const WINDOW_MS = 1_000
/** Longest wait for the last write when the process ends. */
const CLOSE_TIMEOUT_MS = 200
const CLOSE_POLL_MS = 10
/** Matches warnings, errors, and requests that failed or were not run. */
const FAILURE_LINE = /"level":"(?:warn|error)"|"(?:verdict":"(?:not-run|may-have-run)|status":5)/

/** Writes log lines without ever blocking: lines above the limits are dropped and counted, those that report failures last. */
export class LineSink {
  private queuedLines: string[] = []
  private queuedBytes = 0
  private isWriting = false
  private isFlushScheduled = false
  private windowStartMs = -Infinity
  private linesInWindow = 0
  private dropped = 0

  private constructor (private readonly options: LineSinkOptions) {}

  /**
   * Creates a sink.
   *
   * @param options - Clock, writer and line limit.
   * @returns The sink.
   */
  static create (options: LineSinkOptions): LineSink {
    return new LineSink(options)
  }

  /** Lines dropped since the last summary. */
  get droppedCount (): number {
    return this.dropped
  }

  /** Queues a line, which must end with a line feed, or drops it. */
  readonly write = (line: string): void => {
    const nowMs = this.options.clock.monotonicMs()
    if (nowMs - this.windowStartMs >= WINDOW_MS) this.startWindow(nowMs)
    const limit = this.options.linesPerSecond * (FAILURE_LINE.test(line) ? 2 : 1)
    if (this.linesInWindow >= limit || this.queuedBytes + line.length > MAX_QUEUED_BYTES) {
      this.dropped++
      return
    }
    this.linesInWindow++
    this.enqueue(line)
  }

  /** Writes the queued lines; resolves once they are written, or after a short timeout when the reader is stuck. */
  async close (): Promise<void> {
    this.reportDropped()
    for (let waitedMs = 0; waitedMs < CLOSE_TIMEOUT_MS; waitedMs += CLOSE_POLL_MS) {
      this.flush()
      if (!this.isWriting) return
      await this.options.clock.sleepMs(CLOSE_POLL_MS)
    }
  }

  private flush (): void {
    if (this.isWriting || this.queuedLines.length === 0) return
    const bytes = Buffer.from(this.queuedLines.join(''))
    this.queuedLines = []
    this.isWriting = true
    this.options.write(bytes, () => {
      // There is nowhere to report a failed write; its lines are lost.
      this.isWriting = false
      this.queuedBytes -= bytes.length
      this.scheduleFlush()
    })
  }

  private startWindow (nowMs: number): void {
    this.windowStartMs = nowMs
    this.linesInWindow = 0
    this.reportDropped()
  }

  private reportDropped (): void {
    if (this.dropped === 0) return
    this.enqueue(`${JSON.stringify({ level: 'warn', part: 'log', message: 'lines left out', count: this.dropped })}\n`)
    this.dropped = 0
  }

  private enqueue (line: string): void {
    this.queuedLines.push(line)
    this.queuedBytes += Buffer.byteLength(line)
    this.scheduleFlush()
  }

  private scheduleFlush (): void {
    if (this.isFlushScheduled || this.queuedLines.length === 0) return
    this.isFlushScheduled = true
    this.options.clock.after(FLUSH_INTERVAL_MS, () => {
      this.isFlushScheduled = false
      this.flush()
    })
  }
}
