import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Problem, ProblemKind } from '../responses/problem.js'

const DIGITS = /^\d{1,9}$/
const PORT_SUFFIX = /:\d+$/

/**
 * Creates the problem for a request that is refused without having been executed.
 *
 * @param kind - Reason.
 * @param detail - Reason in words, for people.
 * @param retryAfterMs - Delay, in milliseconds, after which the caller may retry; absent when it should not.
 * @returns The problem to respond with.
 */
export const notRunProblem = (kind: ProblemKind, detail: string, retryAfterMs?: number): Problem =>
  ({ kind, verdict: 'not-run', detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })

/**
 * Creates a signal for the disconnect of a caller.
 *
 * @param response - Response to the caller.
 * @returns Signal that aborts when the connection closes before the response has ended; its reason is `reset` or `closed`.
 */
export const disconnectSignalOf = (response: ServerResponse): AbortSignal => {
  const controller = new AbortController()
  const { socket } = response.req
  const finish = (): void => {
    response.off('close', finish)
    socket.off('close', finish)
    if (!response.writableFinished) controller.abort(socket.errored === null ? 'closed' : 'reset')
  }
  response.once('close', finish)
  // Node.js does not close the responses that wait behind another one when their connection ends.
  socket.once('close', finish)
  return controller.signal
}

const CONTINUE = /^100-continue$/i

/**
 * Tells a caller that waits for it (`Expect: 100-continue`) to send the body.
 *
 * @param request - Request of the caller.
 * @param response - Response to the caller, of which nothing has been written yet.
 */
export const continueBody = (request: IncomingMessage, response: ServerResponse): void => {
  if (CONTINUE.test(request.headers.expect ?? '')) response.writeContinue()
}

/**
 * Reads the host that a request is addressed to.
 *
 * @param request - Request of the caller.
 * @returns The host in lower case, without its port; empty when there is none.
 */
export const hostOf = (request: IncomingMessage): string => (request.headers.host ?? '').replace(PORT_SUFFIX, '').toLowerCase()

/**
 * Reads the timeout that a caller states for its request.
 *
 * @param request - Request of the caller.
 * @param header - Name of the header field.
 * @returns Timeout in milliseconds; undefined when the field is absent; a problem when it is malformed.
 */
export const parseTimeoutMs = (request: IncomingMessage, header: string): Result<number | undefined, Problem> => {
  const value = request.headers[header.toLowerCase()]
  if (value === undefined) return ok(undefined)
  if (typeof value === 'string' && DIGITS.test(value)) return ok(Number(value))
  return err(notRunProblem('malformed-request', `${header} must be a whole number of milliseconds`))
}
