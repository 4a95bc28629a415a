import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type {
  AttemptReport, AttemptSink, Clock, HealthView, Invariants, JsonValue, PickFailure, PickCriteria, Random, RouteConfig, ServiceConfig, Target, TargetPicker, TargetReservation
} from '@lovagehoist/common'
import { chooseTarget, isAllowed } from './choice/chooseTarget.js'
import type { Candidate } from './choice/chooseTarget.js'
import { slowStartShare } from './choice/slowStart.js'
import type { PickMetrics } from './metrics/pickMetrics.js'
import { ServicePool } from './servicePool.js'
import type { SharePolicy } from './share/slotShare.js'
import type { SubsetView } from './subset/subsetView.js'

/** Dependencies of the picker. */
export interface SharedPickerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly health: HealthView
  readonly subsets: SubsetView
  readonly policy: SharePolicy
  /** Returns the number of daemons that receive traffic; undefined if not known. */
  readonly daemonCount: () => number | undefined
  readonly serviceConfig: (service: string) => ServiceConfig | undefined
  readonly invariants: Invariants
  readonly metrics: PickMetrics
}

const PICK_PRIORITY: Readonly<Record<RouteConfig['priority'], number>> = { payment: 2, normal: 1, background: 0 }
const DEFAULT_MAX_WAITING = 256
const DEFAULT_COLD_START_MS = 10_000

/** Picks targets within this daemon's share of each service's slots. */
export class SharedPicker implements TargetPicker, AttemptSink {
  private readonly pools = new Map<string, ServicePool>()

  private constructor (private readonly options: SharedPickerOptions) {}

  /**
   * Creates a picker that holds no slots.
   *
   * @param options - Subsets, health and share policy.
   * @returns The picker.
   */
  static create (options: SharedPickerOptions): SharedPicker {
    return new SharedPicker(options)
  }

  readonly pick = async (criteria: PickCriteria, signal: AbortSignal): Promise<Result<TargetReservation, PickFailure>> => {
    const { clock, metrics } = this.options
    const startedAtMs = clock.monotonicMs()
    if (this.candidates(criteria).length === 0) return this.refuse(criteria, 'no-target')
    const pool = this.poolOf(criteria.service)
    const maxWaiting = this.options.serviceConfig(criteria.service)?.maxQueued ?? DEFAULT_MAX_WAITING
    const outcome = await pool.queue.acquire({ deadlineAtMs: criteria.deadlineAtMs, maxWaiting, priority: PICK_PRIORITY[criteria.priority ?? 'normal'] }, signal)
    metrics.observeWait(criteria.service, clock.monotonicMs() - startedAtMs)
    if (outcome !== 'taken') return this.refuse(criteria, outcome)
    const target = chooseTarget(this.candidates(criteria), criteria, this.options.random)
    if (target !== undefined) return ok(this.reserve(pool, target))
    pool.queue.release()
    return this.refuse(criteria, 'no-slot')
  }

  readonly record = (report: AttemptReport): void => {
    const pool = this.poolOf(report.target.service)
    if (report.outcome === 'shed') {
      this.options.metrics.countShed(report.target.service)
      pool.markFull(report.target)
    } else if (report.outcome === 'ok') {
      pool.share.onSuccess(pool.semaphore.readAndResetPeak())
    }
  }

  /** Returns how many requests of a service this daemon may run at once now, at least 1. */
  readonly capacity = (service: string): number => Math.max(1, Math.ceil(this.poolOf(service).share.slots()))

  /** Returns how many slots of a service this daemon may hold on average. */
  readonly slotLimit = (service: string): number => this.poolOf(service).share.slots()

  /** Returns the limit and the use of slots by service. */
  dump (): JsonValue {
    return Object.fromEntries([...this.pools].map(([service, pool]) => [service, {
      slotLimit: pool.share.slots(),
      slotsInUse: pool.semaphore.inUseCount,
      waiting: pool.queue.waiting,
      subset: this.options.subsets.rank(service).size
    }]))
  }

  private refuse (criteria: PickCriteria, reason: PickFailure): Result<TargetReservation, PickFailure> {
    this.options.metrics.countRefusal(criteria.service, reason)
    return err(reason)
  }

  /** Returns the targets of the subset that may run the request, with targets outside it in place of those that may not. */
  private candidates (criteria: PickCriteria): readonly Candidate[] {
    const { subsets, health } = this.options
    const ranked = subsets.rank(criteria.service)
    const pool = this.poolOf(criteria.service)
    const usable: Candidate[] = []
    for (const target of ranked.targets) {
      if (usable.length >= ranked.size) break
      const rating = health.ratingOf(target)
      const inFlight = pool.inFlightAt(target.id)
      if (criteria.triedTargetIds.has(target.id) || !isAllowed(rating, criteria) || inFlight >= ranked.maxInFlightPerTarget) continue
      usable.push({ target, weight: Math.min(rating.weight, this.slowStartShareOf(target)), inFlight, isFull: pool.isFull(target.id) })
    }
    return usable
  }

  private slowStartShareOf (target: Target): number {
    const coldStartMs = this.options.serviceConfig(target.service)?.coldStartMs ?? DEFAULT_COLD_START_MS
    return slowStartShare(this.options.clock.wallMs() - target.startedAtMs, coldStartMs)
  }

  private reserve (pool: ServicePool, target: Target): TargetReservation {
    pool.add(target)
    this.checkSlotCount(pool, target)
    let isHeld = true
    const release = (): void => {
      if (!isHeld) return
      isHeld = false
      pool.remove(target)
      pool.queue.release()
      this.checkSlotCount(pool, target)
    }
    return { target, release }
  }

  private checkSlotCount (pool: ServicePool, target: Target): void {
    const held = pool.semaphore.inUseCount
    const isConsistent = held >= 0 && pool.inFlightAt(target.id) >= 0 && pool.totalInFlight() <= held
    this.options.invariants.check('slot-count', isConsistent, { service: target.service, held, inFlight: pool.totalInFlight() })
    this.options.metrics.setSlots(target.service, held, pool.share.slots())
  }

  private poolOf (service: string): ServicePool {
    const known = this.pools.get(service)
    if (known !== undefined) return known
    const pool = ServicePool.create({ clock: this.options.clock, policy: this.options.policy, bounds: () => this.boundsOf(service) })
    this.pools.set(service, pool)
    return pool
  }

  private boundsOf (service: string): { readonly totalSlots: number, readonly daemons: number | undefined } {
    const { subsets, health, daemonCount } = this.options
    const totalSlots = subsets.rank(service).targets.reduce((sum, target) => sum + (health.ratingOf(target).weight > 0 ? target.slots : 0), 0)
    return { totalSlots, daemons: daemonCount() }
  }
}
