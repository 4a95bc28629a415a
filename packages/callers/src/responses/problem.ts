import { STATUS_CODES } from 'node:http'
import type { ServerResponse } from 'node:http'
import { VERDICT_HEADER } from '@lovagehoist/common'
import type { RunVerdict } from '@lovagehoist/common'

/** Reason why the fleet responds by itself instead of a target. */
export type ProblemKind =
  | 'malformed-request'
  | 'http-version'
  | 'unknown-route'
  | 'unknown-account'
  | 'not-ready'
  | 'leaving'
  | 'request-too-large'
  | 'head-too-large'
  | 'request-too-slow'
  | 'overload'
  | 'over-quota'
  | 'no-target'
  | 'isolated'
  | 'deadline'
  | 'target-failed'
  | 'quarantined'
  | 'key-in-progress'
  | 'key-conflict'
  | 'key-unknown'
  | 'key-store-out'

const STATUS_OF: Readonly<Record<ProblemKind, number>> = {
  'malformed-request': 400,
  'http-version': 505,
  'unknown-route': 404,
  'unknown-account': 401,
  'not-ready': 503,
  leaving: 503,
  'request-too-large': 413,
  'head-too-large': 431,
  'request-too-slow': 408,
  overload: 503,
  'over-quota': 429,
  'no-target': 503,
  isolated: 503,
  deadline: 504,
  'target-failed': 502,
  quarantined: 503,
  'key-in-progress': 409,
  'key-conflict': 422,
  'key-unknown': 409,
  'key-store-out': 503
}

/** Whether a text names a kind of problem. */
export const isProblemKind = (text: string): text is ProblemKind => Object.hasOwn(STATUS_OF, text)

/** Content of a problem response (RFC 9457) that the fleet sends itself. */
export interface Problem {
  readonly kind: ProblemKind
  readonly verdict: RunVerdict
  readonly detail: string
  /** Delay after which the caller may retry. */
  readonly retryAfterMs?: number
}

const MS_PER_SECOND = 1_000

/**
 * Serialises a problem as a problem document.
 *
 * @param problem - Reason why there is no response of a target.
 * @returns JSON text.
 */
export const problemBody = (problem: Problem): string => {
  const { status, reason } = statusOf(problem)
  return JSON.stringify({ type: `urn:lovagehoist:problem:${problem.kind}`, title: reason, status, detail: problem.detail, verdict: problem.verdict })
}

/**
 * Returns the HTTP status of a problem.
 *
 * @param problem - Problem.
 * @returns Status code and reason phrase.
 */
export const statusOf = (problem: Problem): { readonly status: number, readonly reason: string } => {
  const status = STATUS_OF[problem.kind]
  return { status, reason: STATUS_CODES[status] ?? '' }
}

/**
 * Formats a delay in whole seconds, rounded up, as HTTP specifies.
 *
 * @param delayMs - Delay in milliseconds.
 * @returns Value of `Retry-After`.
 */
export const wholeSeconds = (delayMs: number): string => String(Math.ceil(delayMs / MS_PER_SECOND))

/**
 * Formats a delay in fractional seconds, for callers that accept them.
 *
 * @param delayMs - Delay in milliseconds.
 * @returns Value of `Retry-After`.
 */
export const fractionalSeconds = (delayMs: number): string => (delayMs / MS_PER_SECOND).toFixed(2)

/**
 * Responds with a problem document.
 *
 * @param response - Response to the caller, of which nothing has been written yet.
 * @param problem - Reason why there is no response of a target.
 * @param formatDelay - Formats the value of `Retry-After`.
 */
export const sendProblem = (response: ServerResponse, problem: Problem, formatDelay = wholeSeconds): void => {
  const { status } = statusOf(problem)
  const body = problemBody(problem)
  response.statusCode = status
  response.setHeader('content-type', 'application/problem+json')
  response.setHeader('content-length', Buffer.byteLength(body))
  response.setHeader(VERDICT_HEADER, problem.verdict)
  if (problem.retryAfterMs !== undefined) response.setHeader('retry-after', formatDelay(problem.retryAfterMs))
  response.end(body)
}
