import type { ManualClock } from '@lovagehoist/common/testing'

interface ScheduledEvent {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

const isBefore = (a: ScheduledEvent, b: ScheduledEvent): boolean => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order)

/** Events of a simulation in virtual time: a binary heap, since large fleets have thousands of them pending. */
export class EventQueue {
  private readonly heap: ScheduledEvent[] = []
  private scheduled = 0

  private constructor (private readonly clock: ManualClock) {}

  /** Creates an empty queue that advances the given clock. */
  static create (clock: ManualClock): EventQueue {
    return new EventQueue(clock)
  }

  /** Schedules an event after a delay. */
  schedule (delayMs: number, run: () => void): void {
    const { heap } = this
    const event: ScheduledEvent = { atMs: this.clock.monotonicMs() + Math.max(0, delayMs), order: this.scheduled++, run }
    let index = heap.length
    for (let parent = (index - 1) >> 1; index > 0; parent = (index - 1) >> 1) {
      const above = heap[parent]
      if (above === undefined || !isBefore(event, above)) break
      heap[index] = above
      index = parent
    }
    heap[index] = event
  }

  /** Schedules an event again and again. */
  repeat (intervalMs: number, run: () => void): void {
    this.schedule(intervalMs, () => {
      run()
      this.repeat(intervalMs, run)
    })
  }

  /** Runs all events that are due before the given time. */
  runUntil (endMs: number): void {
    for (let event = this.takeNext(); event !== undefined && event.atMs < endMs; event = this.takeNext()) {
      this.clock.jumpMs(event.atMs - this.clock.monotonicMs())
      event.run()
    }
  }

  private takeNext (): ScheduledEvent | undefined {
    const { heap } = this
    const [first] = heap
    const last = heap.pop()
    if (first === undefined || last === undefined || heap.length === 0) return first
    let index = 0
    for (;;) {
      const [left, right] = [heap[2 * index + 1], heap[2 * index + 2]]
      const isRight = left !== undefined && right !== undefined && isBefore(right, left)
      const child = isRight ? right : left
      if (child === undefined || !isBefore(child, last)) break
      heap[index] = child
      index = 2 * index + (isRight ? 2 : 1)
    }
    heap[index] = last
    return first
  }
}
