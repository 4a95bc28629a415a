import type { AttemptReport, Clock } from '@lovagehoist/common'
import { OUTCOME_ATTRIBUTION } from './attribution.js'
import { SHORT_WINDOW_MS, SlidingWindowCounts } from './outcomeCounts.js'
import type { OutcomeCounts, CountedOutcome } from './outcomeCounts.js'
import { LatencyBaseline } from './latencyBaseline.js'

/** Counts at one target in the current state of its ejection. */
export interface TargetCounts {
  readonly targetId: string
  /** Counts of the last `LONG_WINDOW_MS`. */
  readonly long: OutcomeCounts
  /** Counts of the last `SHORT_WINDOW_MS`. */
  readonly short: OutcomeCounts
  /** Fence of the ejection entry that was in effect while they were counted; 0 if there was none. */
  readonly fence: number
}

interface TargetEvidence {
  readonly service: string
  readonly counts: SlidingWindowCounts
  fence: number
}

interface ServiceEvidence {
  readonly baseline: LatencyBaseline
  readonly targets: Map<string, TargetEvidence>
  /** Whether there is evidence worth reporting that was not reported yet. */
  hasUnreported: boolean
}

/** Slow responses of a target from which on they are worth a report. */
const MIN_SLOW_TO_REPORT = 3
/** Window over which the share of shed requests is computed. */
const SHED_WINDOW_MS = 2_000
/** Share of shed requests above which a service counts as shedding. */
const SHED_SHARE = 0.5
const MIN_ATTEMPTS_FOR_SHEDDING = 10

/** Outcomes of this daemon's own attempts, counted per target over a sliding window. */
export class LocalEvidence {
  private readonly services = new Map<string, ServiceEvidence>()

  private constructor (private readonly clock: Clock, private readonly fenceOf: (service: string, targetId: string) => number) {}

  /**
   * Creates evidence without any attempts.
   *
   * @param clock - Source of time.
   * @param fenceOf - Returns the fence of a target's ejection entry as known to this daemon; 0 if there is none.
   * @returns The evidence.
   */
  static create (clock: Clock, fenceOf: (service: string, targetId: string) => number): LocalEvidence {
    return new LocalEvidence(clock, fenceOf)
  }

  /** Counts one attempt, unless its outcome says nothing about the target. */
  add (report: AttemptReport): void {
    const { target, outcome, latencyMs } = report
    const attribution = OUTCOME_ATTRIBUTION[outcome]
    const service = this.serviceEvidence(target.service)
    const nowMs = this.clock.monotonicMs()
    const isSlow = attribution === 'target-works' && service.baseline.add(latencyMs, nowMs)
    const countedOutcomes: Partial<Record<typeof attribution, CountedOutcome>> = { 'target-works': isSlow ? 'slow' : 'works', 'target-failed': 'failed', 'target-slow': 'slow', load: 'shed' }
    const counted = countedOutcomes[attribution]
    if (counted === undefined) return
    const evidence = this.targetEvidence(service, target.service, target.id)
    evidence.counts.add(counted, nowMs)
    const isWorthReporting = counted === 'failed' || evidence.fence > 0 || (counted === 'slow' && evidence.counts.total(nowMs).slow >= MIN_SLOW_TO_REPORT)
    if (isWorthReporting) service.hasUnreported = true
  }

  /** Counts at the targets of a service. */
  counts (service: string): readonly TargetCounts[] {
    const nowMs = this.clock.monotonicMs()
    const targets = this.services.get(service)?.targets ?? new Map<string, TargetEvidence>()
    return [...targets].map(([targetId, evidence]) => ({
      targetId,
      fence: evidence.fence,
      long: evidence.counts.total(nowMs),
      short: evidence.counts.total(nowMs, SHORT_WINDOW_MS)
    }))
  }

  /** Services with evidence that is worth reporting and was not reported yet. */
  unreportedServices (): readonly string[] {
    return [...this.services].filter(([, evidence]) => evidence.hasUnreported).map(([service]) => service)
  }

  /** Records that the evidence about a service was reported. */
  markReported (service: string): void {
    const evidence = this.services.get(service)
    if (evidence !== undefined) evidence.hasUnreported = false
  }

  /** Whether the targets of a service recently refused most attempts because of load. */
  isShedding (service: string): boolean {
    const nowMs = this.clock.monotonicMs()
    const targets = [...(this.services.get(service)?.targets.values() ?? [])]
    const shedCounts = targets.map(({ counts }) => counts.shedCounts(nowMs, SHED_WINDOW_MS))
    const total = shedCounts.reduce((sum, target) => sum + target.total, 0)
    return total >= MIN_ATTEMPTS_FOR_SHEDDING && shedCounts.reduce((sum, target) => sum + target.shed, 0) / total > SHED_SHARE
  }

  /** Discards the counts at a target. */
  forget (service: string, targetId: string): void {
    this.services.get(service)?.targets.delete(targetId)
  }

  /** Drops targets without recent attempts, and counts from an earlier state of an ejection. */
  removeExpired (): void {
    const nowMs = this.clock.monotonicMs()
    for (const [name, service] of this.services) {
      for (const [targetId, evidence] of service.targets) {
        if (evidence.counts.isEmpty(nowMs)) service.targets.delete(targetId)
        else this.resetOnNewFence(name, targetId, evidence)
      }
    }
  }

  private resetOnNewFence (service: string, targetId: string, evidence: TargetEvidence): void {
    const fence = this.fenceOf(service, targetId)
    if (fence === evidence.fence) return
    evidence.counts.clear()
    evidence.fence = fence
  }

  private targetEvidence (service: ServiceEvidence, name: string, targetId: string): TargetEvidence {
    const existing = service.targets.get(targetId)
    if (existing !== undefined) {
      this.resetOnNewFence(name, targetId, existing)
      return existing
    }
    const evidence = { service: name, counts: SlidingWindowCounts.create(), fence: this.fenceOf(name, targetId) }
    service.targets.set(targetId, evidence)
    return evidence
  }

  private serviceEvidence (name: string): ServiceEvidence {
    const existing = this.services.get(name)
    if (existing !== undefined) return existing
    const evidence = { baseline: LatencyBaseline.create(this.clock.monotonicMs()), targets: new Map<string, TargetEvidence>(), hasUnreported: false }
    this.services.set(name, evidence)
    return evidence
  }
}
