import type { Clock, PeerBus, Locality, ServiceConfig, Target } from '@lovagehoist/common'
import type { Ejections } from '../ejections/ejections.js'
import type { EjectionEntry } from '../ejections/ejectionRow.js'
import { NO_COUNTS, SHORT_WINDOW_MS, addCounts, scaleAttempts } from './outcomeCounts.js'
import type { OutcomeCounts } from './outcomeCounts.js'
import type { EvidenceExchange, EvidenceReport } from './evidenceExchange.js'
import { findOutliers } from './findOutliers.js'
import type { Observation, Outlier } from './findOutliers.js'
import type { LocalEvidence } from './localEvidence.js'
import { DETECTION_PROFILES } from './profiles.js'
import type { DetectionProfile } from './profiles.js'

/** Callbacks for metrics and logs. */
export interface DetectionEvents {
  readonly onOutliersFound: (service: string) => void
  readonly onEjected: (service: string, outlier: Outlier) => void
  /** Called when an ejection was refused or could not be made. */
  readonly onRefused: (service: string, targetId: string) => void
}

/** Dependencies of the detector. */
export interface OutlierDetectorOptions {
  readonly clock: Clock
  readonly bus: PeerBus
  readonly localEvidence: LocalEvidence
  readonly evidenceExchange: EvidenceExchange
  readonly ejections: Ejections
  readonly targets: (service: string) => readonly Target[]
  readonly config: (service: string) => ServiceConfig | undefined
  readonly events: DetectionEvents
}

/** Time that a detector waits, per rank, for those of higher rank to act first. */
const RANK_DELAY_MS = 750
/** Time before the next change of the same target is tried. */
const CHANGE_RETRY_DELAY_MS = 2_000

const zoneKey = ({ region, availabilityZone }: Locality): string => `${region}/${availabilityZone}`

const countByZone = (localities: readonly Locality[]): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>()
  for (const locality of localities) counts.set(zoneKey(locality), (counts.get(zoneKey(locality)) ?? 0) + 1)
  return counts
}

/**
 * Converts reports to observations, using only counts from the current state of a target's ejection. Daemons without a report saw no failure; their
 * attempts are estimated by scaling up those of the reporting daemons of the same zone, which uses the same targets.
 */
const combineReports = (reports: readonly EvidenceReport[], window: 'long' | 'short', fences: ReadonlyMap<string, number>, daemonsByZone: ReadonlyMap<string, number>): readonly Observation[] => {
  const reportsByZone = countByZone(reports.map(({ from }) => from))
  return reports.map(({ from, counts }) => {
    const zone = zoneKey(from)
    const factor = Math.max(1, (daemonsByZone.get(zone) ?? 1) / (reportsByZone.get(zone) ?? 1))
    const current = counts.filter(item => item.fence === (fences.get(item.targetId) ?? 0))
    return { instanceId: from.instanceId, availabilityZone: zone, byTarget: new Map(current.map(item => [item.targetId, scaleAttempts(item[window], factor)])) }
  })
}

/** Runs the outlier detection, on the merged evidence of all daemons, for the services that this daemon is a detector for. */
export class OutlierDetector {
  /** Monotonic time since which a target has been an outlier without interruption, by `service/targetId`. */
  private readonly outlierSinceMs = new Map<string, number>()
  /** Monotonic time until which a target is not changed again, by `service/targetId`. */
  private readonly busyUntilMs = new Map<string, number>()

  private constructor (private readonly options: OutlierDetectorOptions) {}

  /**
   * Creates a detector.
   *
   * @param options - Dependencies.
   * @returns The detector.
   */
  static create (options: OutlierDetectorOptions): OutlierDetector {
    return new OutlierDetector(options)
  }

  /** Runs the detection once for each service; the resulting changes are made in the background. */
  run (services: readonly string[]): void {
    for (const service of services) {
      const rank = this.options.ejections.detectors(service).indexOf(this.options.bus.self.instanceId)
      const config = this.options.config(service)
      if (rank >= 0 && config !== undefined) this.detect(service, rank, DETECTION_PROFILES[config.profile])
    }
  }

  private detect (service: string, rank: number, profile: DetectionProfile): void {
    const { ejections, localEvidence, evidenceExchange, bus, events } = this.options
    const { entries } = ejections.row(service).row
    const reports: readonly EvidenceReport[] = [...evidenceExchange.reports(service), { from: bus.self, counts: localEvidence.counts(service), ageMs: 0 }]
    for (const entry of entries) this.advanceStage(service, entry, reports, rank, profile)
    const outliers = this.findCurrentOutliers(service, entries, reports, profile)
    if (outliers.length > 0) events.onOutliersFound(service)
    this.forgetFormerOutliers(service, outliers)
    for (const outlier of outliers) this.requestEjection(service, outlier, rank, profile)
  }

  private findCurrentOutliers (service: string, entries: readonly EjectionEntry[], reports: readonly EvidenceReport[], profile: DetectionProfile): readonly Outlier[] {
    const ejectedIds = new Set(entries.filter(entry => entry.stage !== 'released').map(entry => entry.targetId))
    const fences = new Map(entries.map(entry => [entry.targetId, entry.fence]))
    const targets = this.options.targets(service).filter(target => !target.isLeaving && !ejectedIds.has(target.id))
    const live = this.options.bus.members().filter(member => member.status !== 'gone')
    const daemonsByZone = countByZone([this.options.bus.self, ...live])
    const zoneByTarget = new Map(targets.map(target => [target.id, zoneKey(target)]))
    const options = { profile, zoneByTarget, ejectedTargets: ejectedIds.size, daemons: live.length + 1, zones: daemonsByZone.size }
    const early = findOutliers(combineReports(reports.filter(report => report.ageMs < SHORT_WINDOW_MS), 'short', fences, daemonsByZone), options)
    return early.length > 0 ? early : findOutliers(combineReports(reports, 'long', fences, daemonsByZone), options)
  }

  private requestEjection (service: string, outlier: Outlier, rank: number, profile: DetectionProfile): void {
    const { targetId, reason, severity } = outlier
    if (!this.isDue(`${service}/${targetId}`, rank)) return
    const request = { targetId, severity, reason, holdMs: profile.holdMs, maxHoldMs: profile.maxHoldMs }
    this.changeInBackground(`${service}/${targetId}`, async () => {
      const outcome = await this.options.ejections.eject(service, request)
      if (outcome === 'applied' || outcome === 'allowance') this.options.events.onEjected(service, outlier)
      else this.options.events.onRefused(service, targetId)
    })
  }

  private advanceStage (service: string, entry: EjectionEntry, reports: readonly EvidenceReport[], rank: number, profile: DetectionProfile): void {
    const key = `${service}/${entry.targetId}`
    const stageAgeMs = this.options.clock.wallMs() - entry.changedAtMs
    if (entry.stage === 'ejected' && stageAgeMs >= entry.holdMs + rank * RANK_DELAY_MS) {
      this.changeInBackground(key, async () => { await this.options.ejections.moveToStage(service, entry.targetId, 'trial') })
    }
    if (entry.stage !== 'trial') return
    const counts = reports.flatMap(report => report.counts.filter(item => item.targetId === entry.targetId && item.fence === entry.fence))
    this.endTrialIfDecided(service, entry, counts.reduce<OutcomeCounts>((sum, item) => addCounts(sum, item.long), NO_COUNTS), profile)
  }

  private endTrialIfDecided (service: string, entry: EjectionEntry, counts: OutcomeCounts, profile: DetectionProfile): void {
    const key = `${service}/${entry.targetId}`
    const badOutcomes = counts.failures + counts.slow
    const { targetId, severity, reason } = entry
    if (badOutcomes >= profile.trialFailures && badOutcomes / counts.attempts > profile.marginShare) {
      const request = { targetId, severity, reason, holdMs: profile.holdMs, maxHoldMs: profile.maxHoldMs }
      this.changeInBackground(key, async () => { await this.options.ejections.eject(service, request) })
    } else if (counts.attempts >= profile.trialAttempts) {
      this.changeInBackground(key, async () => { await this.options.ejections.moveToStage(service, targetId, 'released') })
    }
  }

  private isDue (key: string, rank: number): boolean {
    const nowMs = this.options.clock.monotonicMs()
    const sinceMs = this.outlierSinceMs.get(key) ?? nowMs
    this.outlierSinceMs.set(key, sinceMs)
    return nowMs - sinceMs >= rank * RANK_DELAY_MS
  }

  private forgetFormerOutliers (service: string, outliers: readonly Outlier[]): void {
    for (const key of this.outlierSinceMs.keys()) {
      if (key.startsWith(`${service}/`) && !outliers.some(({ targetId }) => key === `${service}/${targetId}`)) this.outlierSinceMs.delete(key)
    }
  }

  /** Starts a change of a target, unless the previous one was started less than `CHANGE_RETRY_DELAY_MS` ago. A failure is ignored: later rounds try again. */
  private changeInBackground (key: string, change: () => Promise<void>): void {
    const nowMs = this.options.clock.monotonicMs()
    if (nowMs < (this.busyUntilMs.get(key) ?? -Infinity)) return
    this.busyUntilMs.set(key, nowMs + CHANGE_RETRY_DELAY_MS)
    change().catch(() => {})
  }
}
