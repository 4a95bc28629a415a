import type { Clock, GatewayHeaders, ListedTarget, ActiveAttempt, OutcomeKind, RawHeaders, RunVerdict, TargetResponse, TargetFailure, TargetSender, AttemptOutcome } from '@lovagehoist/common'
import { findHeader } from '../exchange/headers.js'
import { bufferResponse } from '../exchange/bufferResponse.js'
import type { BufferedResponse } from '../exchange/bufferResponse.js'
import type { AcceptedGatewayRequest } from './acceptGatewayRequest.js'

/** Result of one attempt to send a request to a target. */
export interface GatewayAttemptResult {
  readonly target: ListedTarget
  readonly outcome: OutcomeKind | 'wrong-target'
  readonly verdict: RunVerdict
  /** Whether any part of the request may have reached the target. */
  readonly isSent: boolean
  /** Response of the target; undefined when it must not be passed on to the caller. */
  readonly response: BufferedResponse | undefined
  readonly detail: string
  readonly latencyMs: number
  /** Time from the choice of the target until the request was sent, or given up. */
  readonly sendDelayMs: number
}

/** Result of an attempt, before the time of its sending is added. */
type AttemptOutcomeResult = Omit<GatewayAttemptResult, 'sendDelayMs'>

/** Head of a target's answer. */
export interface TargetAnswerHead {
  readonly status: number
  readonly headers: RawHeaders
  /** Whether the answer bears proof that it comes from the target. */
  readonly isProven: boolean
  /** Monotonic time at which the request was sent. */
  readonly sentAtMs: number
}

/** Dependencies of an attempt. */
export interface GatewayAttemptOptions {
  readonly clock: Clock
  readonly headers: GatewayHeaders
  readonly sender: TargetSender
  /** Called with the head of each answer, unless another target gave it. */
  readonly onTargetAnswer?: (target: ListedTarget, answer: TargetAnswerHead) => void
  /** Whether a target may still get requests once a connection has been opened. */
  readonly isUsable?: (target: ListedTarget) => boolean
}

/** Responses up to this size are buffered completely, so that a truncated one can be retried or reported as a failure. */
const MAX_BUFFERED_BYTES = 1_048_576
const FIRST_SERVER_ERROR = 500
const FIRST_REDIRECT = 300
const MISDIRECTED_REQUEST = 421
const NO_REQUEST_ID = ''

/** What each outcome says about the health of the target; for instance, a caller's disconnect says nothing. */
const REPORTED_OUTCOME: Readonly<Record<GatewayAttemptResult['outcome'], AttemptOutcome>> = {
  ok: 'succeeded',
  slow: 'succeeded',
  'caller-fault': 'succeeded',
  refused: 'unreachable',
  reset: 'disconnected',
  // A route may allow less time than the work takes; overdue requests are counted separately while they wait.
  timeout: 'unknown',
  'broken-answer': 'failed',
  'server-error': 'failed',
  'zone-unreachable': 'unreachable',
  shed: 'refused',
  cancelled: 'unknown',
  'deadline-too-short': 'unknown',
  poison: 'unknown',
  'silent-connection': 'unknown',
  withdrawn: 'unknown',
  'wrong-target': 'unknown'
}

/**
 * Creates the check that a response really is the target's response to a request.
 *
 * @param headerNames - Names of the gateway's header fields.
 * @param requestId - Id that the response must repeat.
 * @returns Check of a response head; it returns the reason for rejecting it, or undefined.
 */
const responseValidator = (headerNames: GatewayHeaders, requestId: string) => (status: number, headers: RawHeaders): string | undefined => {
  if (requestId !== NO_REQUEST_ID && findHeader(headers, headerNames.requestId) !== requestId) return 'the answer repeats another request id'
  if (findHeader(headers, 'content-encoding') !== undefined) return 'the answer has a content coding that nobody asked for'
  const isSuccess = status < FIRST_REDIRECT
  if (isSuccess && findHeader(headers, headerNames.signature) === undefined) return 'the answer bears no signature of a target'
  return undefined
}

/** Whether an answer shows that it comes from the target itself, not from another one at its address or something in between. */
const isProvenAnswer = (headerNames: GatewayHeaders, { headers }: TargetResponse): boolean =>
  findHeader(headers, headerNames.signature) !== undefined || findHeader(headers, headerNames.notRun) !== undefined

const classifyStatus = (headerNames: GatewayHeaders, status: number, headers: RawHeaders): Pick<GatewayAttemptResult, 'outcome' | 'verdict'> => {
  if (status === MISDIRECTED_REQUEST) return { outcome: 'wrong-target', verdict: 'not-run' }
  if (findHeader(headers, headerNames.notRun) !== undefined) return { outcome: 'shed', verdict: 'not-run' }
  return { outcome: status >= FIRST_SERVER_ERROR ? 'server-error' : 'ok', verdict: 'ran' }
}

const failedAttempt = (target: ListedTarget, failure: TargetFailure): AttemptOutcomeResult => ({
  target,
  outcome: failure.outcome,
  verdict: failure.verdict,
  isSent: failure.verdict !== 'not-run',
  response: undefined,
  detail: failure.message,
  latencyMs: failure.latencyMs
})

/**
 * Buffers the beginning of a response; its body is destroyed if it has not ended by the request's deadline.
 *
 * @param clock - Source of time.
 * @param accepted - Request with its deadline.
 * @param response - Response whose head has been received.
 * @param tryReserve - Reserves memory for bytes to buffer.
 * @returns The buffered response; undefined if the body failed or the deadline passed while it was being buffered.
 */
export const bufferUntilDeadline = async (clock: Clock, { deadlineAtMs, bufferHold }: AcceptedGatewayRequest, response: TargetResponse, tryReserve = (bytes: number): boolean => bufferHold.tryReserveResponse(bytes)): Promise<BufferedResponse | undefined> => {
  const cancel = clock.after(Math.max(0, deadlineAtMs - clock.monotonicMs()), () => { response.body.destroy() })
  response.body.once('close', cancel)
  try {
    const buffered = await bufferResponse(response, MAX_BUFFERED_BYTES, tryReserve)
    if (buffered.rest === undefined) cancel()
    return buffered
  } catch {
    return undefined
  }
}

const completedAttempt = async (options: GatewayAttemptOptions, accepted: AcceptedGatewayRequest, target: ListedTarget, response: TargetResponse): Promise<AttemptOutcomeResult> => {
  const classified = classifyStatus(options.headers, response.status, response.headers)
  const attempt = { target, ...classified, isSent: true, latencyMs: response.latencyMs, detail: `status ${response.status}` }
  const buffered = await bufferUntilDeadline(options.clock, accepted, response)
  if (buffered !== undefined) return { ...attempt, response: classified.verdict === 'ran' ? buffered : undefined }
  const isCancelled = accepted.disconnectSignal.aborted
  const isOverdue = options.clock.monotonicMs() >= accepted.deadlineAtMs
  const outcome = isCancelled ? 'cancelled' : isOverdue ? 'timeout' : 'broken-answer'
  return { ...attempt, outcome, response: undefined, detail: 'the answer broke off' }
}

/**
 * Sends a request once to a chosen target and classifies the outcome.
 *
 * @param options - Sender, clock and names of the gateway's header fields.
 * @param accepted - Accepted request.
 * @param target - Chosen target.
 * @param activeAttempt - Load accounting of this attempt, which is ended here.
 * @returns Result of the attempt.
 */
export const sendGatewayAttempt = async (options: GatewayAttemptOptions, accepted: AcceptedGatewayRequest, target: ListedTarget, activeAttempt: ActiveAttempt): Promise<GatewayAttemptResult> => {
  const { clock, headers, sender } = options
  const startedAtMs = clock.monotonicMs()
  const remainingMs = Math.max(1, Math.floor(accepted.deadlineAtMs - startedAtMs))
  const abortSignal = accepted.route.isIdempotent ? accepted.disconnectSignal : new AbortController().signal
  const sendResult = await sender.send(target, {
    method: accepted.method,
    path: accepted.path,
    headers: [...accepted.headers, headers.deadline, String(remainingMs), headers.expectedTarget, target.id],
    body: accepted.body,
    isIdempotent: accepted.route.isIdempotent,
    headTimeoutMs: remainingMs,
    bodyIdleTimeoutMs: remainingMs,
    id: accepted.requestId,
    isRefusal: (status, answerHeaders) => classifyStatus(headers, status, answerHeaders).verdict === 'not-run',
    findResponseMismatch: responseValidator(headers, accepted.requestId),
    isStillWanted: () => options.isUsable?.(target) !== false,
    allowsCloseDelimitedBody: true,
    awaitReadRoom: read => { accepted.bufferHold.awaitReadRoom(read) }
  }, abortSignal)
  const sendDelayMs = Math.max(0, clock.monotonicMs() - startedAtMs - sendResult.latencyMs)
  if (sendResult.type === 'answer' && sendResult.status !== MISDIRECTED_REQUEST) {
    options.onTargetAnswer?.(target, { status: sendResult.status, headers: sendResult.headers, isProven: isProvenAnswer(headers, sendResult), sentAtMs: startedAtMs })
  }
  const result = sendResult.type === 'failure' ? failedAttempt(target, sendResult) : await completedAttempt(options, accepted, target, sendResult)
  activeAttempt.end(REPORTED_OUTCOME[result.outcome], clock.monotonicMs() - startedAtMs)
  return { ...result, sendDelayMs }
}
