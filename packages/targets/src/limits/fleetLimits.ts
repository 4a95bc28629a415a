import type { Clock, IssuerRole, LimitExchange, LimitReport, LimitView, Log, Random, RawHeaders, ZoneLimits } from '@lovagehoist/common'
import { EventRates } from './eventRates.js'
import { parseLimit } from './parseLimit.js'
import { PermitHolder } from './permitHolder.js'
import { PermitIssuer } from './permitIssuer.js'
import { TargetLimits } from './targetLimits.js'
import type { LimitOrigin } from './targetLimits.js'

/** Identity of the daemon and its sources. */
export interface FleetLimitsOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly startId: string
  readonly availabilityZone: string
  /** Name of the header field, in lower case, in which targets name their limit. */
  readonly headerName: string
  /** Looks up the service of a listed target. */
  readonly serviceOf: (targetId: string) => string | undefined
}

const OWN_ORIGINS: ReadonlySet<LimitOrigin> = new Set(['own'])
const ZONE_ORIGINS: ReadonlySet<LimitOrigin> = new Set(['own', 'zone'])
const ALL_ORIGINS: ReadonlySet<LimitOrigin> = new Set(['own', 'zone', 'fleet'])
/** Each exchange covers a little more time than has passed since the previous one, in case a datagram was lost. */
const EXCHANGE_OVERLAP_MS = 300
/** Bounds of the delay after which refused callers may return; a returning caller gets a random delay between them. */
const MIN_RETRY_DELAY_MS = 250
const MAX_RETRY_DELAY_MS = 5_000
const MIN_PERMIT_RATE = 0.1
const MS_PER_SECOND = 1_000

/** Keeps the requests of the whole fleet within the limits that targets name; each request to a limited target needs a permit. */
export class FleetLimits implements LimitExchange {
  readonly targetLimits: TargetLimits
  private readonly permits: PermitHolder
  private readonly issuer: PermitIssuer
  private readonly demand: EventRates
  private readonly refusals: EventRates
  private readonly received: EventRates
  private readonly collectedAtMs = { report: -Infinity, zone: -Infinity, view: -Infinity }
  private readonly knownReporters = new Set<string>()

  private constructor (private readonly options: FleetLimitsOptions) {
    const { clock, log, availabilityZone } = options
    this.targetLimits = TargetLimits.create(clock, log)
    this.permits = PermitHolder.create(clock)
    this.issuer = PermitIssuer.create(clock, availabilityZone)
    this.demand = EventRates.create(clock)
    this.refusals = EventRates.create(clock)
    this.received = EventRates.create(clock)
  }

  /**
   * Creates the limits of a daemon that knows none.
   *
   * @param options - Identity of the daemon and its sources.
   * @returns The limits.
   */
  static create (options: FleetLimitsOptions): FleetLimits {
    return new FleetLimits(options)
  }

  /** Records the head of an answer that is known to come from the target. */
  readonly recordAnswer = (targetId: string, headers: RawHeaders, sentAtMs: number): void => {
    this.targetLimits.recordAnswer(targetId, parseLimit(headers, this.options.headerName), sentAtMs)
  }

  /** Counts a caller's request to a service, whatever becomes of it. */
  recordDemand (service: string): void {
    this.demand.record(service)
  }

  /** Whether a request may be sent to a target: it names no limit, or there is a permit. */
  allows (targetId: string, isOutranked: boolean): boolean {
    return this.targetLimits.limitOf(targetId) === undefined || this.permits.has(targetId, isOutranked)
  }

  /** Uses a permit if the target names a limit. */
  recordSent (targetId: string): void {
    if (this.targetLimits.limitOf(targetId) !== undefined) this.permits.spend(targetId)
  }

  /**
   * Counts a request that found only limited targets without permits.
   *
   * @param service - Service of the request.
   * @returns Delay after which its caller may return, spread over the time in which permits for all refused callers arise.
   */
  recordRefused (service: string): number {
    this.refusals.record(service)
    const roomMs = this.refusals.perSecond(service) / Math.max(MIN_PERMIT_RATE, this.received.perSecond(service)) * MS_PER_SECOND
    const spreadMs = Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, 2 * roomMs))
    return MIN_RETRY_DELAY_MS + this.options.random.next() * (spreadMs - MIN_RETRY_DELAY_MS)
  }

  /** Drops the permits of this daemon after its machine was suspended: others may have been issued in their place meanwhile. */
  dropPermits (): void {
    this.permits.drop()
  }

  /** Drops the limit of a target that was removed or restarted. */
  forget (targetId: string): void {
    this.targetLimits.forget(targetId)
    this.permits.forget(targetId)
  }

  onChange (listener: () => void): void {
    this.targetLimits.onChange(listener)
  }

  report (isForNewRelay: boolean): LimitReport {
    const limits = this.targetLimits.collect(isForNewRelay ? ALL_ORIGINS : OWN_ORIGINS, isForNewRelay ? -Infinity : this.nextCollection('report'))
    if (this.targetLimits.limitedTargets().length === 0) return { limits, demand: [], settled: [] }
    return { limits, demand: this.demand.all(), settled: this.permits.settledPermits() }
  }

  applyReport (startId: string, report: LimitReport): boolean {
    this.issuer.applyReport(startId, report)
    const isChanged = this.targetLimits.apply(report.limits, 'zone')
    if (!this.knownReporters.has(startId)) this.collectedAtMs.view = -Infinity
    this.knownReporters.add(startId)
    return isChanged
  }

  zoneLimits (isFull: boolean): ZoneLimits {
    const limits = this.targetLimits.collect(ZONE_ORIGINS, isFull ? -Infinity : this.nextCollection('zone'))
    return { limits, demand: this.targetLimits.limitedTargets().length === 0 ? [] : this.issuer.ownZoneDemand() }
  }

  applyZoneLimits (zone: string, { limits, demand }: ZoneLimits): boolean {
    this.issuer.applyZoneDemand(zone, demand)
    return this.targetLimits.apply(limits, 'fleet')
  }

  view (role: IssuerRole): LimitView {
    for (const startId of this.knownReporters) if (!role.reporters.includes(startId)) this.knownReporters.delete(startId)
    const limits = this.targetLimits.collect(ALL_ORIGINS, role.isRepeat ? -Infinity : this.nextCollection('view'))
    const limited = this.targetLimits.limitedTargets().flatMap(({ targetId, perSecond }) => {
      const service = this.options.serviceOf(targetId)
      return service === undefined ? [] : [{ targetId, service, perSecond }]
    })
    const permits = this.issuer.issue(limited, role)
    this.applyPermits(permits)
    this.targetLimits.sweep()
    return { limits, permits }
  }

  applyView ({ limits, permits }: LimitView): void {
    this.targetLimits.apply(limits, 'fleet')
    this.applyPermits(permits)
  }

  private applyPermits (permits: LimitView['permits']): void {
    for (const [startId, targetId, count] of permits) {
      if (startId !== this.options.startId) continue
      this.permits.add(targetId, count)
      const service = this.options.serviceOf(targetId)
      if (service !== undefined) this.received.record(service, count)
    }
  }

  /** Returns the time from which changes belong to the next exchange, and starts the following one now. */
  private nextCollection (exchange: keyof FleetLimits['collectedAtMs']): number {
    const sinceMs = this.collectedAtMs[exchange] - EXCHANGE_OVERLAP_MS
    this.collectedAtMs[exchange] = this.options.clock.monotonicMs()
    return sinceMs
  }
}
