import type { PerTarget, Clock, FleetTargetStats, TargetCounters } from '@lovagehoist/common'
import { FailureEstimator } from '../condition/failureEstimator.js'
import { combineChances } from '../condition/failureEstimate.js'
import { NO_SAMPLES, addSamples } from './recentMean.js'
import type { RecentMean } from './recentMean.js'
import { addOutcomes, refusalShareAt } from './refusalShare.js'
import type { RefusalShare } from './refusalShare.js'

/** Latest counters reported by one daemon or one zone. */
interface ReportSource {
  readonly counters: Map<string, TargetCounters>
  /** Whether a full report has been received. */
  hasFullReport: boolean
  lastReportAtMs: number
}

/** Time without a report after which a source's requests in progress no longer count. */
const SOURCE_TIMEOUT_MS = 2_500
/** Uptime up to which everything a process has counted is recent. */
const RECENT_START_MS = 10_000
/** Idle time after which a request to a target is reported at once, because all daemons are about to probe it. */
export const REACTIVATION_IDLE_MS = 800
/** Time since the last request of this zone after which a target counts as one that the zone does not use. */
const UNUSED_HERE_MS = 5_000
const ZERO_COUNTERS: TargetCounters = { inProgress: 0, succeeded: 0, failed: 0, failedLate: 0, failedEarly: 0, refused: 0, latencySquares: 0 }
const NO_REFUSALS: RefusalShare = { share: 0, atMs: 0 }

const countersSince = (now: TargetCounters, before: TargetCounters): TargetCounters => ({
  inProgress: now.inProgress - before.inProgress,
  succeeded: Math.max(0, now.succeeded - before.succeeded),
  failed: Math.max(0, now.failed - before.failed),
  failedLate: Math.max(0, now.failedLate - before.failedLate),
  failedEarly: Math.max(0, now.failedEarly - before.failedEarly),
  refused: Math.max(0, now.refused - before.refused),
  latencySquares: Math.max(0, now.latencySquares - before.latencySquares)
})

const sum = (a: TargetCounters, b: TargetCounters): TargetCounters => ({
  inProgress: a.inProgress + b.inProgress,
  succeeded: a.succeeded + b.succeeded,
  failed: a.failed + b.failed,
  failedLate: a.failedLate + b.failedLate,
  failedEarly: a.failedEarly + b.failedEarly,
  refused: a.refused + b.refused,
  latencySquares: a.latencySquares + b.latencySquares
})

const hasFailures = (deltas: PerTarget<TargetCounters>): boolean => deltas.some(([, { failed, failedEarly }]) => failed + failedEarly > 0)

/** Requests sent since the previous report: those that ended and the increase of those in progress. */
const sentSince = ({ inProgress, succeeded, failed, failedLate, failedEarly, refused }: TargetCounters): number =>
  inProgress + succeeded + failed + failedLate + failedEarly + refused

/** Aggregates the counters that daemons of the own zone and relays of other zones report for each target. */
export class FleetStatsAggregator {
  /** Daemons of the own zone by start ID. */
  private readonly daemons = new Map<string, ReportSource>()
  /** Other zones by zone and reporting daemon. */
  private readonly zones = new Map<string, ReportSource>()
  private readonly ownZoneEstimator: FailureEstimator
  private readonly otherZonesEstimator: FailureEstimator
  /** Means of squared latencies, so that fast requests don't hide the slow ones, which occupy the slots. */
  private readonly latencies = new Map<string, RecentMean>()
  private readonly refusals = new Map<string, RefusalShare>()
  private readonly lastSentAtMs = new Map<string, number>()
  /** As above, for the requests of the own zone. */
  private readonly usedHereAtMs = new Map<string, number>()
  /** Totals of the own zone's outcomes since this aggregator was created. */
  private readonly totals = new Map<string, TargetCounters>()

  private constructor (private readonly clock: Clock) {
    this.ownZoneEstimator = FailureEstimator.create(clock)
    this.otherZonesEstimator = FailureEstimator.create(clock)
  }

  /**
   * Creates an aggregator without reports.
   *
   * @param clock - Source of time.
   * @returns The aggregator.
   */
  static create (clock: Clock): FleetStatsAggregator {
    return new FleetStatsAggregator(clock)
  }

  /**
   * Applies a report from a daemon of the own zone.
   *
   * @param startId - Start ID of the reporting process.
   * @param counters - Counters that changed, or all counters.
   * @param isFull - Whether the report contains all counters.
   * @param uptimeMs - Uptime of the process; everything a recently started process has counted is recent.
   * @returns Whether the report is urgent: it contains new failures, or requests to a target that got none for a while.
   */
  applyDaemonReport (startId: string, counters: PerTarget<TargetCounters>, isFull: boolean, uptimeMs = Infinity): boolean {
    const deltas = this.applyReport(this.daemons, startId, counters, isFull, uptimeMs)
    const hasReactivated = this.recordSent(deltas)
    for (const [targetId, delta] of deltas) {
      if (sentSince(delta) > 0) this.usedHereAtMs.set(targetId, this.clock.monotonicMs())
      this.totals.set(targetId, sum(this.totals.get(targetId) ?? ZERO_COUNTERS, delta))
      this.recordOutcomes(this.ownZoneEstimator, targetId, delta)
    }
    return hasReactivated || hasFailures(deltas)
  }

  /**
   * Applies the totals reported by another zone.
   *
   * @param zone - Zone and reporting process.
   * @param counters - Totals that changed, or all totals.
   * @param isFull - Whether the report contains all totals.
   * @returns Whether the report contains new failures.
   */
  applyZoneReport (zone: string, counters: PerTarget<TargetCounters>, isFull: boolean): boolean {
    const deltas = this.applyReport(this.zones, zone, counters, isFull)
    this.recordSent(deltas)
    for (const [targetId, delta] of deltas) this.recordOutcomes(this.otherZonesEstimator, targetId, delta)
    return hasFailures(deltas)
  }

  /** Returns the totals of the own zone with its current requests in progress. */
  ownZoneCounters (): PerTarget<TargetCounters> {
    const inProgress = this.inProgressOf(this.daemons)
    const ids = new Set([...this.totals.keys(), ...inProgress.keys()])
    return [...ids].map(targetId => [targetId, { ...(this.totals.get(targetId) ?? ZERO_COUNTERS), inProgress: inProgress.get(targetId) ?? 0 }] as const)
  }

  /** Returns load, failure probability, refusal share and latency of each reported target. */
  targetStats (): PerTarget<FleetTargetStats> {
    const nowMs = this.clock.monotonicMs()
    const own = this.inProgressOf(this.daemons)
    const others = this.inProgressOf(this.zones)
    const ids = new Set([...this.latencies.keys(), ...this.refusals.keys(), ...this.lastSentAtMs.keys(), ...own.keys(), ...others.keys()])
    return [...ids].map(targetId => [targetId, {
      inProgress: (own.get(targetId) ?? 0) + (others.get(targetId) ?? 0),
      failingChance: combineChances(this.ownZoneEstimator.failingChance(targetId), this.otherZonesEstimator.failingChance(targetId)),
      refusalShare: refusalShareAt(this.refusals.get(targetId) ?? NO_REFUSALS, nowMs),
      latencyMs: Math.sqrt(this.latencies.get(targetId)?.mean ?? 0),
      idleMs: nowMs - (this.lastSentAtMs.get(targetId) ?? nowMs),
      isUsedHere: nowMs - (this.usedHereAtMs.get(targetId) ?? -Infinity) < UNUSED_HERE_MS
    }] as const)
  }

  /** Drops all data of a target that was removed or restarted. */
  forget (targetId: string): void {
    this.ownZoneEstimator.forget(targetId)
    this.otherZonesEstimator.forget(targetId)
    this.latencies.delete(targetId)
    this.refusals.delete(targetId)
    this.lastSentAtMs.delete(targetId)
    this.usedHereAtMs.delete(targetId)
    this.totals.delete(targetId)
    for (const source of [...this.daemons.values(), ...this.zones.values()]) source.counters.delete(targetId)
  }

  /** Drops sources that have stopped reporting. */
  sweep (): void {
    const limitMs = this.clock.monotonicMs() - SOURCE_TIMEOUT_MS
    for (const sources of [this.daemons, this.zones]) {
      for (const [name, { lastReportAtMs }] of sources) if (lastReportAtMs < limitMs) sources.delete(name)
    }
    this.ownZoneEstimator.sweep()
    this.otherZonesEstimator.sweep()
  }

  private applyReport (sources: Map<string, ReportSource>, name: string, counters: PerTarget<TargetCounters>, isFull: boolean, uptimeMs = Infinity): PerTarget<TargetCounters> {
    const nowMs = this.clock.monotonicMs()
    const source = sources.get(name) ?? { counters: new Map<string, TargetCounters>(), hasFullReport: false, lastReportAtMs: nowMs }
    sources.set(name, source)
    source.lastReportAtMs = nowMs
    // The first counters of a source are only a baseline, because they may include old outcomes. After a full report, or from a recently started
    // process, a new target counts from zero.
    const countsFromZero = source.hasFullReport || uptimeMs < RECENT_START_MS
    const deltas = counters.flatMap(([targetId, current]) => {
      const before = source.counters.get(targetId) ?? (countsFromZero ? ZERO_COUNTERS : undefined)
      return before === undefined ? [] : [[targetId, countersSince(current, before)] as const]
    })
    for (const [targetId, current] of counters) source.counters.set(targetId, current)
    source.hasFullReport ||= isFull
    return deltas
  }

  /** Records which targets got requests; returns whether one of them had got none for a while. */
  private recordSent (deltas: PerTarget<TargetCounters>): boolean {
    const nowMs = this.clock.monotonicMs()
    const used = deltas.filter(([, delta]) => sentSince(delta) > 0)
    const hasReactivated = used.some(([targetId]) => nowMs - (this.lastSentAtMs.get(targetId) ?? -Infinity) > REACTIVATION_IDLE_MS)
    for (const [targetId] of used) this.lastSentAtMs.set(targetId, nowMs)
    return hasReactivated
  }

  private recordOutcomes (estimator: FailureEstimator, targetId: string, { succeeded, failed, failedLate, failedEarly, refused, latencySquares }: TargetCounters): void {
    const ended = succeeded + failed + failedLate + failedEarly
    if (ended > 0) estimator.recordOutcomes(targetId, { succeeded, failed, failedLate, failedEarly })
    if (succeeded > 0) this.latencies.set(targetId, addSamples(this.latencies.get(targetId) ?? NO_SAMPLES, latencySquares / succeeded, succeeded))
    if (refused + ended === 0) return
    const before = this.refusals.get(targetId) ?? NO_REFUSALS
    this.refusals.set(targetId, addOutcomes(before, { refused, accepted: ended }, this.clock.monotonicMs()))
  }

  private inProgressOf (sources: ReadonlyMap<string, ReportSource>): ReadonlyMap<string, number> {
    const limitMs = this.clock.monotonicMs() - SOURCE_TIMEOUT_MS
    const sums = new Map<string, number>()
    for (const { counters, lastReportAtMs } of sources.values()) {
      if (lastReportAtMs < limitMs) continue
      for (const [targetId, { inProgress }] of counters) if (inProgress > 0) sums.set(targetId, (sums.get(targetId) ?? 0) + inProgress)
    }
    return sums
  }
}
