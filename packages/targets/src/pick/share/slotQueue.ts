import PQueue from 'p-queue'
import type { Clock } from '@lovagehoist/common'
import type { FractionalSemaphore } from './fractionalSemaphore.js'

/** Result of waiting for a slot. */
export type SlotWaitOutcome = 'taken' | 'no-slot' | 'deadline'

/** Longest time between two checks of the limit, which may change without a release. */
const RECHECK_INTERVAL_MS = 25

/** Limits and priority of a wait for a slot. */
export interface SlotWaitOptions {
  /** Monotonic time at which waiting ends. */
  readonly deadlineAtMs: number
  /** Maximum number of waiting requests. */
  readonly maxWaiting: number
  /** Requests with a higher priority are served first. */
  readonly priority: number
}

interface Waiter {
  outcome: SlotWaitOutcome
}

/** Priority queue of requests that wait for a slot of this daemon's share of a service. */
export class SlotQueue {
  private readonly queue = new PQueue({ concurrency: 1 })
  private wake: () => void = () => {}

  private constructor (private readonly clock: Clock, private readonly semaphore: FractionalSemaphore) {}

  /**
   * Creates an empty queue.
   *
   * @param clock - Source of time.
   * @param semaphore - Slots in use and their limit.
   * @returns The queue.
   */
  static create (clock: Clock, semaphore: FractionalSemaphore): SlotQueue {
    return new SlotQueue(clock, semaphore)
  }

  /** Number of waiting requests. */
  get waiting (): number {
    return this.queue.size + this.queue.pending
  }

  /**
   * Acquires a slot, or waits for one.
   *
   * @param wait - Limits and priority of the wait.
   * @param signal - Aborts the wait.
   * @returns How the wait ended.
   */
  async acquire ({ deadlineAtMs, maxWaiting, priority }: SlotWaitOptions, signal: AbortSignal): Promise<SlotWaitOutcome> {
    if (this.clock.monotonicMs() >= deadlineAtMs) return 'deadline'
    if (this.waiting === 0 && this.semaphore.tryAcquire()) return 'taken'
    if (this.waiting >= maxWaiting) return 'no-slot'
    const ended = new AbortController()
    const stopWaiting = (): void => { ended.abort() }
    const cancel = this.clock.after(deadlineAtMs - this.clock.monotonicMs(), stopWaiting)
    signal.addEventListener('abort', stopWaiting, { once: true })
    if (signal.aborted) stopWaiting()
    const waiter: Waiter = { outcome: 'deadline' }
    try {
      await this.queue.add(async () => { await this.waitForSlot(waiter, ended.signal) }, { signal: ended.signal, priority })
      return waiter.outcome
    } catch {
      if (waiter.outcome === 'taken') this.release()
      return 'deadline'
    } finally {
      cancel()
      signal.removeEventListener('abort', stopWaiting)
    }
  }

  /** Releases a slot. */
  release (): void {
    this.semaphore.release()
    this.wake()
  }

  private async waitForSlot (waiter: Waiter, ended: AbortSignal): Promise<void> {
    while (!ended.aborted) {
      if (this.semaphore.tryAcquire()) {
        waiter.outcome = 'taken'
        return
      }
      await this.sleepUntilNextCheck(ended)
    }
  }

  private async sleepUntilNextCheck (ended: AbortSignal): Promise<void> {
    const woken = new AbortController()
    const wake = (): void => { woken.abort() }
    this.wake = wake
    ended.addEventListener('abort', wake, { once: true })
    await this.clock.sleepMs(Math.min(RECHECK_INTERVAL_MS, this.semaphore.waitMs()), woken.signal)
    ended.removeEventListener('abort', wake)
  }
}
