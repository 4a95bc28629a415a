/* eslint-disable no-restricted-globals -- the only module that reads the system clocks */
import type { CancelTimer, Clock } from './clock.js'

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
      const timer = setTimeout(finish, durationMs)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  readonly after = (durationMs: number, run: () => void): CancelTimer => {
    const timer = setTimeout(run, durationMs)
    return () => { clearTimeout(timer) }
  }
}
