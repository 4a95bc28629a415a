import type { Clock, PeerBus, Locality, ServiceConfig, Target } from '@lovagehoist/common'
import type { Ejections } from '../ejections/ejections.js'
import type { EjectionEntry } from '../ejections/ejectionRow.js'
import { NO_COUNTS, SHORT_WINDOW_MS, addCounts, scaleTries } from './counts.js'
import type { Counts } from './counts.js'
import type { EvidenceExchange, EvidenceReport } from './evidenceExchange.js'
import { findSick } from './judgement.js'
import type { Observation, Suspicion } from './judgement.js'
import type { LocalEvidence } from './localEvidence.js'
import { PROFILES } from './profiles.js'
import type { Profile } from './profiles.js'

/** What a judge counts. */
export interface JudgeEvents {
  readonly onJudged: (service: string) => void
  readonly onEjected: (service: string, suspicion: Suspicion) => void
  readonly onRefused: (service: string, targetId: string) => void
}

/** What judging needs. */
export interface JudgeOptions {
  readonly clock: Clock
  readonly bus: PeerBus
  readonly local: LocalEvidence
  readonly exchange: EvidenceExchange
  readonly ejections: Ejections
  readonly targets: (service: string) => readonly Target[]
  readonly config: (service: string) => ServiceConfig | undefined
  readonly events: JudgeEvents
}

/** Time that judges of lower rank leave to those before them. */
const RANK_DELAY_MS = 750
const RETRY_MS = 2_000

const zoneOf = ({ region, availabilityZone }: Locality): string => `${region}/${availabilityZone}`

const countByZone = (places: readonly Locality[]): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>()
  for (const place of places) counts.set(zoneOf(place), (counts.get(zoneOf(place)) ?? 0) + 1)
  return counts
}

/** Daemons that report nothing saw no failure: their tries are added in proportion to those of their zone, which uses the same targets. */
const observe = (reports: readonly EvidenceReport[], window: 'long' | 'short', fences: ReadonlyMap<string, number>, daemonsByZone: ReadonlyMap<string, number>): readonly Observation[] => {
  const reportsByZone = countByZone(reports.map(({ from }) => from))
  return reports.map(({ from, counts }) => {
    const zone = zoneOf(from)
    const factor = Math.max(1, (daemonsByZone.get(zone) ?? 1) / (reportsByZone.get(zone) ?? 1))
    const current = counts.filter(item => item.fence === (fences.get(item.targetId) ?? 0))
    return { instanceId: from.instanceId, availabilityZone: zone, byTarget: new Map(current.map(item => [item.targetId, scaleTries(item[window], factor)])) }
  })
}

/** Judges the merged evidence about the services that this daemon is chosen for. */
export class Judge {
  private readonly suspectedAtMs = new Map<string, number>()
  private readonly busyUntilMs = new Map<string, number>()

  private constructor (private readonly options: JudgeOptions) {}

  /**
   * Creates a judge.
   *
   * @param options - Evidence, ejections and the document.
   * @returns The judge.
   */
  static create (options: JudgeOptions): Judge {
    return new Judge(options)
  }

  /** Judges every service once; agreed changes follow in the background. */
  run (services: readonly string[]): void {
    for (const service of services) {
      const rank = this.options.ejections.detectors(service).indexOf(this.options.bus.self.instanceId)
      const config = this.options.config(service)
      if (rank >= 0 && config !== undefined) this.judge(service, rank, PROFILES[config.profile])
    }
  }

  private judge (service: string, rank: number, profile: Profile): void {
    const { ejections, local, exchange, bus, events } = this.options
    const { entries } = ejections.row(service).row
    const reports: readonly EvidenceReport[] = [...exchange.reports(service), { from: bus.self, counts: local.counts(service), ageMs: 0 }]
    for (const entry of entries) this.followEntry(service, entry, reports, rank, profile)
    const suspicions = this.findSuspicions(service, entries, reports, profile)
    if (suspicions.length > 0) events.onJudged(service)
    this.forgetOthers(service, suspicions)
    for (const suspicion of suspicions) this.act(service, suspicion, rank, profile)
  }

  private findSuspicions (service: string, entries: readonly EjectionEntry[], reports: readonly EvidenceReport[], profile: Profile): readonly Suspicion[] {
    const out = new Set(entries.filter(entry => entry.stage !== 'released').map(entry => entry.targetId))
    const fences = new Map(entries.map(entry => [entry.targetId, entry.fence]))
    const targets = this.options.targets(service).filter(target => !target.isLeaving && !out.has(target.id))
    const live = this.options.bus.members().filter(member => member.status !== 'gone')
    const daemonsByZone = countByZone([this.options.bus.self, ...live])
    const zoneByTarget = new Map(targets.map(target => [target.id, zoneOf(target)]))
    const options = { profile, zoneByTarget, outTargets: out.size, daemons: live.length + 1, zones: daemonsByZone.size }
    const early = findSick(observe(reports.filter(report => report.ageMs < SHORT_WINDOW_MS), 'short', fences, daemonsByZone), options)
    return early.length > 0 ? early : findSick(observe(reports, 'long', fences, daemonsByZone), options)
  }

  private act (service: string, suspicion: Suspicion, rank: number, profile: Profile): void {
    const { targetId, reason, severity } = suspicion
    if (!this.isDue(`${service}/${targetId}`, rank)) return
    const order = { targetId, severity, reason, holdMs: profile.holdMs, maxHoldMs: profile.longestHoldMs }
    this.inBackground(`${service}/${targetId}`, async () => {
      const outcome = await this.options.ejections.eject(service, order)
      if (outcome === 'applied' || outcome === 'allowance') this.options.events.onEjected(service, suspicion)
      else this.options.events.onRefused(service, targetId)
    })
  }

  private followEntry (service: string, entry: EjectionEntry, reports: readonly EvidenceReport[], rank: number, profile: Profile): void {
    const key = `${service}/${entry.targetId}`
    const heldMs = this.options.clock.wallMs() - entry.changedAtMs
    if (entry.stage === 'ejected' && heldMs >= entry.holdMs + rank * RANK_DELAY_MS) {
      this.inBackground(key, async () => { await this.options.ejections.moveToStage(service, entry.targetId, 'trial') })
    }
    if (entry.stage !== 'trial') return
    const counts = reports.flatMap(report => report.counts.filter(item => item.targetId === entry.targetId && item.fence === entry.fence))
    this.endTrial(service, entry, counts.reduce<Counts>((sum, item) => addCounts(sum, item.long), NO_COUNTS), profile)
  }

  private endTrial (service: string, entry: EjectionEntry, counts: Counts, profile: Profile): void {
    const key = `${service}/${entry.targetId}`
    const bad = counts.failures + counts.slow
    const { targetId, severity, reason } = entry
    if (bad >= profile.trialFailures && bad / counts.tries > profile.marginShare) {
      const order = { targetId, severity, reason, holdMs: profile.holdMs, maxHoldMs: profile.longestHoldMs }
      this.inBackground(key, async () => { await this.options.ejections.eject(service, order) })
    } else if (counts.tries >= profile.trialTries) {
      this.inBackground(key, async () => { await this.options.ejections.moveToStage(service, targetId, 'released') })
    }
  }

  private isDue (key: string, rank: number): boolean {
    const nowMs = this.options.clock.monotonicMs()
    const sinceMs = this.suspectedAtMs.get(key) ?? nowMs
    this.suspectedAtMs.set(key, sinceMs)
    return nowMs - sinceMs >= rank * RANK_DELAY_MS
  }

  private forgetOthers (service: string, suspicions: readonly Suspicion[]): void {
    for (const key of this.suspectedAtMs.keys()) {
      if (key.startsWith(`${service}/`) && !suspicions.some(({ targetId }) => key === `${service}/${targetId}`)) this.suspectedAtMs.delete(key)
    }
  }

  /** Runs one change of a target at a time, and waits before it is tried again. */
  private inBackground (key: string, change: () => Promise<void>): void {
    const nowMs = this.options.clock.monotonicMs()
    if (nowMs < (this.busyUntilMs.get(key) ?? -Infinity)) return
    this.busyUntilMs.set(key, nowMs + RETRY_MS)
    change().catch(() => {})
  }
}
