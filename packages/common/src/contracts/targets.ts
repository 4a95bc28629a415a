import type { Readable } from 'node:stream'
import type { Result } from 'neverthrow'
import type { RouteConfig } from '../document/schema.js'
import type { Locality } from './platform.js'
import type { OutcomeKind } from '../verdict/outcome.js'
import type { RunVerdict } from '../verdict/verdict.js'

/** A target from the platform's directory, updated with what daemons observed. */
export interface Target extends Locality {
  readonly id: string
  readonly service: string
  /** IP address. */
  readonly host: string
  readonly port: number
  /** Requests that it runs concurrently. */
  readonly slots: number
  /** Wall-clock start time, in milliseconds since the Unix epoch. */
  readonly startedAtMs: number
  readonly isLeaving: boolean
}

/** The targets known to this daemon. */
export interface TargetDirectory {
  readonly targets: (service: string) => readonly Target[]
  readonly find: (targetId: string) => Target | undefined
  /** Marks a target as leaving before the platform's directory says so. */
  readonly markLeaving: (targetId: string, sign: 'target-answer' | 'peer') => void
  readonly onChange: (listener: (service: string) => void) => () => void
}

/** Health state of a target as this daemon sees it. */
export type TargetStatus = 'healthy' | 'cold' | 'avoided' | 'ejected' | 'trial' | 'leaving'

/** Health rating of a target, used to pick targets. */
export interface TargetRating {
  readonly status: TargetStatus
  /** Relative share of requests compared with a healthy target, 0 to 1; 0 excludes the target. */
  readonly weight: number
  /** Whether the target may get idempotent requests only. */
  readonly idempotentOnly: boolean
}

/** Read access to the health of the targets; all calls are synchronous. */
export interface HealthView {
  readonly ratingOf: (target: Target) => TargetRating
  /** Whether requests with this fingerprint are quarantined, that is, refused. */
  readonly isQuarantined: (fingerprint: string) => boolean
  /** Whether most targets of the service are shedding load. */
  readonly isPoolShedding: (service: string) => boolean
}

/** Result of one attempt, used as evidence of the target's health. */
export interface AttemptReport {
  readonly target: Target
  readonly routeId: string
  readonly outcome: OutcomeKind
  readonly verdict: RunVerdict
  /** Time from sending the request to the response head, or to the failure. */
  readonly latencyMs: number
  /** Identifies equal requests: made of route, account, and key or body digest. */
  readonly fingerprint: string
  readonly isFreshConnection: boolean
  readonly isIdempotent: boolean
}

/** Receives reports of attempts; synchronous. */
export interface AttemptSink {
  readonly record: (report: AttemptReport) => void
}

/** Criteria for picking a target for a request. */
export interface PickCriteria {
  readonly service: string
  readonly isIdempotent: boolean
  /** Targets to which this request was already sent. */
  readonly triedTargetIds: ReadonlySet<string>
  /** Availability zones to avoid because they failed for this request. */
  readonly avoidedZones: ReadonlySet<string>
  /** Monotonic time at which the response is due. */
  readonly deadlineAtMs: number
  /** Priority of the route; defaults to `normal`. */
  readonly priority?: RouteConfig['priority']
}

/** Reason why no target was picked; the request was not sent. */
export type PickFailure = 'no-target' | 'no-slot' | 'deadline'

/** A request slot that this daemon has reserved at a target. */
export interface TargetReservation {
  readonly target: Target
  /** Releases the slot; later calls have no effect. */
  readonly release: () => void
}

/** Picks a target for each request and reserves a slot there. */
export interface TargetPicker {
  /** Picks a target, waiting for a free slot until the deadline in the criteria at the latest. */
  readonly pick: (criteria: PickCriteria, signal: AbortSignal) => Promise<Result<TargetReservation, PickFailure>>
}

/** Header fields as alternating names and values, in received order. */
export type RawHeaders = readonly string[]

/** A request to be sent to a target. */
export interface TargetRequest {
  readonly method: string
  /** Path with query string. */
  readonly path: string
  readonly headers: RawHeaders
  /** The body as a whole when it is buffered, or a stream that can be sent only once. */
  readonly body: Buffer | Readable | undefined
  readonly isIdempotent: boolean
  /** Timeout from sending the request to the response head. */
  readonly headTimeoutMs: number
  /** Idle timeout within the response body. */
  readonly bodyIdleTimeoutMs: number
  /** Returns why a response cannot belong to this request, and undefined if it can; a mismatch closes the connection. Without this function, any response is accepted. */
  readonly findResponseMismatch?: (status: number, headers: RawHeaders) => string | undefined
  /** Id that responses repeat. A connection on which a request with this id, or without any, was refused is not used for it: the refusal may arrive there once more. */
  readonly id?: string
  /** Whether a response says that the request was refused and has not run. */
  readonly isRefusal?: (status: number, headers: RawHeaders) => boolean
  /** Asked right before the first byte is sent; the request is not sent when the target has become unusable in the meantime. */
  readonly isStillWanted?: () => boolean
  /** Whether the response body may be delimited by the close of the connection; otherwise its length or chunked framing must be explicit. */
  readonly allowsCloseDelimitedBody?: boolean
  /** Starts the next read of a response whose reader was behind, now or as soon as there is memory for what it brings; without this function it starts at once. */
  readonly awaitReadRoom?: (read: () => void) => void
}

/** A response whose head has been received. */
export interface TargetResponse {
  readonly type: 'answer'
  readonly status: number
  readonly headers: RawHeaders
  /** Trailer fields; known once the body has ended. */
  readonly trailers: () => RawHeaders
  /** Body; emits an error when the response is truncated. */
  readonly body: Readable
  readonly isFreshConnection: boolean
  readonly latencyMs: number
}

/** An attempt that failed before a response head was received. */
export interface TargetFailure {
  readonly type: 'failure'
  readonly verdict: Exclude<RunVerdict, 'ran'>
  readonly outcome: OutcomeKind
  readonly message: string
  readonly isFreshConnection: boolean
  readonly latencyMs: number
}

/** Sends requests to targets. */
export interface TargetSender {
  /** Sends the request once, without retries. Aborting destroys the connection. */
  readonly send: (target: Target, request: TargetRequest, signal: AbortSignal) => Promise<TargetResponse | TargetFailure>
  /** Opens connections in advance, up to the given number. */
  readonly warm: (target: Target, connections: number) => Promise<void>
  /** Destroys idle keep-alive connections to a target that are older than the given age. */
  readonly closeIdleConnections: (targetId: string, olderThanMs: number) => void
}
