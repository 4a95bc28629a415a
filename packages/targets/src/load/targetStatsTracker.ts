import type { PerTarget, Clock, FleetTargetStats, ActiveAttempt, TargetCounters, AttemptOutcome } from '@lovagehoist/common'
import { FailureEstimator } from '../condition/failureEstimator.js'
import { combineChances, decayToPrior } from '../condition/failureEstimate.js'
import type { RequestOutcomeCounts } from '../condition/failureEstimate.js'
import type { Candidate } from '../placing/candidate.js'
import type { RegisteredTarget } from '../registry/targetRegistry.js'
import type { PathMonitor } from '../reachability/pathMonitor.js'
import { NO_SAMPLES, addSamples } from './recentMean.js'
import type { RecentMean } from './recentMean.js'
import { REACTIVATION_IDLE_MS } from './fleetStatsAggregator.js'
import { addOutcomes, refusalShareAt } from './refusalShare.js'
import type { RefusalShare } from './refusalShare.js'

interface RunningAttempt {
  readonly service: string
  readonly startedAtMs: number
  isOverdue: boolean
}

interface OwnStats {
  readonly running: Set<RunningAttempt>
  succeeded: number
  failed: number
  failedLate: number
  failedEarly: number
  refused: number
  latencySquares: number
  refusals: RefusalShare
  lastSentAtMs: number
  changedAtMs: number
  /** Requests in progress at the last report to the fleet. */
  reportedInProgress: number
}

interface TimedFleetStats extends FleetTargetStats {
  readonly atMs: number
}

/** Assumed latency of a service before its first response. */
const DEFAULT_LATENCY_MS = 500
/** Ratio of a target's latency to the service's mean from which the target counts as slow; smaller differences are noise. */
const SLOW_RATIO = 1.6
/** A request counts as failed once it takes this many times the mean latency and at least the minimum. */
const OVERDUE_RATIO = 4
const MIN_OVERDUE_MS = 2_000
/** Approximate factor by which a recently started target is slower. */
const COLD_START_FACTOR = 2
/** A failure within this share of the mean latency came before the work could have finished. */
const EARLY_FAILURE_SHARE = 0.2
const NO_OUTCOMES: RequestOutcomeCounts = { succeeded: 0, failed: 0, failedLate: 0, failedEarly: 0 }
/** Time without any statistics of the fleet after which they no longer count for requests in progress, and the same for one target: while others are updated, it waits for its turn. */
const MAX_FLEET_SILENCE_MS = 1_500
const MAX_FLEET_STATS_AGE_MS = 6_000
/** Time for which a target of another zone is assumed to go on without requests; relays repeat the stats of idle targets within it. */
const MAX_ASSUMED_IDLE_MS = 1_000

/** Tells whether failures to reach targets are evidence against them. */
export type PathEvidence = Pick<PathMonitor, 'recordDisconnect' | 'recordWaiting' | 'afterConfirmation'>

const TRUSTED_PATH: PathEvidence = { recordDisconnect: () => {}, recordWaiting: () => {}, afterConfirmation: action => { action() } }

/** Load and failure estimates of targets, from this daemon's own requests and the statistics of the fleet. */
export class TargetStatsTracker {
  private readonly ownStats = new Map<string, OwnStats>()
  private readonly fleetStats = new Map<string, TimedFleetStats>()
  private readonly serviceLatencies = new Map<string, RecentMean>()
  private readonly estimator: FailureEstimator
  private fleetHeardAtMs = -Infinity
  private notify: (isUrgent: boolean) => void = () => {}

  private constructor (private readonly clock: Clock, private readonly serviceOf: (targetId: string) => string | undefined, private readonly path: PathEvidence) {
    this.estimator = FailureEstimator.create(clock)
  }

  /**
   * Creates a tracker without any requests.
   *
   * @param clock - Source of time.
   * @param serviceOf - Looks up the service of a listed target.
   * @param path - Confirms failures to reach targets before they count; all count by default.
   * @returns The tracker.
   */
  static create (clock: Clock, serviceOf: (targetId: string) => string | undefined, path: PathEvidence = TRUSTED_PATH): TargetStatsTracker {
    return new TargetStatsTracker(clock, serviceOf, path)
  }

  /** Sets the listener for changed counters; failures are urgent. */
  onChange (listener: (isUrgent: boolean) => void): void {
    this.notify = listener
  }

  /**
   * Starts counting an attempt.
   *
   * @param targetId - Target that receives the request.
   * @param service - Service that the request is for.
   * @returns The active attempt, to be ended by the caller.
   */
  startAttempt (targetId: string, service: string): ActiveAttempt {
    const own = this.ownStatsOf(targetId)
    const running: RunningAttempt = { service, startedAtMs: this.clock.monotonicMs(), isOverdue: false }
    const isReactivated = running.startedAtMs - this.lastSentAtMs(targetId) > REACTIVATION_IDLE_MS
    own.running.add(running)
    own.lastSentAtMs = running.startedAtMs
    this.markChanged(targetId, isReactivated)
    return {
      end: (outcome, latencyMs) => { if (own.running.delete(running)) this.endAttempt(targetId, running, outcome, latencyMs) }
    }
  }

  /**
   * Applies statistics of the whole fleet.
   *
   * @param changes - Statistics that changed.
   */
  applyFleetStats (changes: PerTarget<FleetTargetStats>): void {
    const atMs = this.clock.monotonicMs()
    this.fleetHeardAtMs = atMs
    for (const [targetId, stats] of changes) {
      this.fleetStats.set(targetId, { ...stats, atMs })
      const service = this.serviceOf(targetId)
      if (service !== undefined && stats.latencyMs > 0) this.serviceLatencies.set(service, addSamples(this.serviceLatencies.get(service) ?? NO_SAMPLES, stats.latencyMs, 1))
    }
  }

  /** Counts each overdue request as a failure of its target, once. */
  markOverdue (): void {
    const nowMs = this.clock.monotonicMs()
    const waits = [...this.ownStats.values()].flatMap(({ running }) => [...running].map(({ service, startedAtMs }) => nowMs - startedAtMs - this.serviceLatencyMs(service)))
    this.path.recordWaiting(Math.max(0, ...waits))
    for (const [targetId, own] of this.ownStats) {
      for (const running of own.running) {
        const limitMs = Math.max(MIN_OVERDUE_MS, OVERDUE_RATIO * this.serviceLatencyMs(running.service))
        if (running.isOverdue || nowMs - running.startedAtMs < limitMs) continue
        running.isOverdue = true
        this.path.afterConfirmation(() => { this.recordFailure(targetId, 'failed') })
      }
    }
  }

  /**
   * Describes a target as a candidate for a request.
   *
   * @param entry - Registered target.
   * @param zone - Availability zone of this daemon.
   * @param isConnected - Whether an idle connection to the target exists.
   * @returns The candidate.
   */
  describeCandidate (entry: RegisteredTarget, zone: string, isConnected: boolean): Candidate {
    const { target, warmAtMs } = entry
    const nowMs = this.clock.monotonicMs()
    const own = this.ownStats.get(target.id)
    const fleet = this.fleetStats.get(target.id)
    return {
      targetId: target.id,
      slots: target.slots,
      ...this.estimate(target.id),
      refusalShare: Math.max(own === undefined ? 0 : refusalShareAt(own.refusals, nowMs), fleet === undefined ? 0 : refusalShareAt({ share: fleet.refusalShare, atMs: fleet.atMs }, nowMs)),
      serviceTimeMs: this.serviceLatencyMs(target.service) * this.serviceTimeFactor(target.service, fleet, nowMs < warmAtMs),
      isOwnZone: target.availabilityZone === zone,
      isConnected,
      idleMs: target.availabilityZone === zone ? this.idleMs(entry) : Math.min(this.idleMs(entry), (fleet?.idleMs ?? Infinity) + MAX_ASSUMED_IDLE_MS),
      isNew: own === undefined && fleet === undefined
    }
  }

  /**
   * Estimates the current load and failure probability of a target.
   *
   * @param targetId - Target.
   * @returns Requests in progress from the whole fleet, and the probability that the target is failing.
   */
  estimate (targetId: string): Pick<Candidate, 'inProgress' | 'failingChance'> {
    const nowMs = this.clock.monotonicMs()
    const own = this.ownStats.get(targetId)
    const fleet = this.fleetStats.get(targetId)
    return {
      inProgress: (own?.running.size ?? 0) + this.inProgressElsewhere(own, fleet, nowMs),
      failingChance: combineChances(this.estimator.failingChance(targetId), fleet === undefined ? undefined : decayToPrior(fleet.failingChance, nowMs - fleet.atMs))
    }
  }

  /**
   * Returns how long a target has been without a request.
   *
   * @param entry - Registered target.
   * @returns Time since any daemon last sent it a request, as far as known here, or since it was first seen.
   */
  idleMs ({ target, firstSeenAtMs }: RegisteredTarget): number {
    return this.clock.monotonicMs() - Math.max(firstSeenAtMs, this.lastSentAtMs(target.id))
  }

  /**
   * Returns the counters to report and records their requests in progress as reported.
   *
   * @param changedWithinMs - Leaves out counters that did not change within this time.
   * @returns The counters.
   */
  collectCounters (changedWithinMs = Infinity): PerTarget<TargetCounters> {
    const limitMs = this.clock.monotonicMs() - changedWithinMs
    return [...this.ownStats].filter(([, { changedAtMs }]) => changedAtMs >= limitMs).map(([targetId, own]) => {
      own.reportedInProgress = own.running.size
      const { succeeded, failed, failedLate, failedEarly, refused, latencySquares } = own
      return [targetId, { inProgress: own.running.size, succeeded, failed, failedLate, failedEarly, refused, latencySquares: Math.round(latencySquares) }] as const
    })
  }

  /** Requests of this daemon in progress at a target. */
  ownInProgress (targetId: string): number {
    return this.ownStats.get(targetId)?.running.size ?? 0
  }

  /** Number of targets with counters. */
  countTargets (): number {
    return this.ownStats.size
  }

  /** Mean latency of a service's answered requests, according to the fleet statistics of its targets. */
  serviceLatencyMs (service: string): number {
    const recent = this.serviceLatencies.get(service)
    return recent === undefined || recent.samples === 0 ? DEFAULT_LATENCY_MS : recent.mean
  }

  /** Drops the data of a target that was removed or restarted. */
  forget (targetId: string): void {
    this.estimator.forget(targetId)
    this.fleetStats.delete(targetId)
    const own = this.ownStats.get(targetId)
    if (own?.running.size === 0) this.ownStats.delete(targetId)
  }

  private endAttempt (targetId: string, running: RunningAttempt, outcome: AttemptOutcome, latencyMs: number): void {
    const own = this.ownStatsOf(targetId)
    const nowMs = this.clock.monotonicMs()
    this.markChanged(targetId, outcome === 'failed')
    if (outcome === 'unknown') return
    own.refusals = addOutcomes(own.refusals, { refused: outcome === 'refused' ? 1 : 0, accepted: outcome === 'refused' ? 0 : 1 }, nowMs)
    if (outcome === 'refused') {
      own.refused++
      return
    }
    if (running.isOverdue) return
    const kind = this.classifyOutcome(running.service, outcome, latencyMs)
    if (outcome === 'disconnected') this.path.recordDisconnect()
    if (outcome === 'disconnected' || outcome === 'unreachable') this.path.afterConfirmation(() => { this.recordFailure(targetId, kind) })
    else this.recordOutcome(targetId, own, kind, latencyMs)
  }

  private recordFailure (targetId: string, kind: keyof RequestOutcomeCounts): void {
    this.recordOutcome(targetId, this.ownStatsOf(targetId), kind, 0)
    this.markChanged(targetId, true)
  }

  private recordOutcome (targetId: string, own: OwnStats, kind: keyof RequestOutcomeCounts, latencyMs: number): void {
    own[kind]++
    if (kind === 'succeeded') own.latencySquares += latencyMs * latencyMs
    this.estimator.recordOutcomes(targetId, { ...NO_OUTCOMES, [kind]: 1 })
  }

  private classifyOutcome (service: string, outcome: AttemptOutcome, latencyMs: number): keyof RequestOutcomeCounts {
    if (outcome === 'succeeded') return 'succeeded'
    if (outcome === 'unreachable') return 'failed'
    return latencyMs < EARLY_FAILURE_SHARE * this.serviceLatencyMs(service) ? 'failedEarly' : 'failedLate'
  }

  /** Time at which any daemon last sent the target a request, as far as known here. */
  private lastSentAtMs (targetId: string): number {
    const fleet = this.fleetStats.get(targetId)
    return Math.max(this.ownStats.get(targetId)?.lastSentAtMs ?? -Infinity, fleet === undefined ? -Infinity : fleet.atMs - fleet.idleMs)
  }

  private inProgressElsewhere (own: OwnStats | undefined, fleet: TimedFleetStats | undefined, nowMs: number): number {
    if (fleet === undefined || nowMs - this.fleetHeardAtMs > MAX_FLEET_SILENCE_MS || nowMs - fleet.atMs > MAX_FLEET_STATS_AGE_MS) return 0
    return Math.max(0, fleet.inProgress - (own?.reportedInProgress ?? 0))
  }

  private serviceTimeFactor (service: string, fleet: TimedFleetStats | undefined, isCold: boolean): number {
    const ratio = fleet === undefined || fleet.latencyMs === 0 ? 1 : fleet.latencyMs / this.serviceLatencyMs(service)
    return Math.max(isCold ? COLD_START_FACTOR : 1, ratio / SLOW_RATIO)
  }

  private markChanged (targetId: string, isUrgent: boolean): void {
    this.ownStatsOf(targetId).changedAtMs = this.clock.monotonicMs()
    this.notify(isUrgent)
  }

  private ownStatsOf (targetId: string): OwnStats {
    const known = this.ownStats.get(targetId)
    if (known !== undefined) return known
    const own: OwnStats = { running: new Set(), ...NO_OUTCOMES, refused: 0, latencySquares: 0, refusals: { share: 0, atMs: 0 }, lastSentAtMs: -Infinity, changedAtMs: -Infinity, reportedInProgress: 0 }
    this.ownStats.set(targetId, own)
    return own
  }
}
