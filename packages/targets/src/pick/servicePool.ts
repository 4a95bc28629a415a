import type { Clock, Target } from '@lovagehoist/common'
import { FractionalSemaphore } from './share/fractionalSemaphore.js'
import { SlotQueue } from './share/slotQueue.js'
import { SlotShare } from './share/slotShare.js'
import type { SharePolicy, SlotBounds } from './share/slotShare.js'

/** Dependencies of the pool. */
export interface ServicePoolOptions {
  readonly clock: Clock
  readonly policy: SharePolicy
  readonly bounds: () => SlotBounds
}

/** Time for which the computed bounds of the share are cached. */
const BOUNDS_CACHE_MS = 50
/** Time for which a target that refused a request is avoided. */
const FULL_TARGET_BACKOFF_MS = 300

/** Slots of one service that this daemon holds, and the requests in flight at each target. */
export class ServicePool {
  readonly share: SlotShare
  readonly semaphore: FractionalSemaphore
  readonly queue: SlotQueue
  private readonly inFlight = new Map<string, number>()
  private readonly fullUntilMs = new Map<string, number>()
  private cachedBounds: SlotBounds = { totalSlots: 0, daemons: undefined }
  private boundsExpireAtMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly options: ServicePoolOptions) {
    const { clock, policy } = options
    this.share = SlotShare.create(clock, policy, () => this.bounds())
    this.semaphore = FractionalSemaphore.create(clock, () => this.share.slots())
    this.queue = SlotQueue.create(clock, this.semaphore)
  }

  /**
   * Creates a pool that holds no slots.
   *
   * @param options - Clock, policy and bounds of the share.
   * @returns The pool.
   */
  static create (options: ServicePoolOptions): ServicePool {
    return new ServicePool(options)
  }

  private bounds (): SlotBounds {
    const nowMs = this.options.clock.monotonicMs()
    if (nowMs < this.boundsExpireAtMs) return this.cachedBounds
    this.cachedBounds = this.options.bounds()
    this.boundsExpireAtMs = nowMs + BOUNDS_CACHE_MS
    return this.cachedBounds
  }

  /** Returns the requests of this daemon in flight at a target. */
  inFlightAt (targetId: string): number {
    return this.inFlight.get(targetId) ?? 0
  }

  /** Returns the total number of requests in flight at all targets. */
  totalInFlight (): number {
    return [...this.inFlight.values()].reduce((sum, count) => sum + count, 0)
  }

  /** Whether a target has just refused a request for lack of slots. */
  isFull (targetId: string): boolean {
    return (this.fullUntilMs.get(targetId) ?? 0) > this.options.clock.monotonicMs()
  }

  /** Counts a request at a target. */
  add (target: Target): void {
    this.inFlight.set(target.id, this.inFlightAt(target.id) + 1)
  }

  /** Stops counting a request at a target. */
  remove (target: Target): void {
    const left = this.inFlightAt(target.id) - 1
    if (left === 0) this.inFlight.delete(target.id)
    else this.inFlight.set(target.id, left)
  }

  /** Records that a target refused a request for lack of slots. */
  markFull (target: Target): void {
    const nowMs = this.options.clock.monotonicMs()
    for (const [id, untilMs] of this.fullUntilMs) if (untilMs <= nowMs) this.fullUntilMs.delete(id)
    this.fullUntilMs.set(target.id, nowMs + FULL_TARGET_BACKOFF_MS)
    this.share.onTargetFull(this.semaphore.inUseCount)
  }
}
