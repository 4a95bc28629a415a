import type {
  AttemptReport, AttemptSink, Clock, ConfigSource, HealthView, Invariants, JsonValue, Log, PeerBus, Random, ServiceConfig, StateSource, TableService, Target,
  TargetDirectory, TargetRating, TargetSender
} from '@lovagehoist/common'
import type { Registry } from 'prom-client'
import { computeCapacity, isCold } from './ejections/capacity.js'
import type { Capacity } from './ejections/capacity.js'
import { Ejections } from './ejections/ejections.js'
import { EvidenceExchange } from './evidence/evidenceExchange.js'
import { OutlierDetector } from './evidence/outlierDetector.js'
import { LocalEvidence } from './evidence/localEvidence.js'
import { PoisonRequests } from './faults/poisonRequests.js'
import { SilentConnections } from './faults/silentConnections.js'
import { createHealthMetrics } from './healthMetrics.js'
import type { HealthMetrics } from './healthMetrics.js'
import { rateTargets } from './ratings.js'
import type { ServiceRatings } from './ratings.js'

/** Dependencies of the shared health. */
export interface SharedHealthOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly registry: Registry
  readonly invariants: Invariants
  readonly table: TableService
  readonly bus: PeerBus
  readonly config: ConfigSource
  readonly directory: TargetDirectory
  readonly sender: TargetSender
}

const EVIDENCE_INTERVAL_MS = 250
const MAINTENANCE_INTERVAL_MS = 100
/** Time after which cached ratings are computed again, even if no lease behind them has ended. */
const RATINGS_MAX_AGE_MS = 100
/** Reports per second about one service that all daemons together may send to a detector on average. */
const REPORTS_PER_SECOND = 8
/** Reports that all daemons together may send at once after a quiet period; each daemon gets an equal part, within the limits below. */
const FLEET_REPORT_BURST = 240
const MIN_REPORT_BURST = 2
const MAX_REPORT_BURST = 8
const MS_PER_SECOND = 1_000
/** Largest number of items per list in the dump. */
const MAX_DUMPED = 200
/** Time for which a target has a reduced weight after its ejection was refused because of the capacity floor. */
const RETAINED_WEIGHT_DURATION_MS = 10_000
/** Time for which a trial waits for requests that can be retried, before it gets others, too. */
const TRIAL_PATIENCE_MS = 10_000
const NO_CAPACITY: Capacity = { floorSlots: 0, slotsById: new Map(), totalSlots: 0 }

/** Health of targets as agreed by the fleet, combined with this daemon's own evidence. */
export class SharedHealth implements HealthView, AttemptSink, StateSource {
  readonly name = 'health'
  private readonly ejections: Ejections
  private readonly localEvidence: LocalEvidence
  private readonly evidenceExchange: EvidenceExchange
  private readonly outlierDetector: OutlierDetector
  private readonly poisonRequests: PoisonRequests
  private readonly silentConnections: SilentConnections
  private readonly metrics: HealthMetrics
  private readonly cachedRatings = new Map<string, ServiceRatings>()
  /** Monotonic end of the reduced weight of targets whose ejection was refused, by target id. */
  private readonly retainedUntilMs = new Map<string, number>()
  /** Theoretical arrival time of the rate limit on reports (generic cell rate algorithm), by service. */
  private readonly theoreticalArrivalMs = new Map<string, number>()

  private constructor (private readonly options: SharedHealthOptions) {
    const { clock, bus, directory, sender, log } = options
    this.metrics = createHealthMetrics(options.registry)
    this.ejections = Ejections.create({ ...options, services: () => this.services(), capacity: service => this.capacity(service) })
    this.localEvidence = LocalEvidence.create(clock, (service, targetId) => this.fenceOf(service, targetId))
    this.evidenceExchange = EvidenceExchange.create(clock, bus)
    this.poisonRequests = PoisonRequests.create({ clock, bus, onQuarantined: targetIds => { this.discardCrashCounts(targetIds) } })
    this.silentConnections = SilentConnections.create({
      clock,
      closeIdleConnections: (targetId, olderThanMs) => { sender.closeIdleConnections(targetId, olderThanMs) },
      targetsOnSamePath: target => directory.targets(target.service).filter(other => other.availabilityZone === target.availabilityZone && other.id !== target.id),
      countReport: report => { this.localEvidence.add(report) },
      onSilentConnections: target => { this.metrics.silentConnections.inc({ service: target.service }) }
    })
    this.outlierDetector = OutlierDetector.create({
      clock,
      bus,
      localEvidence: this.localEvidence,
      evidenceExchange: this.evidenceExchange,
      ejections: this.ejections,
      targets: directory.targets,
      config: service => this.serviceConfig(service),
      events: {
        onOutliersFound: service => { this.metrics.outlierDetections.inc({ service }) },
        onEjected: (service, { targetId, reason, severity }) => {
          this.metrics.ejections.inc({ service })
          log.info('target ejected', { service, targetId, reason, severity })
        },
        onRefused: (service, targetId) => { this.retainTarget(service, targetId) }
      }
    })
    directory.onChange(service => { this.cachedRatings.delete(service) })
    bus.onEntry('ejection', () => { this.cachedRatings.clear() })
  }

  /**
   * Creates the shared health; every target is healthy at first.
   *
   * @param options - Dependencies.
   * @returns The shared health.
   */
  static create (options: SharedHealthOptions): SharedHealth {
    return new SharedHealth(options)
  }

  readonly record = (report: AttemptReport): void => {
    this.poisonRequests.record(report)
    if (this.silentConnections.shouldCountNow(report)) this.localEvidence.add(report)
  }

  readonly ratingOf = (target: Target): TargetRating => {
    const ratings = this.serviceRatings(target.service)
    if (target.isLeaving) return { status: 'leaving', weight: 0, idempotentOnly: false }
    const rating = ratings.byTarget.get(target.id)
    if (rating !== undefined) return rating
    const coldStartMs = this.serviceConfig(target.service)?.coldStartMs ?? 0
    return isCold(target, coldStartMs, this.options.clock.wallMs()) ? { status: 'cold', weight: 1, idempotentOnly: false } : { status: 'healthy', weight: 1, idempotentOnly: false }
  }

  readonly isQuarantined = (fingerprint: string): boolean => this.poisonRequests.isQuarantined(fingerprint)

  readonly isPoolShedding = (service: string): boolean => this.localEvidence.isShedding(service)

  /** Keeps cached rows, allowances and ejections up to date until aborted. */
  async runMaintenance (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.ejections.maintain()
      await this.options.clock.sleepMs(MAINTENANCE_INTERVAL_MS, signal)
    }
  }

  /** Reports evidence and runs the outlier detection until aborted. */
  async runOutlierDetection (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.processEvidence()
      await this.options.clock.sleepMs(EVIDENCE_INTERVAL_MS, signal)
    }
  }

  /** Runs one round: reports new evidence, and runs the outlier detection on the evidence of all daemons. */
  processEvidence (): void {
    this.localEvidence.removeExpired()
    this.silentConnections.finishTimedOutChecks()
    this.poisonRequests.refresh()
    const unreported = this.localEvidence.unreportedServices()
    for (const service of unreported) this.sendReportIfAllowed(service)
    const withEntries = this.services().filter(service => this.ejections.row(service).row.entries.length > 0)
    this.outlierDetector.run([...new Set([...unreported, ...this.evidenceExchange.services(), ...withEntries])])
    this.updateGauges(withEntries)
  }

  /** Targets that are not healthy with the reason, agreed entries and allowances, and quarantined fingerprints; each list is limited. */
  readonly dump = (): JsonValue => {
    const rows = this.services().map(service => ({ service, ratings: this.serviceRatings(service), row: this.ejections.row(service) }))
    const targets = rows.flatMap(({ service, ratings }) => [...ratings.byTarget].map(([targetId, rating]) => ({ service, targetId, ...rating })))
    const entries = rows.flatMap(({ service, row }) => row.row.entries.map(entry => ({ service, ...entry })))
    const allowances = rows.flatMap(({ service, row }) => row.row.allowances.map(allowance => ({ service, ...allowance })))
    return {
      targets: targets.slice(0, MAX_DUMPED),
      entries: entries.slice(0, MAX_DUMPED),
      allowances: allowances.slice(0, MAX_DUMPED),
      quarantined: this.poisonRequests.quarantined.slice(0, MAX_DUMPED)
    }
  }

  /** Reports the evidence about a service, unless that would exceed the rate limit. */
  private sendReportIfAllowed (service: string): void {
    const { clock, bus } = this.options
    const nowMs = clock.monotonicMs()
    const daemons = bus.members().length + 1
    const intervalMs = daemons * MS_PER_SECOND / REPORTS_PER_SECOND
    const burst = Math.max(MIN_REPORT_BURST, Math.min(MAX_REPORT_BURST, Math.floor(FLEET_REPORT_BURST / daemons)))
    const arrivalMs = Math.max(nowMs, this.theoreticalArrivalMs.get(service) ?? -Infinity)
    if (arrivalMs - nowMs > (burst - 1) * intervalMs) return
    this.theoreticalArrivalMs.set(service, arrivalMs + intervalMs)
    this.localEvidence.markReported(service)
    this.evidenceExchange.send(service, this.localEvidence.counts(service), this.ejections.detectors(service))
  }

  private serviceRatings (service: string): ServiceRatings {
    const nowMs = this.options.clock.monotonicMs()
    const cached = this.cachedRatings.get(service)
    if (cached !== undefined && nowMs < cached.validUntilMs) return cached
    const view = this.ejections.view(service)
    const ratings = rateTargets({
      view,
      targets: this.options.directory.targets(service),
      capacity: this.capacity(service),
      counts: this.localEvidence.counts(service),
      retained: this.retainedTargets(service, nowMs),
      starvedTrials: this.starvedTrials(service),
      validUntilMs: Math.min(nowMs + RATINGS_MAX_AGE_MS, view.validUntilMs)
    })
    this.cachedRatings.set(service, ratings)
    return ratings
  }

  /** Reduces the weight of a target whose ejection was refused. */
  private retainTarget (service: string, targetId: string): void {
    if (this.ejections.view(service).statuses.has(targetId)) return
    this.metrics.floorRefusals.inc({ service })
    this.retainedUntilMs.set(targetId, this.options.clock.monotonicMs() + RETAINED_WEIGHT_DURATION_MS)
  }

  private retainedTargets (service: string, nowMs: number): ReadonlySet<string> {
    for (const [targetId, untilMs] of this.retainedUntilMs) if (nowMs >= untilMs) this.retainedUntilMs.delete(targetId)
    return new Set(this.options.directory.targets(service).map(target => target.id).filter(id => this.retainedUntilMs.has(id)))
  }

  /** Targets that have been in trial for a while without a request of this daemon. */
  private starvedTrials (service: string): ReadonlySet<string> {
    const attempted = new Set(this.localEvidence.counts(service).filter(({ long }) => long.attempts > 0).map(({ targetId }) => targetId))
    const startedBeforeMs = this.options.clock.wallMs() - TRIAL_PATIENCE_MS
    const trials = this.ejections.row(service).row.entries.filter(({ stage, changedAtMs }) => stage === 'trial' && changedAtMs < startedBeforeMs)
    return new Set(trials.map(({ targetId }) => targetId).filter(targetId => !attempted.has(targetId)))
  }

  /** Discards the counts at targets that a quarantined request crashed: the target was not at fault. */
  private discardCrashCounts (targetIds: readonly string[]): void {
    this.metrics.quarantines.inc()
    this.options.log.warn('request quarantined', { targets: targetIds })
    for (const service of this.services()) for (const targetId of targetIds) this.localEvidence.forget(service, targetId)
  }

  private updateGauges (withEntries: readonly string[]): void {
    for (const service of withEntries) this.metrics.readmittedTargets.set({ service }, this.ejections.view(service).readmitted.size)
    for (const service of this.services()) {
      if (this.ejections.isDetector(service)) this.metrics.allowanceSlots.set({ service }, this.ejections.allowanceSlots(service))
    }
  }

  private fenceOf (service: string, targetId: string): number {
    return this.ejections.row(service).row.entries.find(entry => entry.targetId === targetId)?.fence ?? 0
  }

  private serviceConfig (service: string): ServiceConfig | undefined {
    return this.options.config.current()?.document.services[service]
  }

  private services (): readonly string[] {
    return Object.keys(this.options.config.current()?.document.services ?? {})
  }

  private capacity (service: string): Capacity {
    const config = this.serviceConfig(service)
    if (config === undefined) return NO_CAPACITY
    const { floorSlots, coldStartMs } = config
    return computeCapacity(this.options.directory.targets(service), { floorSlots, coldStartMs, wallMs: this.options.clock.wallMs() })
  }
}
