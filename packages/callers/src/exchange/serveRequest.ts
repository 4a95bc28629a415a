import type { IncomingMessage, ServerResponse } from 'node:http'
import { acceptRequest } from '../accept/acceptRequest.js'
import type { AcceptOptions } from '../accept/acceptRequest.js'
import type { Passage } from '../accept/passage.js'
import type { Admission } from '../admission/admission.js'
import type { AdmissionRefusal, RefusalReason } from '../admission/admissionTypes.js'
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

const NO_SERVICE = 'none'

const REFUSAL: Readonly<Record<RefusalReason, Pick<Problem, 'kind' | 'detail'>>> = {
  'account-limit': { kind: 'overload', detail: 'the account has too many requests in progress' },
  'queue-full': { kind: 'overload', detail: 'too many requests wait' },
  'too-late': { kind: 'overload', detail: 'the request could not be finished before its deadline' },
  displaced: { kind: 'overload', detail: 'requests that go first filled the queue' },
  expired: { kind: 'deadline', detail: 'the deadline had passed' },
  'caller-gone': { kind: 'deadline', detail: 'the caller is gone' }
}

const refusal = ({ reason, retryAfterMs }: AdmissionRefusal): Problem => ({ ...REFUSAL[reason], verdict: 'not-run', retryAfterMs })

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
  const { route, account, service, deadlineAtMs, gone } = passage
  const need = { route, account, maxQueued: service.maxQueued, deadlineAtMs, gone }
  const admitted = await options.admission.admit(need, async () => { await run(options, passage) })
  if (admitted.isErr()) refuse(options, route.service, response, refusal(admitted.error))
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
