import type { Clock } from '@lovagehoist/common'

/** A sleep that can be ended early by an event. */
export class Wakeup {
  private isPending = false
  private stop: AbortController | undefined

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates a wake-up without pending event.
   *
   * @param clock - Source of time.
   * @returns The wake-up.
   */
  static create (clock: Clock): Wakeup {
    return new Wakeup(clock)
  }

  /** Ends the sleep that runs, or the next one at once. */
  wake (): void {
    this.isPending = true
    this.stop?.abort()
  }

  /**
   * Sleeps until a time has passed, an event came or the signal aborts.
   *
   * @param durationMs - Longest sleep.
   * @param signal - Ends the sleep.
   */
  async sleepMs (durationMs: number, signal: AbortSignal): Promise<void> {
    if (!this.isPending && !signal.aborted) {
      const stop = new AbortController()
      this.stop = stop
      const end = (): void => { stop.abort() }
      signal.addEventListener('abort', end, { once: true })
      await this.clock.sleepMs(durationMs, stop.signal)
      signal.removeEventListener('abort', end)
      this.stop = undefined
    }
    this.isPending = false
  }
}
