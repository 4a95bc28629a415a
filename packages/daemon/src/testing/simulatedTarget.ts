import type { Random } from '@lovagehoist/common'

/** A request in the queue of a target. */
interface QueuedWork {
  readonly workMs: number
  readonly onDone: () => void
}

/** Requests that a target queues beyond its slots. */
const QUEUE_PLACES = 8

/** A target with slots and a queue, served first come first served. */
export class SimulatedTarget {
  isLost = false
  slowFactor = 1
  refusedShare = 0
  private running = 0
  private readonly waiting: QueuedWork[] = []

  private constructor (private readonly slots: number, private readonly random: Random, private readonly schedule: (delayMs: number, run: () => void) => void) {}

  static create (slots: number, random: Random, schedule: (delayMs: number, run: () => void) => void): SimulatedTarget {
    return new SimulatedTarget(slots, random, schedule)
  }

  /**
   * Offers a request to the target.
   *
   * @param workMs - Work of the request.
   * @param onDone - Called when it has run.
   * @returns Whether the target takes it.
   */
  offer (workMs: number, onDone: () => void): boolean {
    if (this.random.next() < this.refusedShare) return false
    if (this.running >= this.slots && this.waiting.length >= QUEUE_PLACES) return false
    this.waiting.push({ workMs, onDone })
    this.startNext()
    return true
  }

  private startNext (): void {
    if (this.running >= this.slots) return
    const next = this.waiting.shift()
    if (next === undefined) return
    this.running++
    this.schedule(next.workMs * this.slowFactor, () => {
      this.running--
      next.onDone()
      this.startNext()
    })
  }
}
