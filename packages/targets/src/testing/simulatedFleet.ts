import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { AttemptOutcome, CancelTimer, ListedTarget, Random } from '@lovagehoist/common'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { FleetLimits } from '../limits/fleetLimits.js'
import { FleetStatsAggregator } from '../load/fleetStatsAggregator.js'
import { TargetStatsTracker } from '../load/targetStatsTracker.js'
import { LowestCostSelector } from '../placing/lowestCostSelector.js'
import { PathMonitor } from '../reachability/pathMonitor.js'
import { TargetRegistry } from '../registry/targetRegistry.js'
import { TargetRests } from '../rest/targetRests.js'

/** One availability zone of a simulated fleet that serves one service. */
export interface SimulatedZone {
  readonly daemons: number
  readonly targets: number
  readonly requestsPerSecond: number
}

/** Index of a daemon's zone, and of the daemon in its zone. */
export interface DaemonPosition {
  readonly zone: number
  readonly index: number
}

/** Load and faults of a simulation. */
export interface SimulationOptions {
  readonly seed: number
  readonly zones: readonly SimulatedZone[]
  readonly isIdempotent: boolean
  readonly seconds: number
  /** Probability that a healthy target answers a request with an error once the work is done. */
  readonly errorShare: number
  /** Whether a daemon is running at a time; all are by default. */
  readonly isRunning?: (daemon: DaemonPosition, atMs: number) => boolean
  /** Zone in which the callers of a zone are served at a time; their own by default. */
  readonly servingZone?: (callerZone: number, atMs: number) => number
  /** Time at which daemons restart and lose what they know. */
  readonly restartAtMs?: number
  /** Whether a daemon restarts at that time; all do by default. */
  readonly isRestarting?: (daemon: DaemonPosition) => boolean
  /** Whether a target fails most requests at once, by its id and the time; none does by default. */
  readonly isFailing?: (targetId: string, atMs: number) => boolean
  /** Whether a daemon can open connections to targets at a time; all can by default. */
  readonly isCut?: (daemon: DaemonPosition, atMs: number) => boolean
  /** Limit that a target names in its answers, in requests per second, by its id and the time; none does by default. */
  readonly limitOf?: (targetId: string, atMs: number) => number | undefined
}

interface SimulatedDaemon extends DaemonPosition {
  readonly name: string
  /** Times of the last exchange on idle connections, by target. */
  readonly idleConnections: Map<string, number[]>
  readonly path: PathMonitor
  readonly tracker: TargetStatsTracker
  readonly limits: FleetLimits
  readonly selector: LowestCostSelector
}

interface SimulatedEvent {
  readonly atMs: number
  readonly run: () => void
}

const SERVICE = 's'
const MIN_WORK_MS = 240
const MAX_WORK_MS = 720
const TIME_LIMIT_MS = 6_000
/** Intervals of the exchange between daemons; urgent changes travel at once. */
const ZONE_EXCHANGE_MS = 150
const CROSS_ZONE_EXCHANGE_MS = 800
const URGENT_DELAY_MS = 10
const RELAYS_PER_ZONE = 2
const LIMIT_HEADER = 'server-limit'
/** Share of the requests that a failing target fails, and the time that it takes. */
const FAILING_SHARE = 0.75
const FAST_FAILURE_MS = 10
const CONNECT_MS = 3
/** Time after which targets close idle connections, and after which they carry no request that can't be repeated. */
const IDLE_CLOSE_MS = 10_000
const MAX_UNCONFIRMED_MS = 2_000
const MAX_TRIED_TARGETS = 5
/** Window over which the platform's rules count requests to a limited target, and how far these may exceed the limit. */
const LIMIT_WINDOW_MS = 4_000
const LIMIT_TOLERANCE = 1.5
const LIMIT_SLACK = 5

/** Runs the selectors of a whole fleet against simulated targets in virtual time. */
export class SimulatedFleet {
  /** Times of the requests that each target received. */
  readonly arrivals = new Map<string, number[]>()
  /** Times of the requests that got a successful answer. */
  readonly servedAtMs: number[] = []
  /** Failing chances of the targets that daemons chose which can reach them. */
  readonly chosenFailingChances: Array<{ readonly atMs: number, readonly failingChance: number }> = []
  failedCount = 0
  /** Times at which daemons opened connections to targets. */
  readonly connectedAtMs: number[] = []
  requestCount = 0
  private readonly clock = ManualClock.create()
  private readonly random: Random
  private readonly events: SimulatedEvent[] = []
  private readonly registry: TargetRegistry
  private daemons: readonly SimulatedDaemon[] = []
  private aggregators: readonly FleetStatsAggregator[] = []
  private readonly urgentZones = new Set<number>()

  private constructor (private readonly options: SimulationOptions) {
    this.random = SeededRandom.create(options.seed)
    const targets = options.zones.flatMap(({ targets }, zone) => Array.from({ length: targets }, (_, index) => this.createTarget(zone, index)))
    this.registry = TargetRegistry.create({ clock: this.clock, log: silentLog, onForget: () => {} })
    this.registry.apply({ storeVersion: 1, targets, skipped: [] }, 0)
    this.startDaemons()
  }

  /**
   * Runs a simulation to its end.
   *
   * @param options - Load and faults.
   * @returns The fleet with the requests that its targets received.
   */
  static run (options: SimulationOptions): SimulatedFleet {
    const fleet = new SimulatedFleet(options)
    fleet.runEvents()
    return fleet
  }

  /**
   * Returns the smallest share of targets that received a request within any window of the given length.
   *
   * @param fromMs - Start of the first window.
   * @param toMs - End of the last window.
   * @param windowMs - Length of a window.
   */
  lowestUsedShare (fromMs: number, toMs: number, windowMs: number): number {
    let lowest = 1
    for (let startMs = fromMs; startMs + windowMs <= toMs; startMs += 100) {
      const used = [...this.arrivals.values()].filter(times => times.some(atMs => atMs >= startMs && atMs < startMs + windowMs))
      lowest = Math.min(lowest, used.length / this.arrivals.size)
    }
    return lowest
  }

  /**
   * Returns the largest number of requests that any target received together after it had been idle.
   *
   * @param idleMs - Time without a request before the first of them.
   * @param withinMs - Time in which they are counted.
   */
  largestBurst (idleMs: number, withinMs: number): number {
    const bursts = [...this.arrivals.values()].flatMap(times => times
      .filter((atMs, index) => atMs - (times[index - 1] ?? atMs) >= idleMs)
      .map(startMs => times.filter(atMs => atMs >= startMs && atMs < startMs + withinMs).length))
    return Math.max(0, ...bursts)
  }

  /**
   * Returns the largest share of its allowance that a limited target received in any 4 s.
   *
   * @param perSecond - Limit that all limited targets name.
   * @param fromMs - Start of the first window.
   * @param toMs - End of the last window.
   * @param targetIds - Targets that name the limit all the while.
   * @returns Requests over the allowance; above 1 breaks the rule.
   */
  worstWindowShare (perSecond: number, fromMs: number, toMs: number, targetIds: readonly string[]): number {
    const counts = targetIds.flatMap(id => {
      const times = (this.arrivals.get(id) ?? []).filter(atMs => atMs >= fromMs && atMs < toMs)
      return times.map(startMs => times.filter(atMs => atMs >= startMs && atMs < startMs + LIMIT_WINDOW_MS).length)
    })
    return Math.max(0, ...counts) / (LIMIT_TOLERANCE * LIMIT_WINDOW_MS / 1_000 * perSecond + LIMIT_SLACK)
  }

  private createTarget (zone: number, index: number): ListedTarget {
    const id = `${zone}-${index}`
    this.arrivals.set(id, [])
    return { ...fakeTarget(id), service: SERVICE, availabilityZone: String(zone), coldForMs: 0 }
  }

  private startDaemons (): void {
    const { zones } = this.options
    this.aggregators = zones.map(() => FleetStatsAggregator.create(this.clock))
    this.daemons = zones.flatMap(({ daemons }, zone) => Array.from({ length: daemons }, (_, index) => this.createDaemon(zone, index, 0)))
  }

  private restartDaemons (): void {
    const { isRestarting = () => true } = this.options
    this.aggregators = this.aggregators.map((aggregator, zone) => isRestarting({ zone, index: 0 }) ? FleetStatsAggregator.create(this.clock) : aggregator)
    this.daemons = this.daemons.map(daemon => isRestarting(daemon) ? this.createDaemon(daemon.zone, daemon.index, 1) : daemon)
  }

  private createDaemon (zone: number, index: number, restarts: number): SimulatedDaemon {
    const { registry } = this
    const idleConnections = new Map<string, number[]>()
    const path = this.createPath(zone, index)
    const tracker = TargetStatsTracker.create(this.clock, registry.serviceOf, path)
    const name = `${zone}-${index}-${restarts}`
    const limits = FleetLimits.create({ clock: this.clock, random: this.random, log: silentLog, startId: name, availabilityZone: String(zone), headerName: LIMIT_HEADER, serviceOf: registry.serviceOf })
    const rests = TargetRests.create({ clock: this.clock, random: this.random, log: silentLog })
    const selector = LowestCostSelector.create({ registry, rests, leaving: { has: () => false, isLastResort: () => false }, statsTracker: tracker, clock: this.clock, random: this.random, availabilityZone: String(zone), limits, floorShare: () => 0.7, hasIdle: (id, isIdempotent) => this.findIdle(idleConnections, id, isIdempotent) >= 0 })
    tracker.onChange(isUrgent => { if (isUrgent) this.exchangeSoon(zone) })
    limits.onChange(() => { this.exchangeSoon(zone) })
    return { name, zone, index, idleConnections, path, tracker, limits, selector }
  }

  private createPath (zone: number, index: number): PathMonitor {
    const { clock, random, registry } = this
    const after = (durationMs: number, run: () => void): CancelTimer => {
      let isCancelled = false
      this.schedule(durationMs, () => { if (!isCancelled) run() })
      return () => { isCancelled = true }
    }
    return PathMonitor.create({
      clock: { monotonicMs: clock.monotonicMs, wallMs: clock.wallMs, sleepMs: clock.sleepMs, after },
      random,
      log: silentLog,
      targets: () => registry.all().map(({ target }) => target),
      checkConnect: (_target, onDone) => { this.schedule(CONNECT_MS, () => { onDone(this.options.isCut?.({ zone, index }, clock.monotonicMs()) !== true) }) }
    })
  }

  private runEvents (): void {
    this.options.zones.forEach((_, zone) => { this.arrive(zone) })
    if (this.options.restartAtMs !== undefined) this.schedule(this.options.restartAtMs, () => { this.restartDaemons() })
    this.repeat(ZONE_EXCHANGE_MS, () => { this.options.zones.forEach((_, zone) => { this.exchangeInZone(zone) }) })
    this.repeat(CROSS_ZONE_EXCHANGE_MS, () => { this.options.zones.forEach((_, zone) => { this.reportToOtherZones(zone) }) })
    for (let event = this.takeNext(); event !== undefined && event.atMs < this.options.seconds * 1_000; event = this.takeNext()) {
      this.clock.jumpMs(event.atMs - this.clock.monotonicMs())
      event.run()
    }
  }

  private takeNext (): SimulatedEvent | undefined {
    const earliestMs = Math.min(...this.events.map(({ atMs }) => atMs))
    return this.events.splice(this.events.findIndex(({ atMs }) => atMs === earliestMs), 1)[0]
  }

  private schedule (delayMs: number, run: () => void): void {
    this.events.push({ atMs: this.clock.monotonicMs() + delayMs, run })
  }

  private repeat (intervalMs: number, run: () => void): void {
    this.schedule(intervalMs, () => {
      run()
      this.repeat(intervalMs, run)
    })
  }

  private runningDaemons (zone: number): readonly SimulatedDaemon[] {
    const { isRunning = () => true } = this.options
    return this.daemons.filter(daemon => daemon.zone === zone && isRunning(daemon, this.clock.monotonicMs()))
  }

  private arrive (zone: number): void {
    const { zones, servingZone = () => zone } = this.options
    this.schedule(-Math.log(1 - this.random.next()) * 1_000 / (zones[zone]?.requestsPerSecond ?? 0), () => {
      this.arrive(zone)
      const running = this.runningDaemons(servingZone(zone, this.clock.monotonicMs()))
      const daemon = running[this.random.int(Math.max(1, running.length))]
      this.requestCount++
      if (daemon !== undefined) this.send(daemon)
    })
  }

  private send (daemon: SimulatedDaemon, triedTargetIds: ReadonlySet<string> = new Set()): void {
    const { selector, idleConnections, limits } = daemon
    const { isIdempotent, errorShare, isFailing = () => false } = this.options
    const sentAtMs = this.clock.monotonicMs()
    const choice = selector.choose({ service: SERVICE, isIdempotent, hasHigherPriorityTraffic: false, triedTargetIds, deadlineAtMs: sentAtMs + TIME_LIMIT_MS })
    if (choice.type !== 'chosen') return
    if (this.options.isCut?.(daemon, sentAtMs) === true) {
      this.schedule(FAST_FAILURE_MS, () => {
        daemon.path.recordConnect(choice.target.id, false)
        choice.attempt.end('unreachable', FAST_FAILURE_MS)
        if (triedTargetIds.size + 1 < MAX_TRIED_TARGETS) this.send(daemon, new Set([...triedTargetIds, choice.target.id]))
      })
      return
    }
    this.chosenFailingChances.push({ atMs: sentAtMs, failingChance: choice.inputs.failingChance })
    this.takeConnection(idleConnections, choice.target.id, isIdempotent)
    this.arrivals.get(choice.target.id)?.push(sentAtMs)
    const isFastFailure = isFailing(choice.target.id, sentAtMs) && this.random.next() < FAILING_SHARE
    const outcome: AttemptOutcome = isFastFailure || this.random.next() < errorShare ? 'failed' : 'succeeded'
    if (outcome === 'failed') this.failedCount++
    else this.servedAtMs.push(sentAtMs)
    const workMs = isFastFailure ? FAST_FAILURE_MS : MIN_WORK_MS + (MAX_WORK_MS - MIN_WORK_MS) * this.random.next()
    this.schedule(workMs, () => {
      const limit = this.options.limitOf?.(choice.target.id, this.clock.monotonicMs())
      limits.recordAnswer(choice.target.id, limit === undefined ? [] : [LIMIT_HEADER, String(limit)], sentAtMs)
      choice.attempt.end(outcome, this.clock.monotonicMs() - sentAtMs)
      idleConnections.set(choice.target.id, [...idleConnections.get(choice.target.id) ?? [], this.clock.monotonicMs()])
    })
  }

  /** Index of the idle connection to a target that suits a request and was used last, or -1. */
  private findIdle (idleConnections: ReadonlyMap<string, readonly number[]>, targetId: string, isIdempotent: boolean): number {
    const oldestMs = this.clock.monotonicMs() - (isIdempotent ? IDLE_CLOSE_MS : MAX_UNCONFIRMED_MS)
    return (idleConnections.get(targetId) ?? []).findLastIndex(atMs => atMs >= oldestMs)
  }

  private takeConnection (idleConnections: Map<string, number[]>, targetId: string, isIdempotent: boolean): void {
    const index = this.findIdle(idleConnections, targetId, isIdempotent)
    if (index < 0) this.connectedAtMs.push(this.clock.monotonicMs())
    else idleConnections.get(targetId)?.splice(index, 1)
  }

  private exchangeSoon (zone: number): void {
    if (this.urgentZones.has(zone)) return
    this.urgentZones.add(zone)
    this.schedule(URGENT_DELAY_MS, () => {
      this.urgentZones.delete(zone)
      this.exchangeInZone(zone)
      this.reportToOtherZones(zone)
    })
  }

  private exchangeInZone (zone: number): void {
    const aggregator = this.aggregators[zone]
    if (aggregator === undefined) return
    const daemons = this.runningDaemons(zone)
    for (const { name, tracker } of daemons) aggregator.applyDaemonReport(name, tracker.collectCounters(), true, this.clock.monotonicMs())
    aggregator.sweep()
    for (const { tracker } of daemons) tracker.applyFleetStats(aggregator.targetStats())
    this.exchangeLimits(daemons)
  }

  /** Exchanges limits as relays do: the first running daemon of a zone issues its permits, the second one holds the same reports. */
  private exchangeLimits (daemons: readonly SimulatedDaemon[]): void {
    const reporters = daemons.map(({ name }) => name)
    const reports = daemons.map(({ name, limits }) => ({ name, report: limits.report(false) }))
    daemons.slice(0, RELAYS_PER_ZONE).forEach((relay, rank) => {
      for (const { name, report } of reports) relay.limits.applyReport(name, report)
      const view = relay.limits.view({ isIssuer: rank === 0, isRepeat: this.clock.monotonicMs() % 1_000 < ZONE_EXCHANGE_MS, reporters, zones: this.options.zones.map((_, zone) => String(zone)) })
      for (const daemon of daemons) if (daemon !== relay) daemon.limits.applyView(view)
    })
  }

  private reportToOtherZones (zone: number): void {
    const from = this.aggregators[zone]
    if (from === undefined || this.runningDaemons(zone).length === 0) return
    for (const to of this.aggregators) if (to !== from) to.applyZoneReport(String(zone), from.ownZoneCounters(), true)
    const limits = this.runningDaemons(zone)[0]?.limits.zoneLimits(false)
    const otherZones = this.options.zones.map((_, other) => other).filter(other => other !== zone)
    for (const relay of otherZones.flatMap(other => this.runningDaemons(other).slice(0, RELAYS_PER_ZONE))) if (limits !== undefined) relay.limits.applyZoneLimits(String(zone), limits)
  }
}
