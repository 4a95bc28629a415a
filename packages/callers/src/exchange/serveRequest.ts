import type { IncomingMessage, ServerResponse } from 'node:http'
import { acceptRequest } from '../accept/acceptRequest.js'
import type { AcceptOptions } from '../accept/acceptRequest.js'
import type { AcceptedRequest } from '../accept/acceptedRequest.js'
import type { Admission } from '../admission/admission.js'
import type { AdmissionRefusal, RefusalReason } from '../admission/admissionTypes.js'
import { deliver } from '../responses/deliver.js'
import { sendProblem } from '../responses/problem.js'
import type { Problem } from '../responses/problem.js'
import type { IdempotencyGuard } from '../idempotency/idempotencyGuard.js'
import { forward } from './forward.js'
import type { ForwardOptions } from './forward.js'
import { REQUEST_ID_HEADER } from './headers.js'
import type { Reply } from './reply.js'

/** Dependencies for serving a request. */
export interface ServeOptions extends AcceptOptions, ForwardOptions {
  readonly admission: Admission
  readonly idempotencyGuard: IdempotencyGuard
}

const NO_SERVICE = 'none'

const PROBLEM_OF_REFUSAL: Readonly<Record<RefusalReason, Pick<Problem, 'kind' | 'detail'>>> = {
  'account-limit': { kind: 'overload', detail: 'the account has too many requests in progress' },
  'queue-full': { kind: 'overload', detail: 'too many requests wait' },
  'too-late': { kind: 'overload', detail: 'the request could not be finished before its deadline' },
  displaced: { kind: 'overload', detail: 'requests that go first filled the queue' },
  expired: { kind: 'deadline', detail: 'the deadline had passed' },
  'caller-gone': { kind: 'deadline', detail: 'the caller is gone' }
}

const problemOfRefusal = ({ reason, retryAfterMs }: AdmissionRefusal): Problem => ({ ...PROBLEM_OF_REFUSAL[reason], verdict: 'not-run', retryAfterMs })

/**
 * Serves one request: accepts it, identifies route and account, admits it, picks a target, sends it, classifies the outcome, and retries or responds.
 *
 * @param options - Dependencies for serving the request.
 * @param request - Request of the caller.
 * @param response - Response to the caller.
 */
export const serveRequest = async (options: ServeOptions, request: IncomingMessage, response: ServerResponse): Promise<void> => {
  const acceptance = await acceptRequest(options, request, response)
  if (acceptance.isErr()) {
    if (acceptance.error !== undefined) respondWithProblem(options, NO_SERVICE, response, acceptance.error)
    return
  }
  const accepted = acceptance.value
  const { route, account, service, deadlineAtMs, disconnectSignal } = accepted
  const admissionRequest = { route, account, maxQueued: service.maxQueued, deadlineAtMs, disconnectSignal }
  const admitted = await options.admission.admit(admissionRequest, async () => { await execute(options, accepted) })
  if (admitted.isErr()) respondWithProblem(options, route.service, response, problemOfRefusal(admitted.error))
}

const execute = async (options: ServeOptions, accepted: AcceptedRequest): Promise<void> => {
  const reply = await options.idempotencyGuard.run(accepted, async latestSendAtMs => await forward(options, accepted, latestSendAtMs))
  await sendReply(options, accepted, reply)
}

const sendReply = async (options: ServeOptions, accepted: AcceptedRequest, reply: Reply): Promise<void> => {
  const { response, requestId, route, method } = accepted
  if (reply.type === 'problem') {
    response.setHeader(REQUEST_ID_HEADER, requestId)
    respondWithProblem(options, route.service, response, reply.problem)
    return
  }
  const delivery = await deliver({ response, requestId, method, invariants: options.invariants }, reply.response)
  options.metrics.countRequest(route.service, 'ran', delivery)
}

const respondWithProblem = (options: ServeOptions, service: string, response: ServerResponse, problem: Problem): void => {
  options.metrics.countRequest(service, problem.verdict, problem.kind)
  if (response.destroyed) return
  const { headers, complete } = response.req
  const hasUnreadBody = !complete && (headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined)
  if (hasUnreadBody) response.setHeader('connection', 'close')
  sendProblem(response, problem)
}
