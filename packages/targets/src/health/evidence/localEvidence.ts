import type { AttemptReport, Clock } from '@lovagehoist/common'
import { BLAME } from './outcomes.js'
import { SHORT_WINDOW_MS, SlidingCounts } from './counts.js'
import type { Counts, Tally } from './counts.js'
import { LatencyBaseline } from './latencyBaseline.js'

/** Counts at a target, since a state of its ejection. */
export interface TargetCounts {
  readonly targetId: string
  /** Counts of the last eight and the last three seconds. */
  readonly long: Counts
  readonly short: Counts
  /** Fence of the ejection entry in whose state they were counted; 0 for none. */
  readonly fence: number
}

interface TargetEvidence {
  readonly service: string
  readonly counts: SlidingCounts
  fence: number
}

interface ServiceEvidence {
  readonly baseline: LatencyBaseline
  readonly targets: Map<string, TargetEvidence>
  hasNews: boolean
}

/** Slow answers of a target that are worth a report. */
const MIN_SLOW_NEWS = 3
const SHED_WINDOW_MS = 2_000
const SHED_SHARE = 0.5
const MIN_SHED_TRIES = 10

/** What this daemon saw of targets within the window. */
export class LocalEvidence {
  private readonly services = new Map<string, ServiceEvidence>()

  private constructor (private readonly clock: Clock, private readonly fenceOf: (service: string, targetId: string) => number) {}

  /**
   * Creates evidence of nothing.
   *
   * @param clock - Source of time.
   * @param fenceOf - Fence of a target's ejection entry as this daemon knows it; 0 for none.
   * @returns The evidence.
   */
  static create (clock: Clock, fenceOf: (service: string, targetId: string) => number): LocalEvidence {
    return new LocalEvidence(clock, fenceOf)
  }

  /** Counts one try. */
  add (report: AttemptReport): void {
    const { target, outcome, latencyMs } = report
    const blame = BLAME[outcome]
    const service = this.serviceOf(target.service)
    const nowMs = this.clock.monotonicMs()
    const isSlow = blame === 'target-works' && service.baseline.add(latencyMs, nowMs)
    const tallies: Partial<Record<typeof blame, Tally>> = { 'target-works': isSlow ? 'slow' : 'works', 'target-failed': 'failed', 'target-slow': 'slow', load: 'shed' }
    const tally = tallies[blame]
    if (tally === undefined) return
    const evidence = this.targetOf(service, target.service, target.id)
    evidence.counts.add(tally, nowMs)
    const isNews = tally === 'failed' || evidence.fence > 0 || (tally === 'slow' && evidence.counts.total(nowMs).slow >= MIN_SLOW_NEWS)
    if (isNews) service.hasNews = true
  }

  /** Counts at the targets of a service within the window. */
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

  /** Services with news that was not reported. */
  news (): readonly string[] {
    return [...this.services].filter(([, evidence]) => evidence.hasNews).map(([service]) => service)
  }

  /** Notes that the news of a service was reported. */
  clearNews (service: string): void {
    const evidence = this.services.get(service)
    if (evidence !== undefined) evidence.hasNews = false
  }

  /** Whether most of the recent work at a service was refused because of load. */
  isShedding (service: string): boolean {
    const nowMs = this.clock.monotonicMs()
    const targets = [...(this.services.get(service)?.targets.values() ?? [])]
    const sums = targets.map(({ counts }) => counts.shed(nowMs, SHED_WINDOW_MS))
    const all = sums.reduce((sum, target) => sum + target.all, 0)
    return all >= MIN_SHED_TRIES && sums.reduce((sum, target) => sum + target.shed, 0) / all > SHED_SHARE
  }

  /** Forgets what was counted at a target. */
  forget (service: string, targetId: string): void {
    this.services.get(service)?.targets.delete(targetId)
  }

  /** Drops targets without recent tries, and counts of an earlier state of ejection. */
  sweep (): void {
    const nowMs = this.clock.monotonicMs()
    for (const [name, service] of this.services) {
      for (const [targetId, evidence] of service.targets) {
        if (evidence.counts.isEmpty(nowMs)) service.targets.delete(targetId)
        else this.followFence(name, targetId, evidence)
      }
    }
  }

  private followFence (service: string, targetId: string, evidence: TargetEvidence): void {
    const fence = this.fenceOf(service, targetId)
    if (fence === evidence.fence) return
    evidence.counts.clear()
    evidence.fence = fence
  }

  private targetOf (service: ServiceEvidence, name: string, targetId: string): TargetEvidence {
    const known = service.targets.get(targetId)
    if (known !== undefined) {
      this.followFence(name, targetId, known)
      return known
    }
    const evidence = { service: name, counts: SlidingCounts.create(), fence: this.fenceOf(name, targetId) }
    service.targets.set(targetId, evidence)
    return evidence
  }

  private serviceOf (name: string): ServiceEvidence {
    const known = this.services.get(name)
    if (known !== undefined) return known
    const evidence = { baseline: LatencyBaseline.create(this.clock.monotonicMs()), targets: new Map<string, TargetEvidence>(), hasNews: false }
    this.services.set(name, evidence)
    return evidence
  }
}
