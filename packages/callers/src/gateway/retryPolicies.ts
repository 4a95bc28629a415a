import type { GatewayAttemptResult } from './gatewayAttempt.js'

/** Retry policy for one outcome of an attempt. */
export interface RetryPolicy {
  /** `harmless` retries idempotent requests and requests that were not executed. */
  readonly retry: 'never' | 'harmless'
  /** Whether the retry counts against the fleet's retry budget; retries of attempts that reached no target do not. */
  readonly isBudgeted: boolean
}

const noRetry: RetryPolicy = { retry: 'never', isBudgeted: false }
const budgetedRetry: RetryPolicy = { retry: 'harmless', isBudgeted: true }
const unbudgetedRetry: RetryPolicy = { retry: 'harmless', isBudgeted: false }

/** Retry policy for each outcome of an attempt. */
export const RETRY_POLICIES: Readonly<Record<GatewayAttemptResult['outcome'], RetryPolicy>> = {
  ok: noRetry,
  slow: noRetry,
  'caller-fault': noRetry,
  cancelled: noRetry,
  poison: noRetry,
  'deadline-too-short': noRetry,
  refused: unbudgetedRetry,
  reset: budgetedRetry,
  timeout: budgetedRetry,
  'silent-connection': budgetedRetry,
  withdrawn: unbudgetedRetry,
  'zone-unreachable': unbudgetedRetry,
  'broken-answer': budgetedRetry,
  'server-error': budgetedRetry,
  shed: budgetedRetry,
  'wrong-target': budgetedRetry
}
