import type { ClientAccount, Clock, Log, NewsMessage, NewsRow, NewsSource, NewsTopic, QuotaBounds, Random } from '@lovagehoist/common'
import { AccountCounters } from './accountCounters.js'
import { createQuotaLookup } from './accountQuota.js'
import type { QuotaLookup } from './accountQuota.js'
import { decodeRow, encodeReport, encodeView, encodeZone } from './allowanceRows.js'
import type { AllowanceRow } from './allowanceRows.js'
import { createFleetReach } from './fleetRole.js'
import type { FleetRole } from './fleetRole.js'
import { FractionAdmission } from './fractionAdmission.js'
import { LocalBuckets } from './localBucket.js'
import { RelayAllowances } from './relayAllowances.js'
import type { LimitedAccount } from './relayAllowances.js'

/** Identity of the daemon, its role, and the quotas in force. */
export interface AccountAllowancesOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly startId: string
  readonly availabilityZone: string
  readonly role: FleetRole
  /** Accounts of the configuration in force; undefined if it knows none. */
  readonly accounts: () => readonly ClientAccount[] | undefined
  readonly bounds: () => QuotaBounds
}

/** Decision on a request of an account. */
export type AllowanceDecision =
  /** `settle` says at the end whether a target ran the request; if none did, it is credited back. Later calls have no effect. */
  | { readonly type: 'admitted', readonly settle: (ran: boolean) => void }
  | { readonly type: 'over-allowance', readonly retryDelayMs: number }

/** State of the quotas as this daemon knows it. */
export interface AllowanceSummary {
  /** Whether this daemon applies its own share, since no relay is heard from. */
  readonly isLocal: boolean
  /** Number of limited accounts. */
  readonly limitedCount: number
  /** The limited accounts with the highest demand as a relay knows them; empty at other daemons. */
  readonly limited: readonly LimitedAccount[]
  /** Requests refused since the start of the process, by account; those of further accounts are counted together. */
  readonly refused: ReadonlyArray<readonly [account: string, count: number]>
}

/** Time without a relay's view after which this daemon applies its own share of the quotas. */
const MAX_VIEW_AGE_MS = 2_000
/** Time after the start in which counts are reported at once, and the time between two such reports. */
const EARLY_MS = 1_000
const EARLY_INTERVAL_MS = 50
/** Factor by which an account's demand may exceed its rate before its counts have been reported. */
const MAX_DEMAND_FACTOR = 5
const MAX_REPORT_DELAY_MS = 1_000
const MAX_SUMMARIZED = 20
/** Accounts whose refusals are counted by name, which bounds the label values of metrics. */
const MAX_COUNTED = 64
const OTHER_ACCOUNTS = '(other)'
const MS_PER_SECOND = 1_000
const TOPIC = 'accounts'

const unlimited: AllowanceDecision = { type: 'admitted', settle: () => {} }

/** Keeps the requests of each client account within its quota over all daemons together. */
export class AccountAllowances {
  readonly news: NewsTopic
  private readonly counters: AccountCounters
  private readonly fractions: FractionAdmission
  private readonly localBuckets: LocalBuckets
  private readonly relay: RelayAllowances
  private readonly quotaOf: QuotaLookup
  private readonly startedAtMs: number
  private notify: (isUrgent: boolean) => void = () => {}
  private isLocal = false
  private lastEarlyAtMs = -Infinity
  private readonly refused = new Map<string, number>()

  private constructor (private readonly options: AccountAllowancesOptions) {
    const { clock, random, log, role, availabilityZone } = options
    this.startedAtMs = clock.monotonicMs()
    this.counters = AccountCounters.create(clock)
    this.fractions = FractionAdmission.create(clock, random)
    this.localBuckets = LocalBuckets.create(clock, role.knownDaemons)
    this.quotaOf = createQuotaLookup(options.accounts, options.bounds)
    this.relay = RelayAllowances.create({ clock, log, quotaOf: this.quotaOf, reach: createFleetReach(role, availabilityZone, clock.monotonicMs), isFirstRelay: () => role.relayRank() === 0, isRelay: () => role.relayRank() >= 0 })
    this.news = { name: TOPIC, isRepeated: true, onChange: listener => { this.notify = listener }, collect: (message, isFull) => this.collect(message, isFull), apply: (rows, source) => this.apply(rows, source) }
  }

  /**
   * Creates the allowances of a daemon that knows no usage.
   *
   * @param options - Identity, role and quotas.
   * @returns The allowances.
   */
  static create (options: AccountAllowancesOptions): AccountAllowances {
    return new AccountAllowances(options)
  }

  /**
   * Decides whether a request of an account is within the quota.
   *
   * @param account - Account of the request.
   * @returns The decision; a refused request may return after the delay.
   */
  admit ({ name }: ClientAccount): AllowanceDecision {
    const quota = this.quotaOf(name)
    if (quota === undefined) return unlimited
    this.counters.recordDemand(name)
    this.reportEarly()
    const retryDelayMs = this.appliesOwnShare() ? this.localBuckets.take(name, quota) : this.fractions.take(name)
    if (retryDelayMs > 0) {
      this.countRefused(name)
      // Refused requests change nothing else that is reported.
      this.notify(false)
      return { type: 'over-allowance', retryDelayMs }
    }
    this.counters.recordAdmitted(name, 1)
    return { type: 'admitted', settle: this.createSettle(name) }
  }

  /** Returns the state for metrics and dumps. */
  summarize (): AllowanceSummary {
    const limited = this.relay.limited()
    return { isLocal: this.isLocal, limitedCount: Math.max(limited.length, this.fractions.countLimited()), limited: limited.slice(0, MAX_SUMMARIZED), refused: [...this.refused] }
  }

  private countRefused (account: string): void {
    const label = this.refused.has(account) || this.refused.size < MAX_COUNTED ? account : OTHER_ACCOUNTS
    this.refused.set(label, (this.refused.get(label) ?? 0) + 1)
  }

  /** Reports at once just after the start: where all daemons have restarted, no relay knows any demand yet. */
  private reportEarly (): void {
    const nowMs = this.options.clock.monotonicMs()
    if (nowMs - this.startedAtMs > EARLY_MS || nowMs - this.lastEarlyAtMs < EARLY_INTERVAL_MS) return
    this.lastEarlyAtMs = nowMs
    this.notify(true)
  }

  private createSettle (account: string): (ran: boolean) => void {
    let isSettled = false
    return ran => {
      if (!isSettled && !ran) this.counters.recordAdmitted(account, -1)
      isSettled = true
    }
  }

  private appliesOwnShare (): boolean {
    const { viewAgeMs, relayRank } = this.options.role
    const isLocal = viewAgeMs() > MAX_VIEW_AGE_MS && relayRank() < 0
    if (!isLocal && this.isLocal) this.localBuckets.clear()
    this.isLocal = isLocal
    return isLocal
  }

  private readonly collectors: Readonly<Record<NewsMessage, (isFull: boolean) => readonly NewsRow[]>> = {
    report: isFull => this.collectReport(isFull),
    zone: () => encodeZone({ zone: this.options.availabilityZone, startId: this.options.startId, uptimeMs: this.uptimeMs(), usages: this.relay.zoneUsages() }),
    // Daemons that lost messages of the relays report to others, which know too little to decide.
    view: () => this.options.role.relayRank() < 0 ? [] : encodeView(this.options.startId, this.refreshFractions())
  }

  private collect (message: NewsMessage, isFull: boolean): readonly NewsRow[] {
    return this.options.accounts() === undefined ? [] : this.collectors[message](isFull)
  }

  private collectReport (isFull: boolean): readonly NewsRow[] {
    const report = { startId: this.options.startId, uptimeMs: this.uptimeMs(), counts: this.counters.collect(isFull, account => this.reportDelayMs(account)) }
    if (this.options.role.relayRank() >= 0) {
      // A relay does not receive its own report.
      if (this.relay.applyReport(report)) this.notify(true)
      this.refreshFractions()
    } else this.fractions.forget(this.options.startId)
    return encodeReport(report)
  }

  /** Time for which an account's counts may be unknown to the relay even if its demand rises meanwhile. */
  private reportDelayMs (account: string): number {
    const quota = this.quotaOf(account)
    return quota === undefined ? Infinity : Math.min(MAX_REPORT_DELAY_MS, quota.unknownRequests / (MAX_DEMAND_FACTOR * quota.perSecond) * MS_PER_SECOND)
  }

  private refreshFractions (): ReturnType<RelayAllowances['fractions']> {
    const fractions = this.relay.fractions()
    for (const fraction of fractions) this.fractions.set(this.options.startId, fraction)
    return fractions
  }

  private readonly handlers: { readonly [Type in AllowanceRow['type']]: (row: Extract<AllowanceRow, { readonly type: Type }>) => boolean } = {
    report: ({ report }) => this.relay.applyReport(report),
    zone: ({ report }) => report.zone !== this.options.availabilityZone && this.relay.applyZone(report),
    view: ({ startId, fractions }) => {
      for (const fraction of fractions) if (this.quotaOf(fraction.account) !== undefined) this.fractions.set(startId, fraction)
      return false
    }
  }

  private apply (rows: readonly NewsRow[], _source: NewsSource): boolean {
    if (this.options.accounts() === undefined) return false
    let isUrgent = false
    for (const row of rows) {
      const decoded = decodeRow(row)
      if (decoded === undefined) continue
      const handle = this.handlers[decoded.type] as (row: AllowanceRow) => boolean
      isUrgent = handle(decoded) || isUrgent
    }
    return isUrgent
  }

  private uptimeMs (): number {
    return this.options.clock.monotonicMs() - this.startedAtMs
  }
}
