import type { IncomingMessage, ServerResponse } from 'node:http'
import { acceptRequest } from '../accept/acceptRequest.js'
import type { AcceptOptions } from '../accept/acceptRequest.js'
import type { Passage } from '../accept/passage.js'
import type { Admission } from '../admission/admission.js'
import { deliver } from '../answers/deliver.js'
import { sendProblem } from '../answers/problem.js'
import type { Problem } from '../answers/problem.js'
import type { KeyGuard } from '../keys/keyGuard.js'
import { forward } from './forward.js'
import type { ForwardOptions } from './forward.js'
import { REQUEST_ID_HEADER } from './headers.js'
import type { Reply } from './reply.js'

/** What serving a request needs. */
export interface ServeOptions extends AcceptOptions, ForwardOptions {
  readonly admission: Admission
  readonly keys: KeyGuard
}

const OVERLOAD: Problem = { kind: 'overload', verdict: 'not-run', detail: 'too many requests wait', retryAfterMs: 1_000 }
const NO_SERVICE = 'none'

/**
 * Serves one request: accept, identify route and account, admit, pick, send, judge the outcome, retry or answer.
 *
 * @param options - The parts on the request's way.
 * @param request - Request of the caller.
 * @param response - Answer to the caller.
 */
export const serveRequest = async (options: ServeOptions, request: IncomingMessage, response: ServerResponse): Promise<void> => {
  const accepted = await acceptRequest(options, request, response)
  if (accepted.isErr()) {
    if (accepted.error !== undefined) refuse(options, NO_SERVICE, response, accepted.error)
    return
  }
  const passage = accepted.value
  const { route, account, service } = passage
  const admitted = options.admission.admit({ route, account, maxQueued: service.maxQueued }, async () => { await run(options, passage) })
  if (admitted === undefined) {
    refuse(options, route.service, response, OVERLOAD)
    return
  }
  await admitted
}

const run = async (options: ServeOptions, passage: Passage): Promise<void> => {
  const reply = await options.keys.run(passage, async latestSendAtMs => await forward(options, passage, latestSendAtMs))
  await answer(options, passage, reply)
}

const answer = async (options: ServeOptions, passage: Passage, reply: Reply): Promise<void> => {
  const { response, requestId, route, method } = passage
  if (reply.type === 'problem') {
    response.setHeader(REQUEST_ID_HEADER, requestId)
    refuse(options, route.service, response, reply.problem)
    return
  }
  const delivery = await deliver({ response, requestId, method, invariants: options.invariants }, reply.answer)
  options.metrics.request(route.service, 'ran', delivery)
}

const refuse = (options: ServeOptions, service: string, response: ServerResponse, problem: Problem): void => {
  options.metrics.request(service, problem.verdict, problem.kind)
  if (response.destroyed) return
  const { headers, complete } = response.req
  const hasUnreadBody = !complete && (headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined)
  if (hasUnreadBody) response.setHeader('connection', 'close')
  sendProblem(response, problem)
}
