import PQueue from 'p-queue'
import type { Clock } from '@lovagehoist/common'
import type { SlotCredit } from './slotCredit.js'

/** How waiting for a slot ended. */
export type GateOutcome = 'taken' | 'no-slot' | 'deadline'

/** Longest time between two looks at the limit, which may change by itself. */
const LOOK_AGAIN_MS = 25

/** Bounds of the wait for a slot. */
export interface GateWait {
  /** Monotonic time at which waiting ends. */
  readonly deadlineAtMs: number
  /** Requests that may wait. */
  readonly maxWaiting: number
  /** Higher ones are served first. */
  readonly priority: number
}

interface Waiter {
  outcome: GateOutcome
}

/** Lets requests wait in order for a slot of a service's share. */
export class SlotGate {
  private readonly queue = new PQueue({ concurrency: 1 })
  private wake: () => void = () => {}

  private constructor (private readonly clock: Clock, private readonly credit: SlotCredit) {}

  /**
   * Creates a gate that nobody waits at.
   *
   * @param clock - Source of time.
   * @param credit - Slots in use and their limit.
   * @returns The gate.
   */
  static create (clock: Clock, credit: SlotCredit): SlotGate {
    return new SlotGate(clock, credit)
  }

  /** Requests that wait. */
  get waiting (): number {
    return this.queue.size + this.queue.pending
  }

  /**
   * Takes a slot, or waits for one.
   *
   * @param wait - Bounds of the wait.
   * @param signal - Ends the wait at once.
   * @returns Whether a slot was taken.
   */
  async enter ({ deadlineAtMs, maxWaiting, priority }: GateWait, signal: AbortSignal): Promise<GateOutcome> {
    if (this.clock.monotonicMs() >= deadlineAtMs) return 'deadline'
    if (this.waiting === 0 && this.credit.take()) return 'taken'
    if (this.waiting >= maxWaiting) return 'no-slot'
    const ended = new AbortController()
    const leave = (): void => { ended.abort() }
    const cancel = this.clock.after(deadlineAtMs - this.clock.monotonicMs(), leave)
    signal.addEventListener('abort', leave, { once: true })
    if (signal.aborted) leave()
    const waiter: Waiter = { outcome: 'deadline' }
    try {
      await this.queue.add(async () => { await this.waitForSlot(waiter, ended.signal) }, { signal: ended.signal, priority })
      return waiter.outcome
    } catch {
      if (waiter.outcome === 'taken') this.leave()
      return 'deadline'
    } finally {
      cancel()
      signal.removeEventListener('abort', leave)
    }
  }

  /** Gives a slot back. */
  leave (): void {
    this.credit.giveBack()
    this.wake()
  }

  private async waitForSlot (waiter: Waiter, ended: AbortSignal): Promise<void> {
    while (!ended.aborted) {
      if (this.credit.take()) {
        waiter.outcome = 'taken'
        return
      }
      await this.nextLook(ended)
    }
  }

  private async nextLook (ended: AbortSignal): Promise<void> {
    const woken = new AbortController()
    const wake = (): void => { woken.abort() }
    this.wake = wake
    ended.addEventListener('abort', wake, { once: true })
    await this.clock.sleepMs(Math.min(LOOK_AGAIN_MS, this.credit.waitMs()), woken.signal)
    ended.removeEventListener('abort', wake)
  }
}
