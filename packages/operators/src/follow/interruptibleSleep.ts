import type { Clock } from '@lovagehoist/common'

/** A sleep that an event can end early; an event between two sleeps ends the next one immediately. */
export class InterruptibleSleep {
  private isPending = false
  private abort: AbortController | undefined

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates a sleep without a pending event.
   *
   * @param clock - Source of time.
   * @returns The sleep.
   */
  static create (clock: Clock): InterruptibleSleep {
    return new InterruptibleSleep(clock)
  }

  /** Ends the current sleep, or the next one as soon as it begins. */
  wake (): void {
    this.isPending = true
    this.abort?.abort()
  }

  /**
   * Sleeps until the time has passed, `wake` is called or the signal aborts.
   *
   * @param durationMs - Longest sleep.
   * @param signal - Ends the sleep.
   */
  async sleepMs (durationMs: number, signal: AbortSignal): Promise<void> {
    if (!this.isPending && !signal.aborted) {
      const stop = new AbortController()
      this.abort = stop
      const end = (): void => { stop.abort() }
      signal.addEventListener('abort', end, { once: true })
      await this.clock.sleepMs(durationMs, stop.signal)
      signal.removeEventListener('abort', end)
      this.abort = undefined
    }
    this.isPending = false
  }
}
