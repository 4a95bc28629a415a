import type { GatewayAttemptResult } from './gatewayAttempt.js'

/** Retry rule for one outcome of an attempt. */
export interface RetryRule {
  /** `harmless` retries idempotent requests and requests that were not executed. */
  readonly retry: 'never' | 'harmless'
  /** Whether the retry counts against the fleet's retry budget; retries of attempts that reached no target do not. */
  readonly isBudgeted: boolean
}

const noRetry: RetryRule = { retry: 'never', isBudgeted: false }
const budgetedRetry: RetryRule = { retry: 'harmless', isBudgeted: true }
const unbudgetedRetry: RetryRule = { retry: 'harmless', isBudgeted: false }

/** Retry rule for each outcome of an attempt. */
export const RETRY_RULES: Readonly<Record<GatewayAttemptResult['outcome'], RetryRule>> = {
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
  'zone-unreachable': unbudgetedRetry,
  'broken-answer': budgetedRetry,
  'server-error': budgetedRetry,
  shed: budgetedRetry,
  'wrong-target': budgetedRetry
}
