import type { Clock, Target } from '@lovagehoist/common'
import { SlotCredit } from './share/slotCredit.js'
import { SlotGate } from './share/slotGate.js'
import { SlotShare } from './share/slotShare.js'
import type { SharePolicy, SlotBounds } from './share/slotShare.js'

/** What a pool needs. */
export interface ServicePoolOptions {
  readonly clock: Clock
  readonly policy: SharePolicy
  readonly bounds: () => SlotBounds
}

/** Time for which the bounds of the share are used before they are worked out again. */
const BOUNDS_FRESH_MS = 50
/** Time for which a target that refused work is passed over. */
const FULL_MS = 300

/** Slots of one service that this daemon holds, and where. */
export class ServicePool {
  readonly share: SlotShare
  readonly credit: SlotCredit
  readonly gate: SlotGate
  private readonly inFlight = new Map<string, number>()
  private readonly fullUntilMs = new Map<string, number>()
  private known: SlotBounds = { totalSlots: 0, daemons: undefined }
  private knownUntilMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly options: ServicePoolOptions) {
    const { clock, policy } = options
    this.share = SlotShare.create(clock, policy, () => this.bounds())
    this.credit = SlotCredit.create(clock, () => this.share.slots())
    this.gate = SlotGate.create(clock, this.credit)
  }

  /**
   * Creates a pool in which nothing is held.
   *
   * @param options - Clock, policy and bounds of the share.
   * @returns The pool.
   */
  static create (options: ServicePoolOptions): ServicePool {
    return new ServicePool(options)
  }

  private bounds (): SlotBounds {
    const nowMs = this.options.clock.monotonicMs()
    if (nowMs < this.knownUntilMs) return this.known
    this.known = this.options.bounds()
    this.knownUntilMs = nowMs + BOUNDS_FRESH_MS
    return this.known
  }

  /** Requests in flight at a target from this daemon. */
  inFlightAt (targetId: string): number {
    return this.inFlight.get(targetId) ?? 0
  }

  /** Sum of the requests in flight at all targets. */
  inFlightSum (): number {
    return [...this.inFlight.values()].reduce((sum, count) => sum + count, 0)
  }

  /** Whether a target refused work a moment ago. */
  isFull (targetId: string): boolean {
    return (this.fullUntilMs.get(targetId) ?? 0) > this.options.clock.monotonicMs()
  }

  /** Counts a request at a target. */
  add (target: Target): void {
    this.inFlight.set(target.id, this.inFlightAt(target.id) + 1)
  }

  /** Uncounts a request at a target. */
  remove (target: Target): void {
    const left = this.inFlightAt(target.id) - 1
    if (left === 0) this.inFlight.delete(target.id)
    else this.inFlight.set(target.id, left)
  }

  /** Notes that a target refused work. */
  noteFull (target: Target): void {
    const nowMs = this.options.clock.monotonicMs()
    for (const [id, untilMs] of this.fullUntilMs) if (untilMs <= nowMs) this.fullUntilMs.delete(id)
    this.fullUntilMs.set(target.id, nowMs + FULL_MS)
    this.share.onFull(this.credit.held)
  }
}
