import type { PerTarget } from './gateway.js'

/** What answers of a target showed of its limit, as daemons tell each other. */
export interface ObservedLimit {
  /** Requests per second that the target takes from the whole fleet; undefined once an answer named none any more. */
  readonly perSecond: number | undefined
  /** Time since the request was sent whose answer showed this, in milliseconds. */
  readonly sentAgeMs: number
  /** Time since an answer last named a limit, in milliseconds. */
  readonly namedAgeMs: number
}

/** Requests per second by service, refused ones included. */
export type ServiceDemand = ReadonlyArray<readonly [service: string, perSecond: number]>

/** Permits for single requests to limited targets, for the daemon with the given start ID. */
export type PermitGrants = ReadonlyArray<readonly [startId: string, targetId: string, count: number]>

/** What became of a daemon's permits for one target since the start of its process. */
export interface SettledPermits {
  readonly used: number
  /** Permits that expired without a request. */
  readonly unused: number
}

/** What a daemon reports to the relays of its zone. */
export interface LimitReport {
  readonly limits: PerTarget<ObservedLimit>
  readonly demand: ServiceDemand
  readonly settled: PerTarget<SettledPermits>
}

/** What the first relay of a zone tells the relays of other zones. */
export interface ZoneLimits {
  readonly limits: PerTarget<ObservedLimit>
  readonly demand: ServiceDemand
}

/** What a relay tells the daemons of its zone. */
export interface LimitView {
  readonly limits: PerTarget<ObservedLimit>
  readonly permits: PermitGrants
}

/** The relay's part in the fleet when permits are issued. */
export interface IssuerRole {
  /** Whether this daemon issues the permits of its zone. */
  readonly isIssuer: boolean
  /** Whether all limits are repeated, not only those that changed. */
  readonly isRepeat: boolean
  /** Start IDs of the daemons that receive the view. */
  readonly reporters: readonly string[]
  /** Availability zones of all known daemons. */
  readonly zones: readonly string[]
}

/** Exchanges limits of targets and permits between daemons; calls that apply news return whether these are urgent. */
export interface LimitExchange {
  readonly onChange: (listener: () => void) => void
  readonly report: (isForNewRelay: boolean) => LimitReport
  readonly applyReport: (startId: string, report: LimitReport) => boolean
  readonly zoneLimits: (isFull: boolean) => ZoneLimits
  readonly applyZoneLimits: (zone: string, limits: ZoneLimits) => boolean
  readonly view: (role: IssuerRole) => LimitView
  readonly applyView: (view: LimitView) => void
}
