import type { IncomingMessage, ServerResponse } from 'node:http'
import type { EnvironmentDocument, RawHeaders, RouteConfig, ServiceConfig } from '@lovagehoist/common'
import type { Account } from '../accounts/identifyAccount.js'

/** A request whose route and account are known and whose body has been read completely. */
export interface AcceptedRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly route: RouteConfig
  readonly service: ServiceConfig
  readonly account: Account
  readonly method: string
  /** Path with query. */
  readonly path: string
  readonly body: Buffer | undefined
  /** SHA-256 of the body; the path with query when there is no body. */
  readonly bodyDigest: string
  /** Idempotency key: the value of the route's key header; undefined when the route or the request has none. */
  readonly idempotencyKey: string | undefined
  /** Equal for equal requests: digest of route, account and idempotency key or body digest. */
  readonly fingerprint: string
  readonly requestId: string
  /** Header fields for the target, without the deadline, which is set anew for each attempt. */
  readonly headers: RawHeaders
  readonly deadlineHeader: EnvironmentDocument['deadlineHeader']
  /** Monotonic time by which the response is due. */
  readonly deadlineAtMs: number
  /** Aborts when the caller disconnects before the response has ended. */
  readonly disconnectSignal: AbortSignal
}
