import type { AccountQuota } from './accountQuota.js'
import { DemandRate } from './demandRate.js'
import type { AdmittedFraction } from './fractionAdmission.js'
import { RemoteUsage } from './zoneUsage.js'
import type { ZoneReport, ZoneUsage } from './zoneUsage.js'

/** Which parts of the fleet the relay hears from. */
export interface FleetReach {
  /** Zones of the deployment, the relay's own included. */
  readonly zones: number
  /** Other zones that are heard from; those that fell silent lately are in it unless the account needs recent counts. */
  readonly heardZones: (needsRecent: boolean) => readonly string[]
  /** Whether all of them were heard from within the last moments. */
  readonly isRecent: () => boolean
  /** Part of the own zone that reports to the relay, from 0 to 1. */
  readonly ownPart: () => number
}

/** State at the last moment at which all zones were heard from or the bucket was full: what would have been added to a full one is lost. */
interface Snapshot {
  readonly atMs: number
  readonly level: number
  readonly ownDrained: number
  readonly remoteDrained: ReadonlyMap<string, number>
}

const MS_PER_SECOND = 1_000
/** Time in which a level above or below zero is spent or made up for; below the delay of the feedback it would oscillate. */
const LEVEL_SPREAD_S = 1
/** Time for which an account has been near its limit from which silent zones count as cut off early, since all zones tell their usage of it every 0.2 s. */
const SETTLED_MS = 400
/** Time for which a zone tells its usage urgently after another one did. */
const ANSWER_MS = 600
/** Zones tell their usage for this long after it was last needed, so that the others learn of its end. */
const SHARED_LINGER_MS = 2_000
/** Part of the difference to another zone's lower level that a relay makes up with each report, and the difference, as a part of the depth, that is left. */
const LEVEL_CONVERGENCE = 0.3
const LEVEL_TOLERANCE = 0.1
const MAX_SNAPSHOT_AGE_MS = 5_000
/** Part of the depth from which a bucket counts as full. */
const FULL_PART = 0.97
/** Part of the depth below which a level shows that the account may soon be limited; accounts of few requests reach half of it by chance. */
const NEAR_LEVEL_DIVISOR = 4
/** Factor of the zone's equal share from which its usage is told at once. */
const URGENT_SHARE_FACTOR = 2

/** Token bucket of one account over the whole fleet, as the relay of one zone knows it; its level may fall below zero. */
export class AccountBucket {
  private readonly ownDemand: DemandRate
  private ownDrained = 0
  private readonly remotes = new Map<string, RemoteUsage>()
  private share: number | undefined
  private snapshot: Snapshot | undefined
  private latestFraction = 1
  private nearSinceMs: number | undefined
  private answersUntilMs = -Infinity
  private sharedUntilMs = -Infinity

  private constructor (readonly account: string, private quota: AccountQuota, private level: number, private updatedAtMs: number) {
    this.ownDemand = DemandRate.create(updatedAtMs)
  }

  /**
   * Creates a bucket.
   *
   * @param account - Name of the account.
   * @param quota - Quota in force.
   * @param knownForMs - Time since which the relay would have heard of requests of the account.
   * @param nowMs - Monotonic time.
   */
  static create (account: string, quota: AccountQuota, knownForMs: number, nowMs: number): AccountBucket {
    const level = Math.min(quota.depth, quota.initialLevel + quota.perSecond * knownForMs / MS_PER_SECOND)
    return new AccountBucket(account, quota, level, nowMs)
  }

  /** Share of the requests that is admitted. */
  get fraction (): number {
    return this.latestFraction
  }

  /** Applies the quota in force; a lowered one takes effect at once. */
  setQuota (quota: AccountQuota): void {
    this.quota = quota
  }

  /** Counts requests at daemons of the own zone. */
  addOwn (demanded: number, admitted: number, nowMs: number, reach: FleetReach): void {
    this.advance(nowMs, reach)
    this.ownDemand.add(demanded, nowMs)
    this.ownDrained += admitted
    this.level -= admitted
    this.evaluate(nowMs, reach)
  }

  /** Counts requests in another zone. */
  addRemote (report: ZoneReport, usage: ZoneUsage, nowMs: number, reach: FleetReach): void {
    this.advance(nowMs, reach)
    const remote = this.remotes.get(report.zone) ?? RemoteUsage.create()
    this.remotes.set(report.zone, remote)
    this.level -= remote.apply(report, usage, nowMs, this.latestFraction)
    // A relay that has just started knows less debt than the others.
    if (this.share === 1 && usage.level < this.level - LEVEL_TOLERANCE * this.quota.depth - this.quota.unknownRequests) this.level += LEVEL_CONVERGENCE * (usage.level - this.level)
    if (this.isNear(usage.demandPerSecond, usage.level, reach)) this.answersUntilMs = nowMs + ANSWER_MS
    this.evaluate(nowMs, reach)
  }

  /** Brings the level and the fraction up to date. */
  refresh (nowMs: number, reach: FleetReach): void {
    this.advance(nowMs, reach)
    this.evaluate(nowMs, reach)
  }

  /** Whether the bucket may be dropped: it is full, and nobody uses the account. */
  isIdle (nowMs: number): boolean {
    return this.latestFraction === 1 && this.level >= this.quota.depth && this.ownDemand.perSecond(nowMs) === 0
  }

  /** Whether other zones need to know the usage in this one. */
  isShared (nowMs: number): boolean {
    return nowMs <= this.sharedUntilMs
  }

  /** Whether other zones need to know it at once. */
  isUrgent (nowMs: number): boolean {
    return this.nearSinceMs !== undefined || nowMs <= this.answersUntilMs
  }

  /** Usage of the own zone. */
  usage (nowMs: number): ZoneUsage {
    return { account: this.account, demandPerSecond: this.ownDemand.perSecond(nowMs), admitted: this.ownDrained, level: this.level }
  }

  /** What the daemons of the zone admit, and when refused callers may return. */
  admitted (nowMs: number, reach: FleetReach): AdmittedFraction & { readonly demandPerSecond: number, readonly level: number } {
    const rate = (this.share ?? 1) * this.quota.perSecond
    const demandPerSecond = this.demand(nowMs, reach)
    const refusedPerSecond = (1 - this.latestFraction) * demandPerSecond
    const retryDelayMs = Math.min(this.quota.windowMs, (1 + Math.max(0, -this.level) + refusedPerSecond) / rate * MS_PER_SECOND)
    return { account: this.account, fraction: this.latestFraction, retryDelayMs, demandPerSecond, level: this.level }
  }

  /** Whether the demand and the level of one zone show that the account may soon be limited. */
  private isNear (ownDemand: number, level: number, reach: FleetReach): boolean {
    const { perSecond, depth, unknownRequests } = this.quota
    return level < (this.share ?? 1) * depth / NEAR_LEVEL_DIVISOR || ownDemand > URGENT_SHARE_FACTOR * perSecond / reach.zones + unknownRequests
  }

  private demand (nowMs: number, reach: FleetReach): number {
    return this.heardRemotes(nowMs, reach).reduce((sum, [, remote]) => sum + remote.perSecond(nowMs), this.ownDemand.perSecond(nowMs))
  }

  private heardRemotes (nowMs: number, reach: FleetReach): ReadonlyArray<readonly [string, RemoteUsage]> {
    if (this.remotes.size === 0) return []
    const heard = reach.heardZones(this.needsRecent(nowMs))
    return [...this.remotes].filter(([zone]) => heard.includes(zone))
  }

  private needsRecent (nowMs: number): boolean {
    return this.nearSinceMs !== undefined && nowMs - this.nearSinceMs >= SETTLED_MS
  }

  private advance (nowMs: number, reach: FleetReach): void {
    this.applyShare(nowMs, reach)
    const share = this.share ?? 1
    let change = share * this.quota.perSecond * (nowMs - this.updatedAtMs) / MS_PER_SECOND
    for (const [, remote] of this.heardRemotes(nowMs, reach)) change -= remote.advance(this.updatedAtMs, nowMs, this.latestFraction)
    this.level = Math.max(-this.quota.perSecond * this.quota.windowMs / MS_PER_SECOND, Math.min(share * this.quota.depth, this.level + change))
    this.updatedAtMs = nowMs
    if (reach.isRecent() || this.level >= FULL_PART * share * this.quota.depth) this.snapshot = { atMs: nowMs, level: this.level, ownDrained: this.ownDrained, remoteDrained: new Map([...this.remotes].map(([zone, { drained }]) => [zone, drained])) }
  }

  /** Follows the share of the fleet that this relay decides for; what happened since silent zones were last heard from counts against the smaller share. */
  private applyShare (nowMs: number, reach: FleetReach): void {
    const heard = reach.heardZones(this.needsRecent(nowMs))
    const share = (reach.ownPart() + heard.length) / reach.zones
    const previous = this.share
    this.share = share
    if (previous === undefined || share === previous) return
    if (share > previous) {
      // Zones that come back have spent about as much as this one while nobody knew of the others.
      this.level = Math.min(this.level, this.level * share / previous)
      return
    }
    const { snapshot } = this
    const ratio = share / previous
    if (snapshot === undefined || nowMs - snapshot.atMs > MAX_SNAPSHOT_AGE_MS) {
      this.level = Math.min(this.level, this.level * ratio)
      return
    }
    const remoteDrained = [...this.remotes].filter(([zone]) => heard.includes(zone)).reduce((sum, [zone, remote]) => sum + remote.drained - (snapshot.remoteDrained.get(zone) ?? 0), 0)
    this.level = snapshot.level * ratio + share * this.quota.perSecond * (this.updatedAtMs - snapshot.atMs) / MS_PER_SECOND - remoteDrained - (this.ownDrained - snapshot.ownDrained)
  }

  private evaluate (nowMs: number, reach: FleetReach): void {
    const { perSecond, unknownRequests } = this.quota
    const share = this.share ?? 1
    const demand = this.demand(nowMs, reach)
    const capacity = Math.max(0, share * perSecond + this.level / LEVEL_SPREAD_S)
    this.latestFraction = demand <= capacity ? 1 : capacity / demand
    const own = this.ownDemand.perSecond(nowMs)
    const isNear = this.latestFraction < 1 || demand > perSecond + unknownRequests || this.isNear(own, this.level, reach)
    if (!isNear) this.nearSinceMs = undefined
    else this.nearSinceMs ??= nowMs
    if (isNear || nowMs <= this.answersUntilMs || own > perSecond / reach.zones + unknownRequests) this.sharedUntilMs = nowMs + SHARED_LINGER_MS
  }
}
