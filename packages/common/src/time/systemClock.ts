/* eslint-disable no-restricted-globals -- the only module that reads the system clocks */
import type { CancelTimer, Clock } from './clock.js'

/** Longest time that a timer of Node.js can wait; with a longer one it would run at once. */
const MAX_TIMER_MS = 2 ** 31 - 1

/** The clocks and timers of the system. */
export class SystemClock implements Clock {
  private constructor () {}

  /**
   * Creates a clock.
   *
   * @returns The clock.
   */
  static create (): SystemClock {
    return new SystemClock()
  }

  readonly monotonicMs = (): number => performance.now()

  readonly wallMs = (): number => Date.now()

  readonly sleepMs = async (durationMs: number, signal?: AbortSignal): Promise<void> => {
    if (signal?.aborted === true) return
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, Math.min(durationMs, MAX_TIMER_MS))
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  readonly after = (durationMs: number, run: () => void): CancelTimer => {
    const timer = setTimeout(run, Math.min(durationMs, MAX_TIMER_MS))
    return () => { clearTimeout(timer) }
  }
}
