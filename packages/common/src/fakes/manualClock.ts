import type { CancelTimer, Clock } from '../time/clock.js'

interface Timer {
  readonly atMs: number
  readonly run: () => void
}

/** Turns of the real event loop after each timer, in which pending continuations run. */
const SETTLE_TURNS = 8

const runContinuations = async (): Promise<void> => {
  for (let turn = 0; turn < SETTLE_TURNS; turn++) {
    // eslint-disable-next-line no-restricted-globals -- lets pending continuations run without advancing the clock
    await new Promise<void>(resolve => { setImmediate(resolve) })
  }
}

/** A clock that advances only when a test advances it. */
export class ManualClock implements Clock {
  /** Ordered by the time at which they are due, then by their creation. */
  private readonly timers: Timer[] = []
  private nowMs = 0

  private constructor (private readonly epochMs: number) {}

  /**
   * Creates a clock at monotonic time 0.
   *
   * @param epochMs - Initial wall-clock time, in milliseconds since the Unix epoch.
   * @returns The clock.
   */
  static create (epochMs = 1_800_000_000_000): ManualClock {
    return new ManualClock(epochMs)
  }

  readonly monotonicMs = (): number => this.nowMs

  readonly wallMs = (): number => this.epochMs + this.nowMs

  readonly after = (durationMs: number, run: () => void): CancelTimer => {
    const timer: Timer = { atMs: this.nowMs + Math.max(0, durationMs), run }
    this.timers.splice(this.indexAfter(timer.atMs), 0, timer)
    return () => {
      const index = this.timers.indexOf(timer, this.indexAfter(timer.atMs, true))
      if (index >= 0) this.timers.splice(index, 1)
    }
  }

  readonly sleepMs = async (durationMs: number, signal?: AbortSignal): Promise<void> => {
    if (signal?.aborted === true) return
    await new Promise<void>(resolve => {
      const finish = (): void => {
        cancel()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const cancel = this.after(durationMs, finish)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  /**
   * Advances the clock, running due timers in order, each followed by its pending continuations.
   *
   * @param durationMs - Duration to advance by.
   */
  async advanceMs (durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs
    await runContinuations()
    for (let timer = this.nextDue(endMs); timer !== undefined; timer = this.nextDue(endMs)) {
      this.nowMs = Math.max(this.nowMs, timer.atMs)
      timer.run()
      await runContinuations()
    }
    this.nowMs = Math.max(this.nowMs, endMs)
  }

  /** Advances the clock without running timers, as after a pause of the process. */
  jumpMs (durationMs: number): void {
    this.nowMs += durationMs
  }

  /** Removes and returns the first timer that is due. */
  private nextDue (endMs: number): Timer | undefined {
    const [first] = this.timers
    return first === undefined || first.atMs > endMs ? undefined : this.timers.shift()
  }

  /** Index of the first timer that is due later than a time, or at that time with `isInclusive`. */
  private indexAfter (atMs: number, isInclusive = false): number {
    let low = 0
    let high = this.timers.length
    while (low < high) {
      const middle = (low + high) >> 1
      const timerAtMs = this.timers[middle]?.atMs ?? Infinity
      if (timerAtMs < atMs || (!isInclusive && timerAtMs === atMs)) low = middle + 1
      else high = middle
    }
    return low
  }
}
