import type { Clock, Log } from '@lovagehoist/common'
import { AccountBucket } from './accountBucket.js'
import type { FleetReach } from './accountBucket.js'
import type { QuotaLookup } from './accountQuota.js'
import { DaemonCounts } from './daemonCounts.js'
import type { DaemonReport } from './daemonCounts.js'
import type { AdmittedFraction } from './fractionAdmission.js'
import type { ZoneReport, ZoneUsage } from './zoneUsage.js'

/** A limited account, for operators. */
export interface LimitedAccount extends AdmittedFraction {
  readonly demandPerSecond: number
  /** Level of the token bucket. */
  readonly level: number
}

/** Sources of the relay's part. */
export interface RelayAllowancesOptions {
  readonly clock: Clock
  readonly log: Log
  readonly quotaOf: QuotaLookup
  readonly reach: FleetReach
  /** Whether this daemon is the first relay of its zone. */
  readonly isFirstRelay: () => boolean
  /** Whether it is a relay at all; the standby relay tells daemons too, in case the first one has just been lost. */
  readonly isRelay: () => boolean
}

interface Limitation {
  lastLimitedAtMs: number
  /** Fraction that daemons were told last. */
  toldFraction: number
}

/** Time without reports after which a daemon counts as one that was no relay: what it knew is too old. */
const MAX_PAUSE_MS = 2_000
/** Time without reports from which fractions are not told: a daemon that is no longer a relay knows too little. */
const MAX_REPORT_AGE_MS = 500
/** Minimum time between two urgent messages about accounts. */
const URGENT_INTERVAL_MS = 200
/** Time for which daemons are told that an account is no longer limited; longer than they keep a fraction. */
const RELEASE_MS = 2_500
const SWEEP_INTERVAL_MS = 2_000
/** Relative change of a fraction that is sent at once. */
const URGENT_CHANGE = 0.2

/** The part of a zone's relays: sums the counts of daemons and zones and derives the fraction of each account that daemons admit. */
export class RelayAllowances {
  private counts: DaemonCounts
  private readonly buckets = new Map<string, AccountBucket>()
  private readonly limitations = new Map<string, Limitation>()
  private countingSinceMs: number
  private lastReportAtMs: number
  private lastUrgentAtMs = -Infinity
  private sweptAtMs = -Infinity

  private constructor (private readonly options: RelayAllowancesOptions) {
    this.counts = DaemonCounts.create(options.clock)
    this.countingSinceMs = options.clock.monotonicMs()
    this.lastReportAtMs = this.countingSinceMs
  }

  /**
   * Creates the part of a relay that knows nothing.
   *
   * @param options - Sources of quotas and of the role in the fleet.
   */
  static create (options: RelayAllowancesOptions): RelayAllowances {
    return new RelayAllowances(options)
  }

  /** Applies the counts of a daemon of the zone; returns whether others should learn of the result at once. */
  applyReport (report: DaemonReport): boolean {
    const nowMs = this.options.clock.monotonicMs()
    if (nowMs - this.lastReportAtMs > MAX_PAUSE_MS) this.restart(nowMs)
    this.lastReportAtMs = nowMs
    let isUrgent = false
    for (const { account, demanded, admitted } of this.counts.apply(report)) {
      const bucket = this.bucketOf(account, nowMs)
      if (bucket === undefined) continue
      bucket.addOwn(demanded, admitted, nowMs, this.options.reach)
      isUrgent = this.follow(bucket, nowMs) || isUrgent
    }
    return isUrgent && this.claimUrgent(nowMs)
  }

  /** Applies the usage of another zone; returns whether others should learn of the result at once. */
  applyZone (report: ZoneReport): boolean {
    const nowMs = this.options.clock.monotonicMs()
    let isUrgent = false
    for (const usage of report.usages) {
      const bucket = this.bucketOf(usage.account, nowMs)
      if (bucket === undefined) continue
      bucket.addRemote(report, usage, nowMs, this.options.reach)
      isUrgent = this.follow(bucket, nowMs) || isUrgent
    }
    return isUrgent && this.claimUrgent(nowMs)
  }

  /** Usage of this zone that other zones need to know. */
  zoneUsages (): readonly ZoneUsage[] {
    const nowMs = this.options.clock.monotonicMs()
    this.sweep(nowMs)
    return [...this.buckets.values()].filter(bucket => bucket.isShared(nowMs)).map(bucket => bucket.usage(nowMs))
  }

  /** Fractions of the accounts that are limited, and of those that were until lately. */
  fractions (): readonly AdmittedFraction[] {
    const nowMs = this.options.clock.monotonicMs()
    if (nowMs - this.lastReportAtMs > MAX_REPORT_AGE_MS) return []
    const fractions: AdmittedFraction[] = []
    for (const [account, limitation] of this.limitations) {
      const bucket = this.buckets.get(account)
      if (bucket === undefined) {
        this.limitations.delete(account)
        continue
      }
      bucket.refresh(nowMs, this.options.reach)
      this.follow(bucket, nowMs)
      limitation.toldFraction = bucket.fraction
      fractions.push(bucket.admitted(nowMs, this.options.reach))
      if (nowMs - limitation.lastLimitedAtMs > RELEASE_MS) this.release(account)
    }
    return fractions
  }

  /** Accounts that are limited now, those with the highest demand first. */
  limited (): readonly LimitedAccount[] {
    const nowMs = this.options.clock.monotonicMs()
    return [...this.limitations.keys()].flatMap(account => this.buckets.get(account)?.admitted(nowMs, this.options.reach) ?? [])
      .filter(({ fraction }) => fraction < 1)
      .sort((a, b) => b.demandPerSecond - a.demandPerSecond)
  }

  private bucketOf (account: string, nowMs: number): AccountBucket | undefined {
    const quota = this.options.quotaOf(account)
    const known = this.buckets.get(account)
    if (quota === undefined) {
      this.buckets.delete(account)
      return undefined
    }
    if (known !== undefined) {
      known.setQuota(quota)
      return known
    }
    const bucket = AccountBucket.create(account, quota, nowMs - this.countingSinceMs, nowMs)
    this.buckets.set(account, bucket)
    return bucket
  }

  /** Follows the regime of an account; returns whether others should learn of it at once. */
  private follow (bucket: AccountBucket, nowMs: number): boolean {
    const { account, fraction } = bucket
    const limitation = this.limitations.get(account)
    if (fraction < 1) {
      if (limitation === undefined) this.limit(bucket, nowMs)
      else limitation.lastLimitedAtMs = nowMs
    }
    const told = limitation?.toldFraction ?? 1
    return Math.abs(fraction - told) > URGENT_CHANGE * told || bucket.isUrgent(nowMs)
  }

  private limit (bucket: AccountBucket, nowMs: number): void {
    this.limitations.set(bucket.account, { lastLimitedAtMs: nowMs, toldFraction: 1 })
    if (!this.options.isFirstRelay()) return
    const { fraction, demandPerSecond, level: tokens } = bucket.admitted(nowMs, this.options.reach)
    this.options.log.info('account limited to its quota', { account: bucket.account, fraction, demandPerSecond, tokens })
  }

  private release (account: string): void {
    this.limitations.delete(account)
    if (this.options.isFirstRelay()) this.options.log.info('account within its quota again', { account })
  }

  private claimUrgent (nowMs: number): boolean {
    if (nowMs - this.lastUrgentAtMs < URGENT_INTERVAL_MS || !this.options.isRelay()) return false
    this.lastUrgentAtMs = nowMs
    return true
  }

  private restart (nowMs: number): void {
    this.counts = DaemonCounts.create(this.options.clock)
    this.countingSinceMs = nowMs
    this.buckets.clear()
    this.limitations.clear()
  }

  private sweep (nowMs: number): void {
    if (nowMs - this.sweptAtMs < SWEEP_INTERVAL_MS) return
    this.sweptAtMs = nowMs
    for (const [account, bucket] of this.buckets) if (!this.limitations.has(account) && bucket.isIdle(nowMs)) this.buckets.delete(account)
  }
}
