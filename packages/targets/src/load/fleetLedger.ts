import type { PerTarget, Clock, FleetTargetStats, TargetCounters } from '@lovagehoist/common'
import { ConditionBook } from '../condition/conditionBook.js'
import { joinChances } from '../condition/failureEstimate.js'
import { NO_SAMPLES, addSamples } from './recentMean.js'
import type { RecentMean } from './recentMean.js'
import { addOutcomes, refusalShareAt } from './refusalShare.js'
import type { RefusalShare } from './refusalShare.js'

/** Reports of one daemon or one zone. */
interface Source {
  readonly tallies: Map<string, TargetCounters>
  /** Whether a full report has come. */
  hasAll: boolean
  heardAtMs: number
}

/** Time after which the requests in progress of a silent source no longer count. */
const SILENT_MS = 2_500
/** Age up to which all that a process did is recent. */
const YOUNG_MS = 10_000
const EMPTY: TargetCounters = { inProgress: 0, succeeded: 0, failed: 0, failedEarly: 0, refused: 0, latencySquares: 0 }
const NO_REFUSALS: RefusalShare = { share: 0, atMs: 0 }

const difference = (now: TargetCounters, before: TargetCounters): TargetCounters => ({
  inProgress: now.inProgress - before.inProgress,
  succeeded: Math.max(0, now.succeeded - before.succeeded),
  failed: Math.max(0, now.failed - before.failed),
  failedEarly: Math.max(0, now.failedEarly - before.failedEarly),
  refused: Math.max(0, now.refused - before.refused),
  latencySquares: Math.max(0, now.latencySquares - before.latencySquares)
})

const sum = (a: TargetCounters, b: TargetCounters): TargetCounters => ({
  inProgress: a.inProgress + b.inProgress,
  succeeded: a.succeeded + b.succeeded,
  failed: a.failed + b.failed,
  failedEarly: a.failedEarly + b.failedEarly,
  refused: a.refused + b.refused,
  latencySquares: a.latencySquares + b.latencySquares
})

const hasFailures = (deltas: PerTarget<TargetCounters>): boolean => deltas.some(([, { failed, failedEarly }]) => failed + failedEarly > 0)

/** Merges what daemons of the own zone and other zones report of targets. */
export class FleetLedger {
  /** Daemons of the own zone by start id. */
  private readonly daemons = new Map<string, Source>()
  /** Other zones by name and reporting daemon. */
  private readonly zones = new Map<string, Source>()
  private readonly ownCondition: ConditionBook
  private readonly otherCondition: ConditionBook
  /** Mean squares: long requests hold the slots, so quick ones must not hide them. */
  private readonly latencies = new Map<string, RecentMean>()
  private readonly refusals = new Map<string, RefusalShare>()
  /** Sums of the own zone's outcomes since this ledger began. */
  private readonly totals = new Map<string, TargetCounters>()

  private constructor (private readonly clock: Clock) {
    this.ownCondition = ConditionBook.create(clock)
    this.otherCondition = ConditionBook.create(clock)
  }

  /**
   * Creates an empty ledger.
   *
   * @param clock - Source of time.
   * @returns The ledger.
   */
  static create (clock: Clock): FleetLedger {
    return new FleetLedger(clock)
  }

  /**
   * Takes a report of a daemon of the own zone.
   *
   * @param startId - Process that reports.
   * @param tallies - Tallies that changed, or all of them.
   * @param isFull - Whether they are all.
   * @param uptimeMs - Age of the process; all that a young one did is recent.
   * @returns Whether there are new failures.
   */
  takeDaemon (startId: string, tallies: PerTarget<TargetCounters>, isFull: boolean, uptimeMs = Infinity): boolean {
    const deltas = this.take(this.daemons, startId, tallies, isFull, uptimeMs)
    for (const [targetId, delta] of deltas) {
      this.totals.set(targetId, sum(this.totals.get(targetId) ?? EMPTY, delta))
      this.learn(this.ownCondition, targetId, delta)
    }
    return hasFailures(deltas)
  }

  /**
   * Takes the sums of another zone.
   *
   * @param zone - Zone and reporting process.
   * @param tallies - Sums that changed, or all of them.
   * @param isFull - Whether they are all.
   * @returns Whether there are new failures.
   */
  takeZone (zone: string, tallies: PerTarget<TargetCounters>, isFull: boolean): boolean {
    const deltas = this.take(this.zones, zone, tallies, isFull)
    for (const [targetId, delta] of deltas) this.learn(this.otherCondition, targetId, delta)
    return hasFailures(deltas)
  }

  /** Sums of the own zone, with its requests in progress now. */
  zoneTallies (): PerTarget<TargetCounters> {
    const inProgress = this.inProgressOf(this.daemons)
    const ids = new Set([...this.totals.keys(), ...inProgress.keys()])
    return [...ids].map(targetId => [targetId, { ...(this.totals.get(targetId) ?? EMPTY), inProgress: inProgress.get(targetId) ?? 0 }] as const)
  }

  /** What is known of each target that anybody reported on. */
  readings (): PerTarget<FleetTargetStats> {
    const nowMs = this.clock.monotonicMs()
    const own = this.inProgressOf(this.daemons)
    const others = this.inProgressOf(this.zones)
    const ids = new Set([...this.latencies.keys(), ...this.refusals.keys(), ...own.keys(), ...others.keys()])
    return [...ids].map(targetId => [targetId, {
      inProgress: (own.get(targetId) ?? 0) + (others.get(targetId) ?? 0),
      failingChance: joinChances(this.ownCondition.chance(targetId), this.otherCondition.chance(targetId)),
      refusalShare: refusalShareAt(this.refusals.get(targetId) ?? NO_REFUSALS, nowMs),
      latencyMs: Math.sqrt(this.latencies.get(targetId)?.mean ?? 0)
    }] as const)
  }

  /** Forgets a target that is gone or has started anew. */
  forget (targetId: string): void {
    this.ownCondition.forget(targetId)
    this.otherCondition.forget(targetId)
    this.latencies.delete(targetId)
    this.refusals.delete(targetId)
    this.totals.delete(targetId)
    for (const source of [...this.daemons.values(), ...this.zones.values()]) source.tallies.delete(targetId)
  }

  /** Drops sources that fell silent. */
  sweep (): void {
    const limitMs = this.clock.monotonicMs() - SILENT_MS
    for (const sources of [this.daemons, this.zones]) {
      for (const [name, { heardAtMs }] of sources) if (heardAtMs < limitMs) sources.delete(name)
    }
    this.ownCondition.sweep()
    this.otherCondition.sweep()
  }

  private take (sources: Map<string, Source>, name: string, tallies: PerTarget<TargetCounters>, isFull: boolean, uptimeMs = Infinity): PerTarget<TargetCounters> {
    const nowMs = this.clock.monotonicMs()
    const source = sources.get(name) ?? { tallies: new Map<string, TargetCounters>(), hasAll: false, heardAtMs: nowMs }
    sources.set(name, source)
    source.heardAtMs = nowMs
    // A tally of unknown beginning only sets where counting begins; after a full report, a new target's count begins at zero.
    const beginsAtZero = source.hasAll || uptimeMs < YOUNG_MS
    const deltas = tallies.flatMap(([targetId, tally]) => {
      const before = source.tallies.get(targetId) ?? (beginsAtZero ? EMPTY : undefined)
      return before === undefined ? [] : [[targetId, difference(tally, before)] as const]
    })
    for (const [targetId, tally] of tallies) source.tallies.set(targetId, tally)
    source.hasAll ||= isFull
    return deltas
  }

  private learn (condition: ConditionBook, targetId: string, { succeeded, failed, failedEarly, refused, latencySquares }: TargetCounters): void {
    const ended = succeeded + failed + failedEarly
    if (ended > 0) condition.observe(targetId, { succeeded, failed, failedEarly })
    if (succeeded > 0) this.latencies.set(targetId, addSamples(this.latencies.get(targetId) ?? NO_SAMPLES, latencySquares / succeeded, succeeded))
    if (refused + ended === 0) return
    const before = this.refusals.get(targetId) ?? NO_REFUSALS
    this.refusals.set(targetId, addOutcomes(before, { refused, accepted: ended }, this.clock.monotonicMs()))
  }

  private inProgressOf (sources: ReadonlyMap<string, Source>): ReadonlyMap<string, number> {
    const limitMs = this.clock.monotonicMs() - SILENT_MS
    const sums = new Map<string, number>()
    for (const { tallies, heardAtMs } of sources.values()) {
      if (heardAtMs < limitMs) continue
      for (const [targetId, { inProgress }] of tallies) if (inProgress > 0) sums.set(targetId, (sums.get(targetId) ?? 0) + inProgress)
    }
    return sums
  }
}
