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
import { ratingsOf } from './ratings.js'
import type { Ratings } from './ratings.js'

/** What the shared health view needs. */
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

const EVIDENCE_MS = 250
const UPKEEP_MS = 100
/** Longest time for which ratings are kept without looking at their inputs again. */
const RATINGS_MS = 100
/** Reports a second that a judge takes in about one service. */
const REPORTS_PER_SECOND = 8
/** Reports that all daemons together may send at once after a quiet time. */
const FLEET_REPORT_BURST = 240
const LEAST_REPORT_BURST = 2
const LARGEST_REPORT_BURST = 8
const MS_PER_SECOND = 1_000
const MAX_DUMPED = 200
/** Time for which a target whose ejection the floor refused gets a reduced share. */
const KEPT_IN_MS = 10_000
const NO_CAPACITY: Capacity = { floorSlots: 0, slotsById: new Map(), totalSlots: 0 }

/** Health of targets as the fleet agrees on it, with what this daemon adds from its own evidence. */
export class SharedHealth implements HealthView, AttemptSink, StateSource {
  readonly name = 'health'
  private readonly ejections: Ejections
  private readonly local: LocalEvidence
  private readonly exchange: EvidenceExchange
  private readonly judge: OutlierDetector
  private readonly poison: PoisonRequests
  private readonly silent: SilentConnections
  private readonly metrics: HealthMetrics
  private readonly ratings = new Map<string, Ratings>()
  private readonly keptInUntilMs = new Map<string, number>()
  /** Time up to which reports about a service have used this daemon's part of what judges take in. */
  private readonly paidUntilMs = new Map<string, number>()

  private constructor (private readonly options: SharedHealthOptions) {
    const { clock, bus, directory, sender, log } = options
    this.metrics = createHealthMetrics(options.registry)
    this.ejections = Ejections.create({ ...options, services: () => this.services(), capacity: service => this.capacity(service) })
    this.local = LocalEvidence.create(clock, (service, targetId) => this.fenceOf(service, targetId))
    this.exchange = EvidenceExchange.create(clock, bus)
    this.poison = PoisonRequests.create({ clock, bus, onQuarantined: targetIds => { this.absolve(targetIds) } })
    this.silent = SilentConnections.create({
      clock,
      closeIdleConnections: (targetId, olderThanMs) => { sender.closeIdleConnections(targetId, olderThanMs) },
      targetsOnSamePath: target => directory.targets(target.service).filter(other => other.availabilityZone === target.availabilityZone && other.id !== target.id),
      countReport: report => { this.local.add(report) },
      onSilentConnections: target => { this.metrics.silentConnections.inc({ service: target.service }) }
    })
    this.judge = OutlierDetector.create({
      clock,
      bus,
      local: this.local,
      exchange: this.exchange,
      ejections: this.ejections,
      targets: directory.targets,
      config: service => this.config(service),
      events: {
        onOutliersFound: service => { this.metrics.judged.inc({ service }) },
        onEjected: (service, { targetId, reason, severity }) => {
          this.metrics.ejections.inc({ service })
          log.info('target ejected', { service, targetId, reason, severity })
        },
        onRefused: (service, targetId) => { this.keepIn(service, targetId) }
      }
    })
    directory.onChange(service => { this.ratings.delete(service) })
    bus.onEntry('ejection', () => { this.ratings.clear() })
  }

  /**
   * Creates the view; every target is healthy at first.
   *
   * @param options - Table, peers, targets and the document.
   * @returns The view.
   */
  static create (options: SharedHealthOptions): SharedHealth {
    return new SharedHealth(options)
  }

  readonly record = (report: AttemptReport): void => {
    this.poison.record(report)
    if (this.silent.shouldCountNow(report)) this.local.add(report)
  }

  readonly ratingOf = (target: Target): TargetRating => {
    const ratings = this.ratingsOf(target.service)
    if (target.isLeaving) return { status: 'leaving', weight: 0, idempotentOnly: false }
    const rating = ratings.byTarget.get(target.id)
    if (rating !== undefined) return rating
    const coldStartMs = this.config(target.service)?.coldStartMs ?? 0
    return isCold(target, coldStartMs, this.options.clock.wallMs()) ? { status: 'cold', weight: 1, idempotentOnly: false } : { status: 'healthy', weight: 1, idempotentOnly: false }
  }

  readonly isQuarantined = (fingerprint: string): boolean => this.poison.isQuarantined(fingerprint)

  readonly isPoolShedding = (service: string): boolean => this.local.isShedding(service)

  /** Keeps copies, allowances and ejections up to date until stopped. */
  async runUpkeep (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.ejections.maintain()
      await this.options.clock.sleepMs(UPKEEP_MS, signal)
    }
  }

  /** Reports and judges evidence until stopped. */
  async runEvidence (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.tick()
      await this.options.clock.sleepMs(EVIDENCE_MS, signal)
    }
  }

  /** One round of evidence: reports what is new and judges what others reported. */
  tick (): void {
    this.local.removeExpired()
    this.silent.finishTimedOutChecks()
    this.poison.refresh()
    const news = this.local.unreportedServices()
    for (const service of news) this.reportIfDue(service)
    const withEntries = this.services().filter(service => this.ejections.row(service).row.entries.length > 0)
    this.judge.run([...new Set([...news, ...this.exchange.services(), ...withEntries])])
    this.measure(withEntries)
  }

  /** Targets that are not healthy, with the reason; bounded. */
  readonly dump = (): JsonValue => {
    const rows = this.services().map(service => ({ service, ratings: this.ratingsOf(service), row: this.ejections.row(service) }))
    const targets = rows.flatMap(({ service, ratings }) => [...ratings.byTarget].map(([targetId, rating]) => ({ service, targetId, ...rating })))
    const entries = rows.flatMap(({ service, row }) => row.row.entries.map(entry => ({ service, ...entry })))
    const allowances = rows.flatMap(({ service, row }) => row.row.allowances.map(allowance => ({ service, ...allowance })))
    return {
      targets: targets.slice(0, MAX_DUMPED),
      entries: entries.slice(0, MAX_DUMPED),
      allowances: allowances.slice(0, MAX_DUMPED),
      quarantined: this.poison.quarantined.slice(0, MAX_DUMPED)
    }
  }

  private reportIfDue (service: string): void {
    const { clock, bus } = this.options
    const nowMs = clock.monotonicMs()
    const daemons = bus.members().length + 1
    const intervalMs = daemons * MS_PER_SECOND / REPORTS_PER_SECOND
    const burst = Math.max(LEAST_REPORT_BURST, Math.min(LARGEST_REPORT_BURST, Math.floor(FLEET_REPORT_BURST / daemons)))
    const paidUntilMs = Math.max(nowMs, this.paidUntilMs.get(service) ?? -Infinity)
    if (paidUntilMs - nowMs > (burst - 1) * intervalMs) return
    this.paidUntilMs.set(service, paidUntilMs + intervalMs)
    this.local.markReported(service)
    this.exchange.send(service, this.local.counts(service), this.ejections.detectors(service))
  }

  private ratingsOf (service: string): Ratings {
    const nowMs = this.options.clock.monotonicMs()
    const known = this.ratings.get(service)
    if (known !== undefined && nowMs < known.validUntilMs) return known
    const view = this.ejections.view(service)
    const ratings = ratingsOf({
      view,
      targets: this.options.directory.targets(service),
      capacity: this.capacity(service),
      counts: this.local.counts(service),
      keptIn: this.keptIn(service, nowMs),
      validUntilMs: Math.min(nowMs + RATINGS_MS, view.validUntilMs)
    })
    this.ratings.set(service, ratings)
    return ratings
  }

  private keepIn (service: string, targetId: string): void {
    if (this.ejections.view(service).statuses.has(targetId)) return
    this.metrics.floorBound.inc({ service })
    this.keptInUntilMs.set(targetId, this.options.clock.monotonicMs() + KEPT_IN_MS)
  }

  private keptIn (service: string, nowMs: number): ReadonlySet<string> {
    for (const [targetId, untilMs] of this.keptInUntilMs) if (nowMs >= untilMs) this.keptInUntilMs.delete(targetId)
    return new Set(this.options.directory.targets(service).map(target => target.id).filter(id => this.keptInUntilMs.has(id)))
  }

  /** Crashes under a request that is stopped now do not speak against the targets. */
  private absolve (targetIds: readonly string[]): void {
    this.metrics.quarantines.inc()
    this.options.log.warn('request quarantined', { targets: targetIds })
    for (const service of this.services()) for (const targetId of targetIds) this.local.forget(service, targetId)
  }

  private measure (withEntries: readonly string[]): void {
    for (const service of withEntries) this.metrics.givenBack.set({ service }, this.ejections.view(service).readmitted.size)
    for (const service of this.services()) {
      if (this.ejections.isDetector(service)) this.metrics.allowanceSlots.set({ service }, this.ejections.allowanceSlots(service))
    }
  }

  private fenceOf (service: string, targetId: string): number {
    return this.ejections.row(service).row.entries.find(entry => entry.targetId === targetId)?.fence ?? 0
  }

  private config (service: string): ServiceConfig | undefined {
    return this.options.config.current()?.document.services[service]
  }

  private services (): readonly string[] {
    return Object.keys(this.options.config.current()?.document.services ?? {})
  }

  private capacity (service: string): Capacity {
    const config = this.config(service)
    if (config === undefined) return NO_CAPACITY
    const { floorSlots, coldStartMs } = config
    return computeCapacity(this.options.directory.targets(service), { floorSlots, coldStartMs, wallMs: this.options.clock.wallMs() })
  }
}
