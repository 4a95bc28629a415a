import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { problemBody, sendProblem, statusOf } from '../answers/problem.js'
import type { Problem } from '../answers/problem.js'
import { VERDICT_HEADER } from '@lovagehoist/common'

/** Error of Node's HTTP parser. */
interface ParserError extends Error {
  readonly code?: string
}

/** Exchange in progress on a connection. */
type Current = IncomingMessage | 'several'

const MALFORMED: Problem = { kind: 'malformed-request', verdict: 'not-run', detail: 'the request is not well-formed HTTP/1.1' }
const UPGRADE: Problem = { ...MALFORMED, detail: 'CONNECT and Upgrade are not served' }
const EXPECTATION: Problem = { ...MALFORMED, detail: 'the only expectation that is served is 100-continue' }
const PROBLEM_OF_CODE: Readonly<Record<string, Problem>> = {
  HPE_HEADER_OVERFLOW: { kind: 'head-too-large', verdict: 'not-run', detail: 'the head of the request is too large' },
  ERR_HTTP_REQUEST_TIMEOUT: { kind: 'request-too-slow', verdict: 'not-run', detail: 'the request did not arrive in time' }
}

const endWith = (socket: Duplex, problem: Problem): void => {
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
 * Answers what is no served request with a problem, before anything reaches a target: malformed HTTP, CONNECT, Upgrade, unknown expectations.
 *
 * @param server - Server on the callers' address.
 */
export const refuseMalformed = (server: Server): void => {
  const current = new WeakMap<Duplex, Current>()
  server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request
    current.set(socket, current.has(socket) ? 'several' : request)
    response.once('close', () => { if (current.get(socket) === request) current.delete(socket) })
  })
  server.on('clientError', (error: ParserError, socket: Duplex) => {
    const running = current.get(socket)
    const isOwnAnswer = running === undefined || (running !== 'several' && !running.complete)
    if (!isOwnAnswer || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    endWith(socket, PROBLEM_OF_CODE[error.code ?? ''] ?? MALFORMED)
  })
  const refuse = (_request: IncomingMessage, socket: Duplex): void => { endWith(socket, UPGRADE) }
  server.on('connect', refuse).on('upgrade', refuse)
  server.on('checkExpectation', (_request: IncomingMessage, response: ServerResponse) => { sendProblem(response, EXPECTATION) })
}
