import type {
  AttemptSink, Clock, OutcomeKind, RunVerdict, Target, TargetResponse, TargetDirectory, TargetFailure, TargetRequest, TargetReservation, TargetSender
} from '@lovagehoist/common'
import type { Passage } from '../accept/passage.js'
import type { Problem, ProblemKind } from '../answers/problem.js'
import type { RequestMetrics } from '../metrics/requestMetrics.js'
import { headerOf } from './headers.js'
import { holdAnswer } from './heldAnswer.js'
import { judge } from './judge.js'
import type { Judgement } from './judge.js'
import { problemReply } from './reply.js'
import type { Reply } from './reply.js'

/** What a try needs. */
export interface AttemptOptions {
  readonly clock: Clock
  readonly sender: TargetSender
  readonly evidence: AttemptSink
  readonly directory: Pick<TargetDirectory, 'markLeaving'>
  readonly metrics: RequestMetrics
}

/** A try that is over, but for an answer that may still flow. */
export interface Attempt {
  readonly target: Target
  readonly outcome: OutcomeKind
  readonly verdict: RunVerdict
  /** What the caller gets when there is no other try. */
  readonly reply: Reply
}

/** Longest answer to a keyed request that is held, so that it can be recorded. */
const KEYED_ANSWER_BYTES = 262_144
const SHED_RETRY_AFTER_MS = 1_000
const MS_PER_SECOND = 1_000
const BROKEN: Judgement = { outcome: 'broken-answer', verdict: 'may-have-run' }

const PROBLEM_OF: Readonly<Partial<Record<OutcomeKind, ProblemKind>>> = {
  shed: 'overload',
  refused: 'no-target',
  'zone-unreachable': 'no-target',
  timeout: 'deadline',
  'silent-connection': 'deadline',
  'deadline-too-short': 'deadline'
}

const problemOf = ({ outcome, verdict }: Judgement, detail: string, retryAfter?: string): Problem => {
  const problem = { kind: PROBLEM_OF[outcome] ?? 'target-failed', verdict, detail }
  if (verdict !== 'not-run') return problem
  const seconds = Number(retryAfter)
  return { ...problem, retryAfterMs: seconds > 0 ? seconds * MS_PER_SECOND : SHED_RETRY_AFTER_MS }
}

const requestOf = (passage: Passage, remainingMs: number): TargetRequest => ({
  method: passage.method,
  path: passage.path,
  headers: [...passage.headers, passage.deadlineHeader, String(Math.floor(remainingMs))],
  body: passage.body,
  isIdempotent: passage.route.isIdempotent,
  headTimeoutMs: Math.min(passage.service.headTimeoutMs, remainingMs),
  bodyIdleTimeoutMs: passage.service.bodyIdleTimeoutMs
})

const holdBytesOf = ({ key, route }: Passage): number => {
  if (key !== undefined) return KEYED_ANSWER_BYTES
  return route.isIdempotent ? route.heldAnswerBytes : 0
}

/** Cuts an answer that is not over by the deadline. */
const limitBody = (clock: Clock, passage: Passage, answer: TargetResponse): void => {
  const cancel = clock.after(Math.max(0, passage.deadlineAtMs - clock.monotonicMs()), () => { answer.body.destroy(new Error('the deadline passed')) })
  answer.body.once('close', cancel)
}

const report = (options: AttemptOptions, passage: Passage, target: Target, result: TargetResponse | TargetFailure, { outcome, verdict }: Judgement): void => {
  const { route, service, fingerprint } = passage
  options.metrics.attempt(route.service, outcome)
  const { latencyMs, isFreshConnection } = result
  options.evidence.record({ target, routeId: route.id, outcome, verdict, latencyMs, fingerprint, isFreshConnection, isIdempotent: route.isIdempotent })
  const isLeaving = result.type === 'answer' && service.drainHeader !== undefined && headerOf(result.headers, service.drainHeader) !== undefined
  if (isLeaving) options.directory.markLeaving(target.id, 'target-answer')
}

const readyAnswer = async (options: AttemptOptions, passage: Passage, target: Target, answer: TargetResponse, judgement: Judgement): Promise<Attempt> => {
  const holdBytes = holdBytesOf(passage)
  limitBody(options.clock, passage, answer)
  try {
    const ready = await holdAnswer(answer, holdBytes)
    if (ready.rest === undefined) report(options, passage, target, answer, judgement)
    else ready.rest.once('close', () => { report(options, passage, target, answer, streamJudgement(passage, answer, judgement)) })
    if (holdBytes > 0) options.metrics.heldAnswer(passage.route.service, ready.rest === undefined ? 'whole' : 'too-large')
    return { target, ...judgement, reply: { type: 'answer', answer: ready } }
  } catch {
    options.metrics.heldAnswer(passage.route.service, 'broken')
    const broken = passage.gone.aborted ? { ...BROKEN, outcome: 'cancelled' as const } : BROKEN
    report(options, passage, target, answer, broken)
    return { target, ...broken, reply: problemReply(problemOf(broken, 'the answer broke off')) }
  }
}

const streamJudgement = (passage: Passage, answer: TargetResponse, whole: Judgement): Judgement => {
  if (answer.body.readableEnded) return whole
  return passage.gone.aborted ? { ...BROKEN, outcome: 'cancelled' } : BROKEN
}

const refusal = (options: AttemptOptions, passage: Passage, target: Target, answer: TargetResponse, judgement: Judgement): Attempt => {
  answer.body.on('error', () => {}).resume()
  report(options, passage, target, answer, judgement)
  return { target, ...judgement, reply: problemReply(problemOf(judgement, 'the target refused the request before running it', headerOf(answer.headers, 'retry-after'))) }
}

/**
 * Sends a request once to a reserved target and judges the end of the try.
 *
 * @param options - Sender and what is told of the outcome.
 * @param passage - Request.
 * @param reservation - Slot, which is given back when the target's answer is over.
 * @returns The try.
 */
export const attemptOnce = async (options: AttemptOptions, passage: Passage, reservation: TargetReservation): Promise<Attempt> => {
  const { target, release } = reservation
  const outgoing = requestOf(passage, Math.max(1, passage.deadlineAtMs - options.clock.monotonicMs()))
  const cancelled = passage.route.isIdempotent ? passage.gone : new AbortController().signal
  const result = await options.sender.send(target, outgoing, cancelled)
  const judgement = judge(passage.service, result, outgoing.headTimeoutMs)
  if (result.type === 'failure') {
    release()
    report(options, passage, target, result, judgement)
    return { target, ...judgement, reply: problemReply(problemOf(judgement, result.message)) }
  }
  result.body.once('close', release)
  if (judgement.outcome === 'shed') return refusal(options, passage, target, result, judgement)
  return await readyAnswer(options, passage, target, result, judgement)
}
