import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type {
  AttemptReport, AttemptSink, Clock, HealthView, Invariants, JsonValue, PickFailure, PickCriteria, Random, RouteConfig, ServiceConfig, Target, TargetPicker, TargetReservation
} from '@lovagehoist/common'
import { chooseTarget, isAllowed } from './choice/chooseTarget.js'
import type { Candidate } from './choice/chooseTarget.js'
import { coldShare } from './choice/coldRamp.js'
import type { PickMetrics } from './metrics/pickMetrics.js'
import { ServicePool } from './servicePool.js'
import type { SharePolicy } from './share/slotShare.js'
import type { SubsetView } from './subset/subsetView.js'

/** What the picker needs. */
export interface SharedPickerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly health: HealthView
  readonly subsets: SubsetView
  readonly policy: SharePolicy
  /** Daemons that take traffic; undefined when they are not known. */
  readonly daemonCount: () => number | undefined
  readonly serviceConfig: (service: string) => ServiceConfig | undefined
  readonly invariants: Invariants
  readonly metrics: PickMetrics
}

const PICK_PRIORITY: Readonly<Record<RouteConfig['priority'], number>> = { payment: 2, normal: 1, background: 0 }
const DEFAULT_MAX_WAITING = 256
const DEFAULT_COLD_START_MS = 10_000

/** Chooses targets within this daemon's share of each service's slots. */
export class SharedPicker implements TargetPicker, AttemptSink {
  private readonly pools = new Map<string, ServicePool>()

  private constructor (private readonly options: SharedPickerOptions) {}

  /**
   * Creates a picker that holds no slot.
   *
   * @param options - Subsets, health and share policy.
   * @returns The picker.
   */
  static create (options: SharedPickerOptions): SharedPicker {
    return new SharedPicker(options)
  }

  readonly pick = async (need: PickCriteria, signal: AbortSignal): Promise<Result<TargetReservation, PickFailure>> => {
    const { clock, metrics } = this.options
    const startedAtMs = clock.monotonicMs()
    if (this.candidates(need).length === 0) return this.refuse(need, 'no-target')
    const pool = this.poolOf(need.service)
    const maxWaiting = this.options.serviceConfig(need.service)?.maxQueued ?? DEFAULT_MAX_WAITING
    const entered = await pool.gate.enter({ deadlineAtMs: need.deadlineAtMs, maxWaiting, priority: PICK_PRIORITY[need.priority ?? 'normal'] }, signal)
    metrics.observeWait(need.service, clock.monotonicMs() - startedAtMs)
    if (entered !== 'taken') return this.refuse(need, entered)
    const target = chooseTarget(this.candidates(need), need, this.options.random)
    if (target !== undefined) return ok(this.reserve(pool, target))
    pool.gate.leave()
    return this.refuse(need, 'no-slot')
  }

  readonly record = (report: AttemptReport): void => {
    const pool = this.poolOf(report.target.service)
    if (report.outcome === 'shed') {
      this.options.metrics.countShed(report.target.service)
      pool.noteFull(report.target)
    } else if (report.outcome === 'ok') {
      pool.share.onServed(pool.credit.takePeak())
    }
  }

  /** Requests of a service that this daemon may run at once now, at least 1. */
  readonly capacity = (service: string): number => Math.max(1, Math.ceil(this.poolOf(service).share.slots()))

  /** Slots of a service that this daemon may hold on average. */
  readonly slotLimit = (service: string): number => this.poolOf(service).share.slots()

  /** Shares and slots in use by service. */
  dump (): JsonValue {
    return Object.fromEntries([...this.pools].map(([service, pool]) => [service, {
      slotLimit: pool.share.slots(),
      slotsInUse: pool.credit.held,
      waiting: pool.gate.waiting,
      subset: this.options.subsets.rank(service).size
    }]))
  }

  private refuse (need: PickCriteria, reason: PickFailure): Result<TargetReservation, PickFailure> {
    this.options.metrics.countRefusal(need.service, reason)
    return err(reason)
  }

  /** Targets of the subset that allow the request, or further ones in place of those that do not. */
  private candidates (need: PickCriteria): readonly Candidate[] {
    const { subsets, health } = this.options
    const ranked = subsets.rank(need.service)
    const pool = this.poolOf(need.service)
    const usable: Candidate[] = []
    for (const target of ranked.targets) {
      if (usable.length >= ranked.size) break
      const rating = health.ratingOf(target)
      const inFlight = pool.inFlightAt(target.id)
      if (need.triedTargetIds.has(target.id) || !isAllowed(rating, need) || inFlight >= ranked.maxInFlightPerTarget) continue
      usable.push({ target, weight: Math.min(rating.weight, this.coldShareOf(target)), inFlight, isFull: pool.isFull(target.id) })
    }
    return usable
  }

  private coldShareOf (target: Target): number {
    const coldStartMs = this.options.serviceConfig(target.service)?.coldStartMs ?? DEFAULT_COLD_START_MS
    return coldShare(this.options.clock.wallMs() - target.startedAtMs, coldStartMs)
  }

  private reserve (pool: ServicePool, target: Target): TargetReservation {
    pool.add(target)
    this.checkCounts(pool, target)
    let isHeld = true
    const release = (): void => {
      if (!isHeld) return
      isHeld = false
      pool.remove(target)
      pool.gate.leave()
      this.checkCounts(pool, target)
    }
    return { target, release }
  }

  private checkCounts (pool: ServicePool, target: Target): void {
    const held = pool.credit.held
    const isConsistent = held >= 0 && pool.inFlightAt(target.id) >= 0 && pool.inFlightSum() <= held
    this.options.invariants.check('slot-count', isConsistent, { service: target.service, held, inFlight: pool.inFlightSum() })
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
