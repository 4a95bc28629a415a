import type { IncomingMessage, ServerResponse } from 'node:http'
import type { EnvironmentDocument, RawHeaders, RouteConfig, ServiceConfig } from '@lovagehoist/common'
import type { Account } from '../accounts/identifyAccount.js'

/** A request that was accepted and read whole. */
export interface Passage {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly route: RouteConfig
  readonly service: ServiceConfig
  readonly account: Account
  readonly method: string
  /** Path with query. */
  readonly path: string
  readonly body: Buffer | undefined
  /** SHA-256 of the body; the path with query when there is none. */
  readonly bodyDigest: string
  /** Value of the route's key header. */
  readonly key: string | undefined
  readonly fingerprint: string
  readonly requestId: string
  /** Header fields for the target, but for the deadline. */
  readonly headers: RawHeaders
  readonly deadlineHeader: EnvironmentDocument['deadlineHeader']
  /** Monotonic time by which the answer is due. */
  readonly deadlineAtMs: number
  /** Aborts when the caller is gone. */
  readonly gone: AbortSignal
}
