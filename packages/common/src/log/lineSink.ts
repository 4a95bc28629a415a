import type { Clock } from '../time/clock.js'

/** Writes bytes without blocking; calls back when they are taken. */
export type AsyncWrite = (bytes: Buffer, done: (error: Error | null) => void) => void

/** What the sink needs. */
export interface LineSinkOptions {
  readonly clock: Clock
  readonly write: AsyncWrite
  /** Lines a second, averaged over one second; errors and warnings may use a second one of the same size. */
  readonly linesPerSecond: number
}

/** Bytes that wait for a reader that does not take them; later lines are dropped. */
const MOST_WAITING_BYTES = 262_144
/** Lines travel together for this long. */
const FLUSH_MS = 100
const WINDOW_MS = 1_000
/** Longest wait for the last lines at the end of the process. */
const CLOSE_LIMIT_MS = 200
const CLOSE_LOOK_MS = 10
const URGENT = /"level":"(?:warn|error)"|"(?:verdict":"(?:not-run|may-have-run)|status":5)/

/** Takes log lines without ever blocking: too many are dropped and counted, failures last. */
export class LineSink {
  private waiting: string[] = []
  private waitingBytes = 0
  private isWriting = false
  private isScheduled = false
  private windowStartMs = -Infinity
  private linesInWindow = 0
  private dropped = 0

  private constructor (private readonly options: LineSinkOptions) {}

  /**
   * Creates a sink.
   *
   * @param options - Where lines go and how many.
   * @returns The sink.
   */
  static create (options: LineSinkOptions): LineSink {
    return new LineSink(options)
  }

  /** Lines dropped since the last summary. */
  get droppedCount (): number {
    return this.dropped
  }

  /** Takes a line that ends with a line feed. */
  readonly write = (line: string): void => {
    const nowMs = this.options.clock.monotonicMs()
    if (nowMs - this.windowStartMs >= WINDOW_MS) this.beginWindow(nowMs)
    const limit = this.options.linesPerSecond * (URGENT.test(line) ? 2 : 1)
    if (this.linesInWindow >= limit || this.waitingBytes + line.length > MOST_WAITING_BYTES) {
      this.dropped++
      return
    }
    this.linesInWindow++
    this.add(line)
  }

  /** Writes what waits; resolves when it is written, or soon when nobody takes it. */
  async close (): Promise<void> {
    this.flush()
    for (let waitedMs = 0; this.isWriting && waitedMs < CLOSE_LIMIT_MS; waitedMs += CLOSE_LOOK_MS) await this.options.clock.sleepMs(CLOSE_LOOK_MS)
  }

  private flush (): void {
    if (this.isWriting || this.waiting.length === 0) return
    const bytes = Buffer.from(this.waiting.join(''))
    this.waiting = []
    this.isWriting = true
    this.options.write(bytes, () => {
      // A failed write can't be reported anywhere; the lines are gone.
      this.isWriting = false
      this.waitingBytes -= bytes.length
      this.schedule()
    })
  }

  private beginWindow (nowMs: number): void {
    this.windowStartMs = nowMs
    this.linesInWindow = 0
    if (this.dropped === 0) return
    this.add(`${JSON.stringify({ level: 'warn', part: 'log', message: 'lines left out', count: this.dropped })}\n`)
    this.dropped = 0
  }

  private add (line: string): void {
    this.waiting.push(line)
    this.waitingBytes += Buffer.byteLength(line)
    this.schedule()
  }

  private schedule (): void {
    if (this.isScheduled || this.waiting.length === 0) return
    this.isScheduled = true
    this.options.clock.after(FLUSH_MS, () => {
      this.isScheduled = false
      this.flush()
    })
  }
}
