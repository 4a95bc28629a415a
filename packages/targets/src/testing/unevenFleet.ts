import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { AttemptOutcome, ListedTarget, Random, TargetChoice } from '@lovagehoist/common'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { MIN_SLOW_CHANCE } from '../condition/slownessEstimate.js'
import { FleetStatsAggregator } from '../load/fleetStatsAggregator.js'
import { TargetStatsTracker } from '../load/targetStatsTracker.js'
import { LowestCostSelector } from '../placing/lowestCostSelector.js'
import { TargetRegistry } from '../registry/targetRegistry.js'
import { EventQueue } from './eventQueue.js'
import { SimulatedTargets } from './simulatedTargets.js'
import type { TargetModel } from './simulatedTargets.js'

/** Requests of one route, with their work relative to the service's mean. */
export interface SimulatedRoute {
  readonly name: string
  readonly share: number
  readonly workFactor: number
}

/** Load on one service of a fleet whose demand, targets and work are uneven. */
export interface UnevenLoad extends TargetModel {
  readonly seed: number
  readonly seconds: number
  readonly zones: ReadonlyArray<{ readonly daemons: number, readonly targets: number }>
  /** Requests per second of all zones together. */
  readonly requestsPerSecond: number
  readonly meanWorkMs: number
  readonly objectiveMs: number
  readonly timeoutMs: number
  /** One-way latency between zones. */
  readonly crossZoneMs: number
  /** Amplitude of each zone's demand around its mean, and its period; the zones are out of phase. */
  readonly demandSwing: number
  readonly swingPeriodMs: number
  /** Share of the requests that take a multiple of the mean, and the multiple. */
  readonly tailShare: number
  readonly tailFactor: number
  readonly idempotentShare: number
  readonly routes?: readonly SimulatedRoute[]
  /** Time at which a target is listed first; from the start by default. */
  readonly joinsAtMs?: (targetId: string) => number
}

/** A request with its result. */
export interface UnevenRequest {
  readonly atMs: number
  readonly zone: number
  readonly route: string
  targetId: string
  tries: number
  status: 'open' | 'on-time' | 'late' | 'failed'
  latencyMs: number
}

interface UnevenDaemon {
  readonly zone: number
  readonly name: string
  readonly tracker: TargetStatsTracker
  readonly selector: LowestCostSelector
  /** Times of the last exchange on idle connections, by target. */
  readonly idle: Map<string, number[]>
}

type Chosen = Extract<TargetChoice, { readonly type: 'chosen' }>

const SERVICE = 's'
const ZONE_EXCHANGE_MS = 150
const CROSS_ZONE_EXCHANGE_MS = 800
const URGENT_DELAY_MS = 10
const OVERDUE_CHECK_MS = 250
const OWN_ZONE_MS = 0.2
const ERROR_SHARE = 0.01
const MAX_TRIES = 3
const COLD_MS = 3_000
/** Time after which targets close idle connections, and after which they carry no request that can't be repeated. */
const IDLE_CLOSE_MS = 10_000
const MAX_UNCONFIRMED_MS = 2_000
const ANY_ROUTE: readonly SimulatedRoute[] = [{ name: 'any', share: 1, workFactor: 1 }]

/** Runs the selectors of a whole fleet against targets with queues in virtual time and records what callers get. */
export class UnevenFleet {
  readonly requests: UnevenRequest[] = []
  readonly opened: number[] = []
  /** Targets that the fleet took for slow, at each exchange in the first zone. */
  readonly slowMarks: Array<{ readonly atMs: number, readonly targetIds: readonly string[] }> = []
  readonly targets: SimulatedTargets
  private readonly clock = ManualClock.create()
  private readonly events = EventQueue.create(this.clock)
  private readonly random: Random
  private readonly registry: TargetRegistry
  private readonly aggregators: readonly FleetStatsAggregator[]
  private readonly daemons: readonly UnevenDaemon[]
  private readonly urgentZones = new Set<number>()

  private constructor (private readonly load: UnevenLoad) {
    this.random = SeededRandom.create(load.seed)
    this.targets = SimulatedTargets.create(this.clock, this.events, load)
    this.registry = TargetRegistry.create({ clock: this.clock, log: silentLog, onForget: () => {} })
    this.listTargets()
    this.aggregators = load.zones.map(() => FleetStatsAggregator.create(this.clock))
    this.daemons = load.zones.flatMap(({ daemons }, zone) => Array.from({ length: daemons }, (_, index) => this.createDaemon(zone, index)))
  }

  /** Runs a simulation to its end. */
  static run (load: UnevenLoad): UnevenFleet {
    const fleet = new UnevenFleet(load)
    load.zones.forEach((_, zone) => { fleet.arrive(zone) })
    fleet.events.repeat(ZONE_EXCHANGE_MS, () => { load.zones.forEach((_, zone) => { fleet.exchangeInZone(zone) }) })
    fleet.events.repeat(CROSS_ZONE_EXCHANGE_MS, () => { load.zones.forEach((_, zone) => { fleet.reportToOtherZones(zone) }) })
    fleet.events.repeat(OVERDUE_CHECK_MS, () => { for (const { tracker } of fleet.daemons) tracker.markOverdue() })
    fleet.events.runUntil(load.seconds * 1_000)
    return fleet
  }

  private listTargets (): void {
    const { zones, joinsAtMs = () => 0, slots } = this.load
    const nowMs = this.clock.monotonicMs()
    const all = zones.flatMap(({ targets }, zone) => Array.from({ length: targets }, (_, index): ListedTarget =>
      ({ ...fakeTarget(`${zone}-${index}`), service: SERVICE, availabilityZone: String(zone), slots, coldForMs: joinsAtMs(`${zone}-${index}`) > 0 ? COLD_MS : 0 })))
    this.registry.apply({ storeVersion: nowMs + 1, targets: all.filter(({ id }) => joinsAtMs(id) <= nowMs), skipped: [] }, 0)
    const later = all.map(({ id }) => joinsAtMs(id)).filter(atMs => atMs > nowMs)
    if (later.length > 0) this.events.schedule(Math.min(...later) - nowMs, () => { this.listTargets() })
  }

  private createDaemon (zone: number, index: number): UnevenDaemon {
    const { clock, random, registry } = this
    const idle = new Map<string, number[]>()
    const tracker = TargetStatsTracker.create(clock, registry.serviceOf)
    const selector = LowestCostSelector.create({
      registry,
      statsTracker: tracker,
      clock,
      random,
      availabilityZone: String(zone),
      floorShare: () => 0.7,
      limits: { allows: () => true, recordDemand: () => {}, recordSent: () => {}, recordRefused: () => 0 },
      leaving: { has: () => false, isLastResort: () => false },
      rests: { isResting: () => false, isReturning: () => false, retryDelayMs: () => 0 },
      hasIdle: (id, isIdempotent) => this.findIdle(idle, id, isIdempotent) >= 0
    })
    tracker.onChange(isUrgent => { if (isUrgent) this.exchangeSoon(zone) })
    return { zone, name: `${zone}-${index}`, tracker, selector, idle }
  }

  private demandOf (zone: number): number {
    const { zones, requestsPerSecond, demandSwing, swingPeriodMs } = this.load
    const phase = 2 * Math.PI * (this.clock.monotonicMs() / swingPeriodMs + zone / zones.length)
    return requestsPerSecond / zones.length * (1 + demandSwing * Math.sin(phase))
  }

  private arrive (zone: number): void {
    const { requestsPerSecond, zones, demandSwing, routes = ANY_ROUTE } = this.load
    const peak = requestsPerSecond / zones.length * (1 + demandSwing)
    this.events.schedule(-Math.log(1 - this.random.next()) * 1_000 / peak, () => {
      this.arrive(zone)
      if (this.random.next() * peak > this.demandOf(zone)) return
      const own = this.daemons.filter(daemon => daemon.zone === zone)
      const daemon = own[this.random.int(own.length)]
      let drawn = this.random.next()
      const route = routes.find(({ share }) => { drawn -= share; return drawn < 0 }) ?? ANY_ROUTE[0]
      const request: UnevenRequest = { atMs: this.clock.monotonicMs(), zone, route: route?.name ?? '', targetId: '', tries: 0, status: 'open', latencyMs: 0 }
      this.requests.push(request)
      if (daemon !== undefined) this.send(daemon, request, this.drawWorkMs(route?.workFactor ?? 1), this.random.next() < this.load.idempotentShare, new Set())
    })
  }

  private drawWorkMs (factor: number): number {
    const { meanWorkMs, tailShare, tailFactor } = this.load
    return meanWorkMs * factor * (this.random.next() < tailShare ? tailFactor : 0.5 + this.random.next())
  }

  private send (daemon: UnevenDaemon, request: UnevenRequest, workMs: number, isIdempotent: boolean, triedTargetIds: ReadonlySet<string>): void {
    const deadlineAtMs = request.atMs + this.load.timeoutMs
    const choice = daemon.selector.choose({ service: SERVICE, isIdempotent, hasHigherPriorityTraffic: false, triedTargetIds, deadlineAtMs, requestClass: request.route })
    if (choice.type !== 'chosen') { this.finish(request, 'failed'); return }
    request.targetId = choice.target.id
    request.tries++
    const startMs = this.clock.monotonicMs()
    const networkMs = choice.inputs.isOwnZone ? OWN_ZONE_MS : this.load.crossZoneMs
    const isError = this.random.next() < ERROR_SHARE
    const end = (outcome: AttemptOutcome): void => {
      choice.attempt.end(outcome, this.clock.monotonicMs() - startMs)
      this.releaseConnection(daemon, choice.target.id)
      const isRetried = outcome === 'refused' || (outcome === 'failed' && isIdempotent)
      if (request.status === 'open' && isRetried && request.tries < MAX_TRIES) this.send(daemon, request, workMs, isIdempotent, new Set([...triedTargetIds, choice.target.id]))
      else this.finish(request, outcome === 'succeeded' ? 'on-time' : 'failed')
    }
    this.takeConnection(daemon, choice, isIdempotent)
    this.events.schedule(deadlineAtMs - startMs, () => { choice.attempt.end('failed', this.clock.monotonicMs() - startMs); this.finish(request, 'failed') })
    this.events.schedule(networkMs, () => {
      const isTaken = this.targets.receive(choice.target.id, workMs, () => { this.events.schedule(networkMs, () => { end(isError ? 'failed' : 'succeeded') }) })
      if (!isTaken) this.events.schedule(networkMs, () => { end('refused') })
    })
  }

  private finish (request: UnevenRequest, status: 'on-time' | 'failed'): void {
    if (request.status !== 'open') return
    request.latencyMs = this.clock.monotonicMs() - request.atMs
    request.status = status === 'on-time' && request.latencyMs > this.load.objectiveMs ? 'late' : status
  }

  /** Index of the idle connection that suits a request and was used last, or -1. */
  private findIdle (idle: ReadonlyMap<string, readonly number[]>, targetId: string, isIdempotent: boolean): number {
    const oldestMs = this.clock.monotonicMs() - (isIdempotent ? IDLE_CLOSE_MS : MAX_UNCONFIRMED_MS)
    return (idle.get(targetId) ?? []).findLastIndex(atMs => atMs >= oldestMs)
  }

  private takeConnection ({ idle }: UnevenDaemon, { target }: Chosen, isIdempotent: boolean): void {
    const index = this.findIdle(idle, target.id, isIdempotent)
    if (index >= 0) { idle.get(target.id)?.splice(index, 1); return }
    this.opened.push(this.clock.monotonicMs())
    this.targets.countConnection(target.id, 1)
  }

  private releaseConnection ({ idle }: UnevenDaemon, targetId: string): void {
    const usedAtMs = this.clock.monotonicMs()
    const connections = idle.get(targetId) ?? []
    connections.push(usedAtMs)
    idle.set(targetId, connections)
    this.events.schedule(IDLE_CLOSE_MS, () => {
      const index = connections.indexOf(usedAtMs)
      if (index < 0) return
      connections.splice(index, 1)
      this.targets.countConnection(targetId, -1)
    })
  }

  private exchangeSoon (zone: number): void {
    if (this.urgentZones.has(zone)) return
    this.urgentZones.add(zone)
    this.events.schedule(URGENT_DELAY_MS, () => {
      this.urgentZones.delete(zone)
      this.exchangeInZone(zone)
      this.reportToOtherZones(zone)
    })
  }

  private exchangeInZone (zone: number): void {
    const aggregator = this.aggregators[zone]
    if (aggregator === undefined) return
    const daemons = this.daemons.filter(daemon => daemon.zone === zone)
    for (const { name, tracker } of daemons) aggregator.applyDaemonReport(name, tracker.collectCounters(1_000), true, this.clock.monotonicMs())
    aggregator.sweep()
    const stats = aggregator.targetStats()
    for (const { tracker } of daemons) tracker.applyFleetStats(stats)
    if (zone === 0) this.slowMarks.push({ atMs: this.clock.monotonicMs(), targetIds: stats.filter(([, { slowChance = 0 }]) => slowChance >= MIN_SLOW_CHANCE).map(([id]) => id) })
  }

  private reportToOtherZones (zone: number): void {
    const counters = this.aggregators[zone]?.ownZoneCounters() ?? []
    this.aggregators.forEach((to, other) => { if (other !== zone) to.applyZoneReport(String(zone), counters, true) })
  }
}
