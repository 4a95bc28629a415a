import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Problem, ProblemKind } from '../answers/problem.js'

const DIGITS = /^\d{1,9}$/
const PORT = /:\d+$/

/**
 * Describes the refusal of a request that has not run.
 *
 * @param kind - Reason.
 * @param detail - Reason in words.
 * @param retryAfterMs - Time after which the caller may come back; absent when it should not.
 * @returns The problem to answer with.
 */
export const refuse = (kind: ProblemKind, detail: string, retryAfterMs?: number): Problem =>
  ({ kind, verdict: 'not-run', detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })

/**
 * Tells when a caller is gone.
 *
 * @param response - Answer to the caller.
 * @returns Aborts when the connection closes before the answer has ended.
 */
export const callerSignal = (response: ServerResponse): AbortSignal => {
  const gone = new AbortController()
  response.once('close', () => { if (!response.writableFinished) gone.abort() })
  return gone.signal
}

/**
 * Reads the host that a request is for.
 *
 * @param request - Request of the caller.
 * @returns The host in lower case, without its port; empty when there is none.
 */
export const hostOf = (request: IncomingMessage): string => (request.headers.host ?? '').replace(PORT, '').toLowerCase()

/**
 * Reads how long a caller says that it will wait.
 *
 * @param request - Request of the caller.
 * @param header - Header field that states it.
 * @returns Milliseconds; undefined when it states none; a problem when it can't be read.
 */
export const statedWaitMs = (request: IncomingMessage, header: string): Result<number | undefined, Problem> => {
  const wanted = request.headers[header.toLowerCase()]
  if (wanted === undefined) return ok(undefined)
  if (typeof wanted === 'string' && DIGITS.test(wanted)) return ok(Number(wanted))
  return err(refuse('malformed-request', `${header} must be a whole number of milliseconds`))
}
