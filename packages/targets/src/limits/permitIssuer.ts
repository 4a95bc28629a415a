import type { Clock, IssuerRole, LimitReport, PerTarget, PermitGrants, ServiceDemand, SettledPermits } from '@lovagehoist/common'
import { PERMIT_LIFETIME_MS } from './permitHolder.js'

/** A limited target with its service. */
export interface LimitedServiceTarget {
  readonly targetId: string
  readonly service: string
  readonly perSecond: number
}

/** Permits of a target. */
interface Pool {
  /** Whole and partial permits that have not been issued. */
  available: number
  updatedAtMs: number
  /** Issued permits whose use is not reported yet, oldest first. */
  outstanding: ReadonlyArray<{ readonly startId: string, readonly issuedAtMs: number }>
}

interface DemandReport {
  readonly demand: ReadonlyMap<string, number>
  readonly receivedAtMs: number
}

/** Targets with a lower limit still get requests at this rate, since only their answers show when the limit ends. */
const MIN_RATE_PER_SECOND = 0.25
/** Unused permits of a target, outstanding ones included, are at most one and what arises in this time; more would be used in a burst. */
const UNUSED_PERMITS_MS = 1_500
/** Time after which an outstanding permit counts as used: its lifetime, and the time in which that is reported. */
const OUTSTANDING_TTL_MS = PERMIT_LIFETIME_MS + 1_500
/** The rate of a target exceeds the demand of the zone by at most this factor, plus one permit per second. */
const MAX_DEMAND_RATIO = 1.5
/** Added to each demand, so that daemons and zones without recent requests get a few permits. */
const MIN_DEMAND = 0.05
const DAEMON_REPORT_TTL_MS = 2_500
/** Time after which the share of a zone that is silent falls to the others. */
const ZONE_REPORT_TTL_MS = 5_000
const MS_PER_SECOND = 1_000

/**
 * Issues the permits of one zone. Each zone takes a share of a target's limit in proportion to its demand, and deals it out to its daemons in
 * proportion to theirs. A permit is used once or returned, so the requests of all daemons stay within the limit.
 */
export class PermitIssuer {
  private readonly daemons = new Map<string, DemandReport & { readonly settled: ReadonlyMap<string, SettledPermits> }>()
  private readonly zones = new Map<string, DemandReport>()
  private readonly pools = new Map<string, Pool>()
  /** Share of a permit that each daemon is owed, by service and start ID. */
  private readonly credits = new Map<string, Map<string, number>>()
  private readonly startedAtMs: number

  private constructor (private readonly clock: Clock, private readonly zone: string) {
    this.startedAtMs = clock.monotonicMs()
  }

  /**
   * Creates an issuer that knows no demand.
   *
   * @param clock - Source of time.
   * @param zone - Availability zone whose permits it issues.
   * @returns The issuer.
   */
  static create (clock: Clock, zone: string): PermitIssuer {
    return new PermitIssuer(clock, zone)
  }

  /**
   * Applies the report of a daemon of the zone.
   *
   * @param startId - Start ID of the daemon.
   * @param report - Its demand, and what became of its permits.
   */
  applyReport (startId: string, { demand, settled }: LimitReport): void {
    const before = this.daemons.get(startId)?.settled
    this.daemons.set(startId, { demand: new Map(demand), settled: new Map([...before ?? [], ...settled]), receivedAtMs: this.clock.monotonicMs() })
    this.settlePermits(startId, before ?? new Map<string, SettledPermits>(), settled)
  }

  /** Applies the demand of another zone. */
  applyZoneDemand (zone: string, demand: ServiceDemand): void {
    this.zones.set(zone, { demand: new Map(demand), receivedAtMs: this.clock.monotonicMs() })
  }

  /** Requests per second of the daemons of this zone, by service. */
  ownZoneDemand (): ServiceDemand {
    const totals = new Map<string, number>()
    for (const { demand } of this.recentDaemons().values()) for (const [service, perSecond] of demand) totals.set(service, (totals.get(service) ?? 0) + perSecond)
    return [...totals]
  }

  /**
   * Issues the permits that have become due.
   *
   * @param targets - Targets that name a limit.
   * @param role - Daemons of the zone, known zones, and whether this daemon issues at all.
   * @returns Permits by daemon and target.
   */
  issue (targets: readonly LimitedServiceTarget[], { isIssuer, reporters, zones }: Pick<IssuerRole, 'isIssuer' | 'reporters' | 'zones'>): PermitGrants {
    const limitedIds = new Set(targets.map(({ targetId }) => targetId))
    for (const targetId of this.pools.keys()) if (!isIssuer || !limitedIds.has(targetId)) this.pools.delete(targetId)
    if (!isIssuer || reporters.length === 0) return []
    const ownDemand = new Map(this.ownZoneDemand())
    const counts = new Map<string, { readonly startId: string, readonly targetId: string, count: number }>()
    for (const target of targets) {
      const rate = this.zoneRate(target, ownDemand.get(target.service) ?? 0, zones)
      const pool = this.refill(target.targetId, rate)
      for (; pool.available >= 1; pool.available--) {
        const startId = this.nextDaemon(target.service, reporters)
        pool.outstanding = [...pool.outstanding, { startId, issuedAtMs: this.clock.monotonicMs() }]
        const key = `${startId} ${target.targetId}`
        const grant = counts.get(key) ?? { startId, targetId: target.targetId, count: 0 }
        grant.count++
        counts.set(key, grant)
      }
    }
    return [...counts.values()].map(({ startId, targetId, count }) => [startId, targetId, count])
  }

  /** Share of a target's limit that this zone issues, in requests per second. */
  private zoneRate ({ service, perSecond }: LimitedServiceTarget, ownDemand: number, zones: readonly string[]): number {
    const nowMs = this.clock.monotonicMs()
    const others = zones.filter(zone => zone !== this.zone).map(zone => {
      const report = this.zones.get(zone)
      if (nowMs - (report?.receivedAtMs ?? this.startedAtMs) > ZONE_REPORT_TTL_MS) return 0
      return (report === undefined ? ownDemand : report.demand.get(service) ?? 0) + MIN_DEMAND
    })
    const own = ownDemand + MIN_DEMAND
    const share = own / others.reduce((sum, demand) => sum + demand, own)
    return share * Math.max(MIN_RATE_PER_SECOND, Math.min(perSecond, 1 + MAX_DEMAND_RATIO * ownDemand / share))
  }

  private refill (targetId: string, rate: number): Pool {
    const nowMs = this.clock.monotonicMs()
    const pool = this.pools.get(targetId) ?? { available: 0, updatedAtMs: nowMs, outstanding: [] }
    pool.outstanding = pool.outstanding.filter(({ issuedAtMs }) => nowMs - issuedAtMs < OUTSTANDING_TTL_MS)
    const maxAvailable = Math.max(0, 1 + (rate * UNUSED_PERMITS_MS) / MS_PER_SECOND - pool.outstanding.length)
    pool.available = Math.min(maxAvailable, pool.available + rate * (nowMs - pool.updatedAtMs) / MS_PER_SECOND)
    pool.updatedAtMs = nowMs
    this.pools.set(targetId, pool)
    return pool
  }

  /** Removes permits from the outstanding ones that a daemon used or let expire, and takes the latter back. */
  private settlePermits (startId: string, before: ReadonlyMap<string, SettledPermits>, settled: PerTarget<SettledPermits>): void {
    for (const [targetId, { used, unused }] of settled) {
      const pool = this.pools.get(targetId)
      if (pool === undefined) continue
      const known = before.get(targetId) ?? { used: 0, unused: 0 }
      let settledCount = Math.max(0, used - known.used) + Math.max(0, unused - known.unused)
      pool.outstanding = pool.outstanding.filter(permit => permit.startId !== startId || settledCount-- <= 0)
      pool.available += Math.max(0, unused - known.unused)
    }
  }

  /** Chooses the daemon that is owed most, by smooth weighted round robin over the daemons' demand. */
  private nextDaemon (service: string, reporters: readonly string[]): string {
    const credits = this.credits.get(service) ?? new Map<string, number>()
    this.credits.set(service, credits)
    for (const startId of credits.keys()) if (!reporters.includes(startId)) credits.delete(startId)
    const weights = reporters.map(startId => (this.daemons.get(startId)?.demand.get(service) ?? 0) + MIN_DEMAND)
    const total = weights.reduce((sum, weight) => sum + weight, 0)
    reporters.forEach((startId, index) => { credits.set(startId, (credits.get(startId) ?? 0) + (weights[index] ?? 0) / total) })
    const chosen = reporters.reduce((best, startId) => (credits.get(startId) ?? 0) > (credits.get(best) ?? 0) ? startId : best, reporters[0] ?? '')
    credits.set(chosen, (credits.get(chosen) ?? 0) - 1)
    return chosen
  }

  private recentDaemons (): ReadonlyMap<string, DemandReport> {
    const oldestMs = this.clock.monotonicMs() - DAEMON_REPORT_TTL_MS
    for (const [startId, { receivedAtMs }] of this.daemons) if (receivedAtMs < oldestMs) this.daemons.delete(startId)
    return this.daemons
  }
}
