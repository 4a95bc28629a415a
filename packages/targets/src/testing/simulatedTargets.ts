import type { ManualClock } from '@lovagehoist/common/testing'
import type { EventQueue } from './eventQueue.js'

interface TargetState {
  running: number
  readonly waiting: Array<() => void>
  connections: number
  peakConnections: number
}

/** Behavior of the targets of a simulation. */
export interface TargetModel {
  readonly slots: number
  /** Factor by which a target is slower than usual at a time. */
  readonly slowdownOf: (targetId: string, atMs: number) => number
}

/** Requests that a target queues beyond its slots. */
const MAX_QUEUED = 8

/** Targets with slots, a first-come-first-served queue and a speed that changes. */
export class SimulatedTargets {
  /** Times of the requests that each target received. */
  readonly arrivals = new Map<string, number[]>()
  private readonly states = new Map<string, TargetState>()

  private constructor (private readonly clock: ManualClock, private readonly events: EventQueue, private readonly model: TargetModel) {}

  /** Creates targets that are not in use. */
  static create (clock: ManualClock, events: EventQueue, model: TargetModel): SimulatedTargets {
    return new SimulatedTargets(clock, events, model)
  }

  /** Largest number of connections that any target had at once. */
  get peakConnections (): number {
    return Math.max(0, ...[...this.states.values()].map(({ peakConnections }) => peakConnections))
  }

  /**
   * Runs a request, at once or when a slot is free.
   *
   * @param targetId - Target.
   * @param workMs - Time that a healthy target needs.
   * @param onDone - Called when the work is done.
   * @returns Whether the target took the request; it refuses it if its queue is full.
   */
  receive (targetId: string, workMs: number, onDone: () => void): boolean {
    const state = this.stateOf(targetId)
    this.arrivals.set(targetId, [...this.arrivals.get(targetId) ?? [], this.clock.monotonicMs()])
    if (state.running >= this.model.slots + MAX_QUEUED) return false
    const run = (): void => {
      this.events.schedule(workMs * this.model.slowdownOf(targetId, this.clock.monotonicMs()), () => {
        state.running--
        state.waiting.shift()?.()
        onDone()
      })
    }
    if (state.running++ < this.model.slots) run()
    else state.waiting.push(run)
    return true
  }

  /** Counts a connection that was opened (1) or closed (-1). */
  countConnection (targetId: string, change: 1 | -1): void {
    const state = this.stateOf(targetId)
    state.connections += change
    state.peakConnections = Math.max(state.peakConnections, state.connections)
  }

  private stateOf (targetId: string): TargetState {
    const known = this.states.get(targetId)
    if (known !== undefined) return known
    const state: TargetState = { running: 0, waiting: [], connections: 0, peakConnections: 0 }
    this.states.set(targetId, state)
    return state
  }
}
