import type { RouteConfig } from '@lovagehoist/common'
import type { Account } from '../accounts/identifyAccount.js'

/** Why a request was not admitted. */
export type RefusalReason = 'account-limit' | 'queue-full' | 'too-late' | 'expired' | 'displaced' | 'caller-gone'

/** A request that was not admitted and so was not run. */
export interface AdmissionRefusal {
  readonly reason: RefusalReason
  /** Time after which the caller may come back. */
  readonly retryAfterMs: number
}

/** A request that wants to be admitted. */
export interface AdmissionNeed {
  readonly route: RouteConfig
  readonly account: Account
  /** Requests of the service that may wait. */
  readonly maxQueued: number
  /** Monotonic time by which the answer is due. */
  readonly deadlineAtMs: number
  /** Aborts when the caller is gone. */
  readonly gone: AbortSignal
}
