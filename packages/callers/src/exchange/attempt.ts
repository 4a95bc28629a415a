import type {
  AttemptSink, Clock, OutcomeKind, RunVerdict, Target, TargetResponse, TargetDirectory, TargetFailure, TargetRequest, TargetReservation, TargetSender
} from '@lovagehoist/common'
import type { AcceptedRequest } from '../accept/acceptedRequest.js'
import type { Problem, ProblemKind } from '../responses/problem.js'
import type { RequestMetrics } from '../metrics/requestMetrics.js'
import { findHeader } from './headers.js'
import { bufferResponse } from './bufferResponse.js'
import { classifyOutcome } from './classifyOutcome.js'
import type { OutcomeClassification } from './classifyOutcome.js'
import { problemReply } from './reply.js'
import type { Reply } from './reply.js'

/** Dependencies of an attempt. */
export interface AttemptOptions {
  readonly clock: Clock
  readonly sender: TargetSender
  readonly attemptSink: AttemptSink
  readonly directory: Pick<TargetDirectory, 'markLeaving'>
  readonly metrics: RequestMetrics
}

/** A classified attempt; the body of its response may still be streaming. */
export interface Attempt {
  readonly target: Target
  readonly outcome: OutcomeKind
  readonly verdict: RunVerdict
  /** Reply for the caller if no further attempt is made. */
  readonly reply: Reply
}

/** Largest response to a request with an idempotency key that is buffered, so that it can be recorded for replay. */
const MAX_KEYED_RESPONSE_BYTES = 262_144
const SHED_RETRY_AFTER_MS = 1_000
const MS_PER_SECOND = 1_000
const BROKEN_RESPONSE: OutcomeClassification = { outcome: 'broken-answer', verdict: 'may-have-run' }

const PROBLEM_KIND_OF_OUTCOME: Readonly<Partial<Record<OutcomeKind, ProblemKind>>> = {
  shed: 'overload',
  refused: 'no-target',
  'zone-unreachable': 'no-target',
  timeout: 'deadline',
  'silent-connection': 'deadline',
  'deadline-too-short': 'deadline'
}

const problemOf = ({ outcome, verdict }: OutcomeClassification, detail: string, retryAfter?: string): Problem => {
  const problem = { kind: PROBLEM_KIND_OF_OUTCOME[outcome] ?? 'target-failed', verdict, detail }
  if (verdict !== 'not-run') return problem
  const seconds = Number(retryAfter)
  return { ...problem, retryAfterMs: seconds > 0 ? seconds * MS_PER_SECOND : SHED_RETRY_AFTER_MS }
}

const targetRequestOf = (accepted: AcceptedRequest, remainingMs: number): TargetRequest => ({
  method: accepted.method,
  path: accepted.path,
  headers: [...accepted.headers, accepted.deadlineHeader, String(Math.floor(remainingMs))],
  body: accepted.body,
  isIdempotent: accepted.route.isIdempotent,
  headTimeoutMs: Math.min(accepted.service.headTimeoutMs, remainingMs),
  bodyIdleTimeoutMs: accepted.service.bodyIdleTimeoutMs
})

const bufferLimitOf = ({ idempotencyKey, route }: AcceptedRequest): number => {
  if (idempotencyKey !== undefined) return MAX_KEYED_RESPONSE_BYTES
  return route.isIdempotent ? route.heldAnswerBytes : 0
}

/** Destroys a response body that has not ended by the request's deadline. */
const enforceDeadline = (clock: Clock, accepted: AcceptedRequest, response: TargetResponse): void => {
  const cancel = clock.after(Math.max(0, accepted.deadlineAtMs - clock.monotonicMs()), () => { response.body.destroy(new Error('response body did not end by the deadline')) })
  response.body.once('close', cancel)
}

const reportOutcome = (options: AttemptOptions, accepted: AcceptedRequest, target: Target, result: TargetResponse | TargetFailure, { outcome, verdict }: OutcomeClassification): void => {
  const { route, service, fingerprint } = accepted
  options.metrics.countAttempt(route.service, outcome)
  const { latencyMs, isFreshConnection } = result
  options.attemptSink.record({ target, routeId: route.id, outcome, verdict, latencyMs, fingerprint, isFreshConnection, isIdempotent: route.isIdempotent })
  const isLeaving = result.type === 'answer' && service.drainHeader !== undefined && findHeader(result.headers, service.drainHeader) !== undefined
  if (isLeaving) options.directory.markLeaving(target.id, 'target-answer')
}

const bufferedAttempt = async (options: AttemptOptions, accepted: AcceptedRequest, target: Target, response: TargetResponse, classification: OutcomeClassification): Promise<Attempt> => {
  const bufferLimitBytes = bufferLimitOf(accepted)
  enforceDeadline(options.clock, accepted, response)
  try {
    const buffered = await bufferResponse(response, bufferLimitBytes)
    if (buffered.rest === undefined) reportOutcome(options, accepted, target, response, classification)
    else buffered.rest.once('close', () => { reportOutcome(options, accepted, target, response, classifyStreamEnd(accepted, response, classification)) })
    if (bufferLimitBytes > 0) options.metrics.countBufferedResponse(accepted.route.service, buffered.rest === undefined ? 'whole' : 'too-large')
    return { target, ...classification, reply: { type: 'answer', response: buffered } }
  } catch {
    options.metrics.countBufferedResponse(accepted.route.service, 'broken')
    const broken = accepted.disconnectSignal.aborted ? { ...BROKEN_RESPONSE, outcome: 'cancelled' as const } : BROKEN_RESPONSE
    reportOutcome(options, accepted, target, response, broken)
    return { target, ...broken, reply: problemReply(problemOf(broken, 'the answer broke off')) }
  }
}

const classifyStreamEnd = (accepted: AcceptedRequest, response: TargetResponse, whenComplete: OutcomeClassification): OutcomeClassification => {
  if (response.body.readableEnded) return whenComplete
  return accepted.disconnectSignal.aborted ? { ...BROKEN_RESPONSE, outcome: 'cancelled' } : BROKEN_RESPONSE
}

const shedAttempt = (options: AttemptOptions, accepted: AcceptedRequest, target: Target, response: TargetResponse, classification: OutcomeClassification): Attempt => {
  response.body.on('error', () => {}).resume()
  reportOutcome(options, accepted, target, response, classification)
  return { target, ...classification, reply: problemReply(problemOf(classification, 'the target refused the request before running it', findHeader(response.headers, 'retry-after'))) }
}

/**
 * Sends a request once to a reserved target and classifies the outcome.
 *
 * @param options - Sender, and the consumers of the outcome.
 * @param accepted - Accepted request.
 * @param reservation - Reserved slot, released when the target's response has ended.
 * @returns The attempt.
 */
export const attemptOnce = async (options: AttemptOptions, accepted: AcceptedRequest, reservation: TargetReservation): Promise<Attempt> => {
  const { target, release } = reservation
  const targetRequest = targetRequestOf(accepted, Math.max(1, accepted.deadlineAtMs - options.clock.monotonicMs()))
  const abortSignal = accepted.route.isIdempotent ? accepted.disconnectSignal : new AbortController().signal
  const result = await options.sender.send(target, targetRequest, abortSignal)
  const classification = classifyOutcome(accepted.service, result, targetRequest.headTimeoutMs)
  if (result.type === 'failure') {
    release()
    reportOutcome(options, accepted, target, result, classification)
    return { target, ...classification, reply: problemReply(problemOf(classification, result.message)) }
  }
  result.body.once('close', release)
  if (classification.outcome === 'shed') return shedAttempt(options, accepted, target, result, classification)
  return await bufferedAttempt(options, accepted, target, result, classification)
}
