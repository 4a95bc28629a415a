import type { RouteConfig } from '@lovagehoist/common'
import type { Account } from '../accounts/identifyAccount.js'

/** Why a request was not admitted. */
export type RefusalReason = 'account-limit' | 'queue-full' | 'too-late' | 'expired' | 'displaced' | 'caller-gone'

/** Refusal of a request, which was not executed. */
export interface AdmissionRefusal {
  readonly reason: RefusalReason
  /** Delay after which the caller may retry. */
  readonly retryAfterMs: number
}

/** A request to be admitted. */
export interface AdmissionRequest {
  readonly route: RouteConfig
  readonly account: Account
  /** Limit of queued requests for the service. */
  readonly maxQueued: number
  /** Monotonic time by which the response is due. */
  readonly deadlineAtMs: number
  /** Aborts when the caller disconnects before the response has ended. */
  readonly disconnectSignal: AbortSignal
}
