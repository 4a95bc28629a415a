import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { problemBody, sendProblem, statusOf } from '../responses/problem.js'
import type { Problem } from '../responses/problem.js'
import { VERDICT_HEADER } from '@lovagehoist/common'

/** Error reported by Node's HTTP parser. */
interface ParserError extends Error {
  readonly code?: string
}

const MALFORMED: Problem = { kind: 'malformed-request', verdict: 'not-run', detail: 'the request is not well-formed HTTP/1.1' }
const UPGRADE: Problem = { ...MALFORMED, detail: 'CONNECT and Upgrade are not served' }
const EXPECTATION: Problem = { ...MALFORMED, detail: 'the only expectation that is served is 100-continue' }
const REQUEST_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT'
const PROBLEM_OF_CODE: Readonly<Record<string, Problem>> = {
  HPE_HEADER_OVERFLOW: { kind: 'head-too-large', verdict: 'not-run', detail: 'the head of the request is too large' },
  [REQUEST_TIMEOUT]: { kind: 'request-too-slow', verdict: 'not-run', detail: 'the request did not arrive in time' }
}

/**
 * Responds with a problem to a request with a header field that Node's parser lets pass, depending on its version, with a space before the colon; closes the connection.
 *
 * @param request - Request of the caller, in its turn on the connection.
 * @param response - Response to it.
 * @returns Whether the request was rejected.
 */
export const rejectMalformedFields = ({ rawHeaders }: IncomingMessage, response: ServerResponse): boolean => {
  if (!rawHeaders.some((name, index) => index % 2 === 0 && name.endsWith(' '))) return false
  response.shouldKeepAlive = false
  sendProblem(response, MALFORMED)
  return true
}

const endWithProblem = (socket: Duplex, problem: Problem): void => {
  const body = problemBody(problem)
  const { status, reason } = statusOf(problem)
  const head = [
    `HTTP/1.1 ${status} ${reason}`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(body)}`,
    `${VERDICT_HEADER}: ${problem.verdict}`,
    'connection: close'
  ]
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`)
}

/**
 * Responds with a problem to everything that the server does not support, before it reaches a target: malformed HTTP, CONNECT, Upgrade and unknown expectations.
 *
 * @param server - HTTP server for callers.
 */
export const rejectUnsupported = (server: Server): void => {
  /** Requests in progress on each connection; several when they are pipelined. */
  const requestsInProgress = new WeakMap<Duplex, Set<IncomingMessage>>()
  server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
    const requests = requestsInProgress.get(request.socket) ?? new Set()
    requestsInProgress.set(request.socket, requests.add(request))
    response.once('close', () => { requests.delete(request) })
  })
  server.on('clientError', (error: ParserError, socket: Duplex) => {
    const [first, ...others] = requestsInProgress.get(socket) ?? []
    const canRespond = first === undefined || (others.length === 0 && !first.complete)
    // The head of a further request is late; earlier ones are still answered.
    if (!canRespond && error.code === REQUEST_TIMEOUT) return
    if (!canRespond || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    endWithProblem(socket, PROBLEM_OF_CODE[error.code ?? ''] ?? MALFORMED)
  })
  const rejectUpgrade = (_request: IncomingMessage, socket: Duplex): void => { endWithProblem(socket, UPGRADE) }
  server.on('connect', rejectUpgrade).on('upgrade', rejectUpgrade)
  // Without a listener Node.js asks for each body at once, also for one that is refused.
  server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => { server.emit('request', request, response) })
  server.on('checkExpectation', (_request: IncomingMessage, response: ServerResponse) => { sendProblem(response, EXPECTATION) })
}
