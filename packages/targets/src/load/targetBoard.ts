import type { PerTarget, Clock, FleetTargetStats, ActiveAttempt, TargetCounters, AttemptOutcome } from '@lovagehoist/common'
import { ConditionBook } from '../condition/conditionBook.js'
import { joinChances, relax } from '../condition/failureEstimate.js'
import type { OutcomeCounts } from '../condition/failureEstimate.js'
import type { Candidate } from '../placing/placement.js'
import type { RosterEntry } from '../roster/targetRoster.js'
import { NO_SAMPLES, addSamples } from './recentMean.js'
import type { RecentMean } from './recentMean.js'
import { addOutcomes, refusalShareAt } from './refusalShare.js'
import type { RefusalShare } from './refusalShare.js'

interface Running {
  readonly service: string
  readonly startedAtMs: number
  isOverdue: boolean
}

interface Own {
  readonly running: Set<Running>
  succeeded: number
  failed: number
  failedEarly: number
  refused: number
  latencySquares: number
  refusals: RefusalShare
  lastUseMs: number
  changedAtMs: number
  /** Requests in progress as last reported to the fleet. */
  reportedInProgress: number
}

interface FleetView extends FleetTargetStats {
  readonly atMs: number
}

/** Latency of a service that has not answered yet. */
const FIRST_LATENCY_MS = 500
/** Latency against the service's mean from which a target counts as slow; below it, differences are chance. */
const SLOW_RATIO = 1.6
/** A request that takes this many times the mean, and at least the floor, speaks against its target. */
const OVERDUE_RATIO = 4
const OVERDUE_FLOOR_MS = 2_000
/** A target that has just started is slower by about this factor. */
const COLD_FACTOR = 2
/** Part of the mean latency within which a failure came before the work could have ended. */
const EARLY_SHARE = 0.2
const NO_OUTCOMES: OutcomeCounts = { succeeded: 0, failed: 0, failedEarly: 0 }
/** Age from which a view of the fleet says nothing of requests in progress. */
const STALE_VIEW_MS = 1_500

/** What this daemon knows of load and condition of targets: its own requests and the fleet's view. */
export class TargetBoard {
  private readonly own = new Map<string, Own>()
  private readonly fleet = new Map<string, FleetView>()
  private readonly services = new Map<string, RecentMean>()
  private readonly condition: ConditionBook
  private notify: (isUrgent: boolean) => void = () => {}

  private constructor (private readonly clock: Clock, private readonly serviceOf: (targetId: string) => string | undefined) {
    this.condition = ConditionBook.create(clock)
  }

  /**
   * Creates an empty board.
   *
   * @param clock - Source of time.
   * @param serviceOf - Service of a listed target.
   * @returns The board.
   */
  static create (clock: Clock, serviceOf: (targetId: string) => string | undefined): TargetBoard {
    return new TargetBoard(clock, serviceOf)
  }

  /** Sets what is told of changes; failures are urgent. */
  onChange (listener: (isUrgent: boolean) => void): void {
    this.notify = listener
  }

  /**
   * Begins a try.
   *
   * @param targetId - Target that gets the request.
   * @param service - Service that the request is for.
   * @returns The try.
   */
  begin (targetId: string, service: string): ActiveAttempt {
    const own = this.ownOf(targetId)
    const running: Running = { service, startedAtMs: this.clock.monotonicMs(), isOverdue: false }
    own.running.add(running)
    own.lastUseMs = running.startedAtMs
    this.touch(targetId, false)
    return {
      end: (ending, latencyMs) => { if (own.running.delete(running)) this.finish(targetId, running, ending, latencyMs) }
    }
  }

  /**
   * Takes what the fleet knows.
   *
   * @param readings - Readings that changed.
   */
  takeFleet (readings: PerTarget<FleetTargetStats>): void {
    const atMs = this.clock.monotonicMs()
    for (const [targetId, reading] of readings) {
      this.fleet.set(targetId, { ...reading, atMs })
      const service = this.serviceOf(targetId)
      if (service !== undefined && reading.latencyMs > 0) this.services.set(service, addSamples(this.services.get(service) ?? NO_SAMPLES, reading.latencyMs, 1))
    }
  }

  /** Counts requests that wait for too long as failures of their target. */
  markOverdue (): void {
    const nowMs = this.clock.monotonicMs()
    for (const [targetId, own] of this.own) {
      for (const running of own.running) {
        const limitMs = Math.max(OVERDUE_FLOOR_MS, OVERDUE_RATIO * this.latencyOf(running.service))
        if (running.isOverdue || nowMs - running.startedAtMs < limitMs) continue
        running.isOverdue = true
        own.failed++
        this.condition.observe(targetId, { succeeded: 0, failed: 1, failedEarly: 0 })
        this.touch(targetId, true)
      }
    }
  }

  /**
   * Describes a target for placing.
   *
   * @param entry - Target.
   * @param zone - Availability zone of this daemon.
   * @param isConnected - Whether a connection is idle.
   * @returns The candidate.
   */
  candidate ({ target, warmAtMs }: RosterEntry, zone: string, isConnected: boolean): Candidate {
    const nowMs = this.clock.monotonicMs()
    const own = this.own.get(target.id)
    const view = this.fleet.get(target.id)
    return {
      targetId: target.id,
      slots: target.slots,
      ...this.conditionOf(target.id),
      refusalShare: Math.max(own === undefined ? 0 : refusalShareAt(own.refusals, nowMs), view === undefined ? 0 : refusalShareAt({ share: view.refusalShare, atMs: view.atMs }, nowMs)),
      serviceTimeMs: this.latencyOf(target.service) * this.slowFactor(target.service, view, nowMs < warmAtMs),
      isOwnZone: target.availabilityZone === zone,
      isConnected,
      idleMs: nowMs - Math.max(own?.lastUseMs ?? -Infinity, view === undefined ? -Infinity : view.atMs),
      isNew: own === undefined && view === undefined
    }
  }

  /**
   * Tells load and condition of a target.
   *
   * @param targetId - Target.
   * @returns Requests in progress from the fleet, and the chance that the target is failing.
   */
  conditionOf (targetId: string): Pick<Candidate, 'inProgress' | 'failingChance'> {
    const nowMs = this.clock.monotonicMs()
    const own = this.own.get(targetId)
    const view = this.fleet.get(targetId)
    return {
      inProgress: (own?.running.size ?? 0) + this.othersInProgress(own, view, nowMs),
      failingChance: joinChances(this.condition.chance(targetId), view === undefined ? undefined : relax(view.failingChance, nowMs - view.atMs))
    }
  }

  /**
   * Tallies to report.
   *
   * @param changedWithinMs - Leaves out those that did not change within this time.
   * @returns The tallies.
   */
  takeTallies (changedWithinMs = Infinity): PerTarget<TargetCounters> {
    const limitMs = this.clock.monotonicMs() - changedWithinMs
    return [...this.own].filter(([, { changedAtMs }]) => changedAtMs >= limitMs).map(([targetId, own]) => {
      own.reportedInProgress = own.running.size
      const { succeeded, failed, failedEarly, refused, latencySquares } = own
      return [targetId, { inProgress: own.running.size, succeeded, failed, failedEarly, refused, latencySquares: Math.round(latencySquares) }] as const
    })
  }

  /** Number of targets that have a tally. */
  countTallies (): number {
    return this.own.size
  }

  /** Recent latency of a service's answered requests, by the readings of its targets. */
  latencyOf (service: string): number {
    const recent = this.services.get(service)
    return recent === undefined || recent.samples === 0 ? FIRST_LATENCY_MS : recent.mean
  }

  /** Forgets a target that is gone or has started anew. */
  forget (targetId: string): void {
    this.condition.forget(targetId)
    this.fleet.delete(targetId)
    const own = this.own.get(targetId)
    if (own?.running.size === 0) this.own.delete(targetId)
  }

  private finish (targetId: string, running: Running, ending: AttemptOutcome, latencyMs: number): void {
    const own = this.ownOf(targetId)
    const nowMs = this.clock.monotonicMs()
    own.lastUseMs = nowMs
    this.touch(targetId, ending === 'failed' || ending === 'unreachable')
    if (ending === 'unknown') return
    own.refusals = addOutcomes(own.refusals, { refused: ending === 'refused' ? 1 : 0, accepted: ending === 'refused' ? 0 : 1 }, nowMs)
    if (ending === 'refused') {
      own.refused++
      return
    }
    if (!running.isOverdue) this.learn(targetId, own, this.kindOf(running.service, ending, latencyMs), latencyMs)
  }

  private learn (targetId: string, own: Own, kind: keyof OutcomeCounts, latencyMs: number): void {
    own[kind]++
    if (kind === 'succeeded') own.latencySquares += latencyMs * latencyMs
    this.condition.observe(targetId, { ...NO_OUTCOMES, [kind]: 1 })
  }

  private kindOf (service: string, ending: AttemptOutcome, latencyMs: number): keyof OutcomeCounts {
    if (ending === 'succeeded') return 'succeeded'
    const isEarly = ending === 'failed' && latencyMs < EARLY_SHARE * this.latencyOf(service)
    return isEarly ? 'failedEarly' : 'failed'
  }

  private othersInProgress (own: Own | undefined, view: FleetView | undefined, nowMs: number): number {
    if (view === undefined || nowMs - view.atMs > STALE_VIEW_MS) return 0
    return Math.max(0, view.inProgress - (own?.reportedInProgress ?? 0))
  }

  private slowFactor (service: string, view: FleetView | undefined, isCold: boolean): number {
    const ratio = view === undefined || view.latencyMs === 0 ? 1 : view.latencyMs / this.latencyOf(service)
    return Math.max(isCold ? COLD_FACTOR : 1, ratio / SLOW_RATIO)
  }

  private touch (targetId: string, isUrgent: boolean): void {
    this.ownOf(targetId).changedAtMs = this.clock.monotonicMs()
    this.notify(isUrgent)
  }

  private ownOf (targetId: string): Own {
    const known = this.own.get(targetId)
    if (known !== undefined) return known
    const own: Own = { running: new Set(), succeeded: 0, failed: 0, failedEarly: 0, refused: 0, latencySquares: 0, refusals: { share: 0, atMs: 0 }, lastUseMs: -Infinity, changedAtMs: -Infinity, reportedInProgress: 0 }
    this.own.set(targetId, own)
    return own
  }
}
