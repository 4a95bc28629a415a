import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { CapacityView, Clock, Random } from '@lovagehoist/common'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { ShortageAdmission, WindowedRetryBudget } from '@lovagehoist/callers'
import type { ShortageCandidate, ShortageDecision } from '@lovagehoist/callers'
import { FleetStatsAggregator, LowestCostSelector, TargetRegistry, TargetRests, TargetStatsTracker } from '@lovagehoist/targets'
import { AFTERMATH_MS, CLASSES, FAULT_FROM_MS } from './shortageLoads.js'
import type { RequestClass, ShortageLoad, ShortageService } from './shortageLoads.js'
import { SimulatedTarget } from './simulatedTarget.js'

/** What a policy of the simulated daemons may use. */
export interface PolicyContext {
  readonly clock: Clock
  readonly random: Random
  readonly capacity: CapacityView
  /** Number of daemons. */
  readonly daemons: number
}

/** Decision of a policy; alternatives may also hold a request in the daemon and decide again. */
export type PolicyDecision = ShortageDecision | { readonly type: 'held', readonly forMs: number }

/** Policy of one daemon. */
export interface Policy {
  readonly decide: (candidate: ShortageCandidate) => PolicyDecision
}

/** Creates the policy of one daemon. */
export type CreatePolicy = (context: PolicyContext) => Policy

/** Load, faults, policy and callers of a simulation. */
export interface ShortageSimulationOptions {
  readonly seed: number
  readonly service: ShortageService
  readonly load: ShortageLoad
  readonly policy: CreatePolicy
  /** Whether one slot of each target is reserved for requests that none outranks; as in the gateway by default. */
  readonly hasReservedSlots?: boolean
  /** Share of the callers that retry a refused request at once, three times. */
  readonly impatientShare?: number
  /** Interval of the exchange between zones; the gateway's by default. */
  readonly crossZoneExchangeMs?: number
}

/** What the callers of one class got. */
export interface ClassResult {
  requests: number
  served: number
  inTime: number
  value: number
  refusals: number
}

interface SimulatedDaemon {
  readonly name: string
  readonly zone: number
  readonly tracker: TargetStatsTracker
  readonly selector: LowestCostSelector
  readonly budget: WindowedRetryBudget
  readonly gate: Policy
}

interface SimulatedRequest {
  readonly id: string
  readonly classIndex: number
  readonly zone: number
  readonly firstAtMs: number
  readonly workMs: number
  readonly isImpatient: boolean
  readonly isCounted: boolean
  returns: number
  isEnded: boolean
}

interface SimulatedEvent {
  readonly atMs: number
  readonly run: () => void
}

const SERVICE = 's'
const ZONE_EXCHANGE_MS = 150
const CROSS_ZONE_EXCHANGE_MS = 800
const IMPATIENT_SHARE = 1 / 3
const IMPATIENT_RETRIES = 3
const IMMEDIATE_MS = 5
const MAX_ATTEMPTS = 3
/** Part of the time left for which callers wait at most before they return. */
const MAX_RETURN_SHARE = 1 / 3
const MIN_RETRY_AFTER_MS = 250
const MAX_RETRY_AFTER_MS = 2_000
const BOUNDS = { graceMs: 1, targetDrainMs: 2_000, configApplyMs: 2_000, retryShare: 0.2, retrySlack: 58, retryWindowMs: 10_000, floorShare: 0.7, keyRevocationMs: 5_000, isKeyRevocationStrict: false, quota: { windowMs: 5_000, overageShare: 0.1, slackRequests: 20 } }
const NO_LIMITS = { allows: () => true, recordDemand: () => {}, recordSent: () => {}, recordRefused: () => 0 }
const NOTHING_LEAVES = { has: () => false, isLastResort: () => false }

/** The policy of today: no admission before a target is chosen. */
export const firstComeFirstServed: CreatePolicy = () => ({ decide: () => ({ type: 'admitted' }) })

/** The admission that the gateway uses. */
export const shortageAdmission: CreatePolicy = ({ clock, random, capacity }) =>
  ShortageAdmission.create({ clock, random, log: silentLog, capacity, metrics: { setLevel: () => {}, countRefusal: () => {}, setWait: () => {} } })

/** Runs the gateway's decisions of a whole fleet against simulated targets and callers, in virtual time. */
export class ShortageSimulation {
  readonly results: readonly ClassResult[] = CLASSES.map(() => ({ requests: 0, served: 0, inTime: 0, value: 0, refusals: 0 }))
  /** Times of the refusals by the policy of the daemons. */
  readonly policyRefusedAtMs: number[] = []
  private readonly clock = ManualClock.create()
  private readonly random: Random
  private readonly events: SimulatedEvent[] = []
  private readonly registry: TargetRegistry
  private readonly targets = new Map<string, SimulatedTarget>()
  private daemons: readonly SimulatedDaemon[]
  private aggregators: readonly FleetStatsAggregator[]
  private nextId = 0

  private constructor (private readonly options: ShortageSimulationOptions) {
    const { service, seed } = options
    this.random = SeededRandom.create(seed)
    const listed = Array.from({ length: service.targets }, (_, index) => ({ ...fakeTarget(`t${index}`), service: SERVICE, slots: service.slots, availabilityZone: String(index % service.zones), coldForMs: 0 }))
    for (const { id } of listed) this.targets.set(id, SimulatedTarget.create(service.slots, this.random, (delayMs, run) => { this.schedule(delayMs, run) }))
    this.registry = TargetRegistry.create({ clock: this.clock, log: silentLog, onForget: () => {} })
    this.registry.apply({ storeVersion: 1, targets: listed, skipped: [] }, 0)
    this.aggregators = this.createAggregators()
    this.daemons = this.createDaemons(0)
  }

  /** Runs a simulation to its end. */
  static run (options: ShortageSimulationOptions): ShortageSimulation {
    const simulation = new ShortageSimulation(options)
    simulation.runEvents()
    return simulation
  }

  /** Value that callers got, as a share of the value of all requests in time. */
  get worthShare (): number {
    const most = this.results.reduce((sum, { requests }, index) => sum + requests * (CLASSES[index]?.value ?? 0), 0)
    return this.results.reduce((sum, { value }) => sum + value, 0) / most
  }

  /** Refusals by the policy of the daemons, whenever they came. */
  get policyRefusals (): number {
    return this.policyRefusedAtMs.length
  }

  private createAggregators (): readonly FleetStatsAggregator[] {
    return Array.from({ length: this.options.service.zones }, () => FleetStatsAggregator.create(this.clock))
  }

  private createDaemons (restarts: number): readonly SimulatedDaemon[] {
    const { service: { daemons, zones }, policy } = this.options
    const { clock, random, registry } = this
    return Array.from({ length: daemons }, (_, index): SimulatedDaemon => {
      const zone = index % zones
      const tracker = TargetStatsTracker.create(clock, registry.serviceOf)
      const rests = TargetRests.create({ clock, random, log: silentLog })
      const selector = LowestCostSelector.create({ registry, rests, leaving: NOTHING_LEAVES, statsTracker: tracker, clock, random, availabilityZone: String(zone), limits: NO_LIMITS, floorShare: () => BOUNDS.floorShare, hasIdle: () => true })
      const budget = WindowedRetryBudget.create({ clock, limits: () => BOUNDS, isFirstStart: restarts === 0, fleetSize: () => daemons })
      return { name: `${index}-${restarts}`, zone, tracker, selector, budget, gate: policy({ clock, random, capacity: selector, daemons }) }
    })
  }

  private runEvents (): void {
    const { service: { zones }, load: { faultMs } } = this.options
    for (let zone = 0; zone < zones; zone++) CLASSES.forEach((_, index) => { this.arrive(zone, index) })
    this.repeat(ZONE_EXCHANGE_MS, () => { this.exchangeInZones() })
    this.repeat(this.options.crossZoneExchangeMs ?? CROSS_ZONE_EXCHANGE_MS, () => { this.exchangeBetweenZones() })
    this.schedule(FAULT_FROM_MS, () => { this.startFault() })
    this.schedule(FAULT_FROM_MS + faultMs, () => { this.endFault() })
    const endMs = FAULT_FROM_MS + faultMs + AFTERMATH_MS + this.options.service.timeoutMs
    for (let event = this.events.pop(); event !== undefined && event.atMs < endMs; event = this.events.pop()) {
      this.clock.jumpMs(event.atMs - this.clock.monotonicMs())
      event.run()
    }
  }

  /** Inserts an event; the list is sorted by descending time, so that the next event is the last one. */
  private schedule (delayMs: number, run: () => void): void {
    const atMs = this.clock.monotonicMs() + delayMs
    let low = 0
    let high = this.events.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.events[middle]?.atMs ?? 0) > atMs) low = middle + 1
      else high = middle
    }
    this.events.splice(low, 0, { atMs, run })
  }

  private repeat (intervalMs: number, run: () => void): void {
    this.schedule(intervalMs, () => {
      run()
      this.repeat(intervalMs, run)
    })
  }

  private exchangeInZones (): void {
    this.aggregators.forEach((aggregator, zone) => {
      const daemons = this.daemons.filter(daemon => daemon.zone === zone)
      for (const { name, tracker } of daemons) aggregator.applyDaemonReport(name, tracker.collectCounters(), true, this.clock.monotonicMs())
      aggregator.sweep()
      const stats = aggregator.targetStats()
      for (const { tracker } of daemons) {
        tracker.applyFleetStats(stats)
        tracker.markOverdue()
      }
    })
  }

  private exchangeBetweenZones (): void {
    this.aggregators.forEach((from, zone) => {
      for (const to of this.aggregators) if (to !== from) to.applyZoneReport(String(zone), from.ownZoneCounters(), true)
    })
  }

  private startFault (): void {
    const { load: { refusing = 0, lost = 0, slow = [0, 1], isRestart = false } } = this.options
    const targets = [...this.targets.values()]
    targets.forEach((target, index) => {
      target.refusedShare = refusing
      target.isLost = index < lost * targets.length
      target.slowFactor = index < slow[0] * targets.length ? slow[1] : 1
    })
    if (!isRestart) return
    this.aggregators = this.createAggregators()
    this.daemons = this.createDaemons(1)
  }

  private endFault (): void {
    for (const target of this.targets.values()) Object.assign(target, { refusedShare: 0, isLost: false, slowFactor: 1 })
  }

  private isFault (): boolean {
    const nowMs = this.clock.monotonicMs()
    return nowMs >= FAULT_FROM_MS && nowMs < FAULT_FROM_MS + this.options.load.faultMs
  }

  private arrive (zone: number, classIndex: number): void {
    const { service: { targets, slots, workMs, zones }, load: { use, demand, faultMs }, impatientShare = IMPATIENT_SHARE } = this.options
    const requestClass = CLASSES[classIndex]
    if (requestClass === undefined) return
    const perMs = use * targets * slots / workMs * requestClass.share / zones * (this.isFault() ? demand?.(classIndex) ?? 1 : 1)
    // Draws at least every 50 ms, so that the demand follows the load.
    const waitMs = -Math.log(1 - this.random.next()) / perMs
    const STEP_MS = 50
    this.schedule(Math.min(STEP_MS, waitMs), () => {
      this.arrive(zone, classIndex)
      if (waitMs > STEP_MS) return
      const firstAtMs = this.clock.monotonicMs()
      const isCounted = firstAtMs >= FAULT_FROM_MS && firstAtMs < FAULT_FROM_MS + faultMs + AFTERMATH_MS
      const request: SimulatedRequest = { id: String(this.nextId++), classIndex, zone, firstAtMs, workMs: this.drawWorkMs(requestClass), isImpatient: this.random.next() < impatientShare, isCounted, returns: 0, isEnded: false }
      if (isCounted) this.resultOf(request).requests++
      this.serve(request, new Set(), this.pickDaemon(zone))
    })
  }

  private drawWorkMs ({ work }: RequestClass): number {
    const { workMs, tailShare, tailFactor } = this.options.service
    const meanFactor = 1 + tailShare * (tailFactor - 1)
    const factor = this.random.next() < tailShare ? tailFactor : 0.5 + this.random.next()
    return work * workMs * factor / meanFactor
  }

  private pickDaemon (zone: number): SimulatedDaemon | undefined {
    const own = this.daemons.filter(daemon => daemon.zone === zone)
    return own[this.random.int(own.length)]
  }

  private serve (request: SimulatedRequest, tried: ReadonlySet<string>, daemon: SimulatedDaemon | undefined, receivedAtMs = this.clock.monotonicMs()): void {
    const { service: { timeoutMs, objectiveMs }, hasReservedSlots = true } = this.options
    if (daemon === undefined || this.clock.monotonicMs() >= request.firstAtMs + timeoutMs) return
    if (tried.size === 0 && receivedAtMs === this.clock.monotonicMs()) daemon.budget.recordRequest(SERVICE)
    const decision = daemon.gate.decide({ requestId: request.id, service: SERVICE, rank: request.classIndex, ranks: CLASSES.length, receivedAtMs, objectiveMs, isRetry: tried.size > 0 })
    if (decision.type === 'held') {
      this.schedule(decision.forMs, () => { this.serve(request, tried, daemon, receivedAtMs) })
      return
    }
    if (decision.type === 'refused') {
      this.policyRefusedAtMs.push(this.clock.monotonicMs())
      this.refuse(request, decision.retryDelayMs)
      return
    }
    const choice = daemon.selector.choose({ service: SERVICE, isIdempotent: true, hasHigherPriorityTraffic: hasReservedSlots && request.classIndex > 0, triedTargetIds: tried, deadlineAtMs: request.firstAtMs + timeoutMs })
    if (choice.type !== 'chosen') {
      this.refuse(request, choice.type === 'too-late' ? Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, choice.waitMs)) : MIN_RETRY_AFTER_MS)
      return
    }
    const target = this.targets.get(choice.target.id)
    if (target === undefined) return
    const sentAtMs = this.clock.monotonicMs()
    const retry = (outcome: 'refused' | 'unreachable', isAllowed: () => boolean): void => {
      choice.attempt.end(outcome, this.clock.monotonicMs() - sentAtMs)
      if (tried.size + 1 < MAX_ATTEMPTS && isAllowed()) this.serve(request, new Set([...tried, choice.target.id]), daemon, receivedAtMs)
      else this.refuse(request, MIN_RETRY_AFTER_MS)
    }
    if (target.isLost) this.schedule(IMMEDIATE_MS, () => { retry('unreachable', () => true) })
    else if (!target.offer(request.workMs, () => { choice.attempt.end('succeeded', this.clock.monotonicMs() - sentAtMs); this.answer(request) })) this.schedule(IMMEDIATE_MS, () => { retry('refused', () => daemon.budget.tryAcquire(SERVICE)) })
  }

  /** The caller returns at once or after the delay, unless that takes too much of its time. */
  private refuse (request: SimulatedRequest, retryAfterMs: number): void {
    if (request.isCounted) this.resultOf(request).refusals++
    const leftMs = request.firstAtMs + this.options.service.timeoutMs - this.clock.monotonicMs()
    if (request.isImpatient ? request.returns >= IMPATIENT_RETRIES : retryAfterMs > MAX_RETURN_SHARE * leftMs) return
    request.returns++
    this.schedule(request.isImpatient ? IMMEDIATE_MS : retryAfterMs, () => { this.serve(request, new Set(), this.pickDaemon(request.zone)) })
  }

  private answer (request: SimulatedRequest): void {
    const { objectiveMs, timeoutMs } = this.options.service
    const afterMs = this.clock.monotonicMs() - request.firstAtMs
    const requestClass = CLASSES[request.classIndex]
    if (requestClass === undefined || !request.isCounted || request.isEnded || afterMs > timeoutMs) return
    request.isEnded = true
    const result = this.resultOf(request)
    result.served++
    if (afterMs <= objectiveMs) result.inTime++
    result.value += requestClass.value * (afterMs <= objectiveMs ? 1 : requestClass.lateShare)
  }

  private resultOf ({ classIndex }: SimulatedRequest): ClassResult {
    const result = this.results[classIndex]
    if (result === undefined) throw new Error(`no class ${classIndex}`)
    return result
  }
}
