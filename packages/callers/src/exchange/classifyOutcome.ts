import type { OutcomeKind, RunVerdict, ServiceConfig, TargetResponse, TargetFailure } from '@lovagehoist/common'
import { findHeader } from './headers.js'

/** Outcome and verdict of one attempt. */
export interface OutcomeClassification {
  readonly outcome: OutcomeKind
  readonly verdict: RunVerdict
}

/** Retry policy for one outcome of an attempt. */
export interface RetryPolicy {
  /** `idempotent` retries only idempotent requests and requests that were provably not executed. */
  readonly retry: 'never' | 'idempotent'
  /** Whether the retry counts against the service's retry budget. */
  readonly isBudgeted: boolean
  /** Whether the whole availability zone may be at fault, so that retries avoid it. */
  readonly isZoneSuspect: boolean
}

const noRetry: RetryPolicy = { retry: 'never', isBudgeted: false, isZoneSuspect: false }
const retryElsewhere: RetryPolicy = { retry: 'idempotent', isBudgeted: true, isZoneSuspect: false }
const retryInOtherZone: RetryPolicy = { ...retryElsewhere, isZoneSuspect: true }

/** Retry policy for each outcome of an attempt. */
export const RETRY_POLICIES: Readonly<Record<OutcomeKind, RetryPolicy>> = {
  ok: noRetry,
  slow: noRetry,
  'caller-fault': noRetry,
  cancelled: noRetry,
  poison: noRetry,
  'deadline-too-short': noRetry,
  refused: { ...retryInOtherZone, isBudgeted: false },
  reset: retryElsewhere,
  timeout: retryInOtherZone,
  'silent-connection': retryElsewhere,
  withdrawn: { ...retryElsewhere, isBudgeted: false },
  'zone-unreachable': retryInOtherZone,
  'broken-answer': retryElsewhere,
  'server-error': retryElsewhere,
  shed: retryElsewhere
}

/** Share of the service's head timeout below which a timeout is attributed to the caller's short deadline instead of the target. */
const SHORT_DEADLINE_SHARE = 0.2
const FIRST_SERVER_ERROR = 500
const FIRST_CLIENT_ERROR = 400

const isShed = ({ shedAnswer }: ServiceConfig, response: TargetResponse): boolean =>
  shedAnswer !== undefined && response.status === shedAnswer.status && findHeader(response.headers, shedAnswer.header) !== undefined

const classifyResponse = (service: ServiceConfig, response: TargetResponse): OutcomeClassification => {
  if (isShed(service, response)) return { outcome: 'shed', verdict: 'not-run' }
  if (response.status >= FIRST_SERVER_ERROR) return { outcome: 'server-error', verdict: 'ran' }
  return { outcome: response.status >= FIRST_CLIENT_ERROR ? 'caller-fault' : 'ok', verdict: 'ran' }
}

/**
 * Classifies how an attempt ended.
 *
 * @param service - Service, which defines how its targets mark shed requests.
 * @param result - Response or failure of the attempt.
 * @param headTimeoutMs - Limit of the attempt, in milliseconds, for the arrival of the response head.
 * @returns Outcome and verdict.
 */
export const classifyOutcome = (service: ServiceConfig, result: TargetResponse | TargetFailure, headTimeoutMs: number): OutcomeClassification => {
  if (result.type === 'answer') return classifyResponse(service, result)
  const isShortDeadline = headTimeoutMs < service.headTimeoutMs * SHORT_DEADLINE_SHARE
  return { outcome: result.outcome === 'timeout' && isShortDeadline ? 'deadline-too-short' : result.outcome, verdict: result.verdict }
}
