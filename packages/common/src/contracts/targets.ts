import type { Readable } from 'node:stream'
import type { Result } from 'neverthrow'
import type { RouteConfig } from '../document/schema.js'
import type { Locality } from './platform.js'
import type { OutcomeKind } from '../verdict/outcome.js'
import type { RunVerdict } from '../verdict/verdict.js'

/** A target as the platform lists it, corrected by what daemons saw. */
export interface Target extends Locality {
  readonly id: string
  readonly service: string
  /** IP address. */
  readonly host: string
  readonly port: number
  /** Requests that it runs at once. */
  readonly slots: number
  /** Wall-clock start, in milliseconds since the Unix epoch. */
  readonly startedAtMs: number
  readonly isLeaving: boolean
}

/** Targets known to this daemon. */
export interface TargetDirectory {
  readonly targets: (service: string) => readonly Target[]
  readonly find: (targetId: string) => Target | undefined
  /** Marks a target as leaving from a sign other than the list. */
  readonly markLeaving: (targetId: string, sign: 'target-answer' | 'peer') => void
  readonly onChange: (listener: (service: string) => void) => () => void
}

/** State of a target in this daemon's view. */
export type TargetStatus = 'healthy' | 'cold' | 'avoided' | 'ejected' | 'trial' | 'leaving'

/** How the health side rates a target for the next pick. */
export interface TargetRating {
  readonly status: TargetStatus
  /** Share of the work that an unburdened target would get, 0 to 1; 0 forbids all work. */
  readonly weight: number
  /** Whether only idempotent requests may go there. */
  readonly idempotentOnly: boolean
}

/** Health side of the targets, as the pick reads it; no call waits. */
export interface HealthView {
  readonly ratingOf: (target: Target) => TargetRating
  /** Whether requests with this fingerprint are stopped. */
  readonly isQuarantined: (fingerprint: string) => boolean
  /** Whether most of the service's pool refuses work because of load. */
  readonly isPoolShedding: (service: string) => boolean
}

/** Evidence from one try. */
export interface AttemptReport {
  readonly target: Target
  readonly routeId: string
  readonly outcome: OutcomeKind
  readonly verdict: RunVerdict
  /** Time from sending to the answer's head, or to the failure. */
  readonly latencyMs: number
  /** Identifies equal requests: route, account and key or body digest. */
  readonly fingerprint: string
  readonly isFreshConnection: boolean
  readonly isIdempotent: boolean
}

/** Receives evidence; never waits. */
export interface AttemptSink {
  readonly record: (report: AttemptReport) => void
}

/** What a pick has to satisfy. */
export interface PickCriteria {
  readonly service: string
  readonly isIdempotent: boolean
  /** Targets already tried for this request. */
  readonly triedTargetIds: ReadonlySet<string>
  /** Availability zones that failed for this request. */
  readonly avoidedZones: ReadonlySet<string>
  /** Monotonic time by which the answer is due. */
  readonly deadlineAtMs: number
  /** Priority of the route; absent for `normal`. */
  readonly priority?: RouteConfig['priority']
}

/** Why no target was picked; the request was not sent. */
export type PickFailure = 'no-target' | 'no-slot' | 'deadline'

/** A slot held at a target by this daemon. */
export interface TargetReservation {
  readonly target: Target
  /** Gives the slot back; later calls have no effect. */
  readonly release: () => void
}

/** Chooses targets. */
export interface TargetPicker {
  /** Waits for a slot no longer than the need's deadline. */
  readonly pick: (criteria: PickCriteria, signal: AbortSignal) => Promise<Result<TargetReservation, PickFailure>>
}

/** Header fields as alternating names and values, in the order received. */
export type RawHeaders = readonly string[]

/** A request as it goes to a target. */
export interface TargetRequest {
  readonly method: string
  /** Path with query. */
  readonly path: string
  readonly headers: RawHeaders
  /** Whole body when it is held, or a stream that can be sent once. */
  readonly body: Buffer | Readable | undefined
  readonly isIdempotent: boolean
  /** Limit from sending to the answer's head. */
  readonly headTimeoutMs: number
  /** Longest silence within the answer's body. */
  readonly bodyIdleTimeoutMs: number
  /** Says why an answer can't belong to this request; its connection is then closed. Absent to take any. */
  readonly findResponseMismatch?: (status: number, headers: RawHeaders) => string | undefined
  /** Whether an answer may end with its connection; otherwise its end must be stated. */
  readonly allowsCloseDelimitedBody?: boolean
}

/** An answer whose head has arrived. */
export interface TargetResponse {
  readonly type: 'answer'
  readonly status: number
  readonly headers: RawHeaders
  /** Trailing header fields; known after the body ended. */
  readonly trailers: () => RawHeaders
  /** Fails with an error when the answer breaks off. */
  readonly body: Readable
  readonly isFreshConnection: boolean
  readonly latencyMs: number
}

/** A try that ended without an answer's head. */
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
  /** Sends once; never repeats by itself. The connection of an aborted exchange is destroyed. */
  readonly send: (target: Target, request: TargetRequest, signal: AbortSignal) => Promise<TargetResponse | TargetFailure>
  /** Opens connections ahead of use, up to a count. */
  readonly warm: (target: Target, connections: number) => Promise<void>
  /** Destroys idle kept-alive connections to a target that are older than an age. */
  readonly closeIdleConnections: (targetId: string, olderThanMs: number) => void
}
