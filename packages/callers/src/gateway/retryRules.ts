import type { TryResult } from './tryOnce.js'

/** What the end of a try allows. */
export interface RetryRule {
  /** `harmless` repeats idempotent requests and those that have not run. */
  readonly retry: 'never' | 'harmless'
  /** Whether the repeat is taken out of the fleet's budget; what reached no target is not. */
  readonly isBudgeted: boolean
}

const final: RetryRule = { retry: 'never', isBudgeted: false }
const budgeted: RetryRule = { retry: 'harmless', isBudgeted: true }
const free: RetryRule = { retry: 'harmless', isBudgeted: false }

/** What each end of a try allows. */
export const RETRY_RULES: Readonly<Record<TryResult['outcome'], RetryRule>> = {
  ok: final,
  slow: final,
  'caller-fault': final,
  cancelled: final,
  poison: final,
  'deadline-too-short': final,
  refused: free,
  reset: budgeted,
  timeout: budgeted,
  'silent-connection': budgeted,
  'zone-unreachable': free,
  'broken-answer': budgeted,
  'server-error': budgeted,
  shed: budgeted,
  'wrong-target': budgeted
}
