import { STATUS_CODES } from 'node:http'
import type { ServerResponse } from 'node:http'
import { VERDICT_HEADER } from '@lovagehoist/common'
import type { RunVerdict } from '@lovagehoist/common'

/** Reason of an answer that the fleet makes itself. */
export type ProblemKind =
  | 'malformed-request'
  | 'unknown-route'
  | 'unknown-account'
  | 'not-ready'
  | 'request-too-large'
  | 'overload'
  | 'no-target'
  | 'deadline'
  | 'target-failed'
  | 'quarantined'
  | 'key-in-progress'
  | 'key-conflict'
  | 'key-unknown'
  | 'key-store-out'

const STATUS_OF: Readonly<Record<ProblemKind, number>> = {
  'malformed-request': 400,
  'unknown-route': 404,
  'unknown-account': 401,
  'not-ready': 503,
  'request-too-large': 413,
  overload: 503,
  'no-target': 503,
  deadline: 504,
  'target-failed': 502,
  quarantined: 503,
  'key-in-progress': 409,
  'key-conflict': 422,
  'key-unknown': 409,
  'key-store-out': 503
}

/** An answer of the fleet itself. */
export interface Problem {
  readonly kind: ProblemKind
  readonly verdict: RunVerdict
  readonly detail: string
  /** Time after which the caller may come back. */
  readonly retryAfterMs?: number
}

const MS_PER_SECOND = 1_000

/**
 * Answers with a problem document.
 *
 * @param response - Answer to the caller; nothing of it is written yet.
 * @param problem - Why the request has no answer of a target.
 */
export const sendProblem = (response: ServerResponse, problem: Problem): void => {
  const status = STATUS_OF[problem.kind]
  const body = JSON.stringify({
    type: `urn:lovagehoist:problem:${problem.kind}`,
    title: STATUS_CODES[status],
    status,
    detail: problem.detail,
    verdict: problem.verdict
  })
  response.statusCode = status
  response.setHeader('content-type', 'application/problem+json')
  response.setHeader('content-length', Buffer.byteLength(body))
  response.setHeader(VERDICT_HEADER, problem.verdict)
  if (problem.retryAfterMs !== undefined) response.setHeader('retry-after', Math.ceil(problem.retryAfterMs / MS_PER_SECOND))
  response.end(body)
}
