import type { Readable } from 'node:stream'
import type { CancelTimer, Clock, GatewayHeaders, ListedTarget, ActiveAttempt, OutcomeKind, RawHeaders, RunVerdict, TargetResponse, TargetFailure, TargetSender, AttemptOutcome } from '@lovagehoist/common'
import { headerOf } from '../exchange/headers.js'
import { holdAnswer } from '../exchange/heldAnswer.js'
import type { ReadyAnswer } from '../exchange/heldAnswer.js'
import type { GatewayPassage } from './gatewayPassage.js'

/** How a try ended. */
export interface TryResult {
  readonly target: ListedTarget
  readonly outcome: OutcomeKind | 'wrong-target'
  readonly verdict: RunVerdict
  /** Whether anything was sent to the target. */
  readonly isSent: boolean
  /** Answer of the target, when it is one for the caller. */
  readonly answer: ReadyAnswer | undefined
  readonly detail: string
  readonly latencyMs: number
}

/** What a try needs. */
export interface TryOptions {
  readonly clock: Clock
  readonly headers: GatewayHeaders
  readonly sender: TargetSender
}

/** Answers up to this size are held until they are whole, so that a break is repeated or reported as a failure. */
const HELD_BYTES = 1_048_576
const FIRST_FAILURE = 500
const FIRST_REDIRECT = 300
const WRONG_TARGET = 421
const MISSING = ''

/** Endings as evidence; a caller that left says nothing about the target. */
const ENDING_OF: Readonly<Record<TryResult['outcome'], AttemptOutcome>> = {
  ok: 'succeeded',
  slow: 'succeeded',
  'caller-fault': 'succeeded',
  refused: 'unreachable',
  reset: 'failed',
  // Routes may allow less time than the work takes; requests that wait unusually long are counted while they wait.
  timeout: 'unknown',
  'broken-answer': 'failed',
  'server-error': 'failed',
  'zone-unreachable': 'unreachable',
  shed: 'refused',
  cancelled: 'unknown',
  'deadline-too-short': 'unknown',
  poison: 'unknown',
  'silent-connection': 'unknown',
  'wrong-target': 'unknown'
}

/**
 * Says why an answer can't be the target's answer to a request.
 *
 * @param names - Names of header fields.
 * @param requestId - Id that the answer must repeat.
 * @returns The check of an answer's head.
 */
const refuter = (names: GatewayHeaders, requestId: string) => (status: number, headers: RawHeaders): string | undefined => {
  if (requestId !== MISSING && headerOf(headers, names.requestId) !== requestId) return 'the answer repeats another request id'
  if (headerOf(headers, 'content-encoding') !== undefined) return 'the answer has a content coding that nobody asked for'
  const isSuccess = status < FIRST_REDIRECT
  if (isSuccess && headerOf(headers, names.signature) === undefined) return 'the answer bears no signature of a target'
  return undefined
}

const judgeStatus = (names: GatewayHeaders, { status, headers }: TargetResponse): Pick<TryResult, 'outcome' | 'verdict'> => {
  if (status === WRONG_TARGET) return { outcome: 'wrong-target', verdict: 'not-run' }
  if (headerOf(headers, names.notRun) !== undefined) return { outcome: 'shed', verdict: 'not-run' }
  return { outcome: status >= FIRST_FAILURE ? 'server-error' : 'ok', verdict: 'ran' }
}

const failed = (target: ListedTarget, failure: TargetFailure): TryResult => ({
  target,
  outcome: failure.outcome,
  verdict: failure.verdict,
  isSent: failure.verdict !== 'not-run',
  answer: undefined,
  detail: failure.message,
  latencyMs: failure.latencyMs
})

/** Gives a body up when the answer is due. */
const limitBody = ({ clock }: TryOptions, { answerByMs }: GatewayPassage, body: Readable): CancelTimer => {
  const cancel = clock.after(Math.max(0, answerByMs - clock.monotonicMs()), () => { body.destroy() })
  body.once('close', cancel)
  return cancel
}

const answered = async (options: TryOptions, passage: GatewayPassage, target: ListedTarget, answer: TargetResponse): Promise<TryResult> => {
  const judged = judgeStatus(options.headers, answer)
  const base = { target, ...judged, isSent: true, latencyMs: answer.latencyMs, detail: `status ${answer.status}` }
  const cancelLimit = limitBody(options, passage, answer.body)
  try {
    const ready = await holdAnswer(answer, HELD_BYTES)
    if (ready.rest === undefined) cancelLimit()
    return { ...base, answer: judged.verdict === 'ran' ? ready : undefined }
  } catch {
    const isCancelled = passage.gone.aborted
    const isLate = options.clock.monotonicMs() >= passage.answerByMs
    const outcome = isCancelled ? 'cancelled' : isLate ? 'timeout' : 'broken-answer'
    return { ...base, outcome, verdict: judged.verdict, answer: undefined, detail: 'the answer broke off' }
  }
}

/**
 * Sends a request once to a chosen target and judges the end.
 *
 * @param options - Sender and names of header fields.
 * @param passage - Request.
 * @param target - Chosen target.
 * @param open - Counted try, which is ended here.
 * @returns How it ended.
 */
export const tryOnce = async (options: TryOptions, passage: GatewayPassage, target: ListedTarget, open: ActiveAttempt): Promise<TryResult> => {
  const { clock, headers, sender } = options
  const startedAtMs = clock.monotonicMs()
  const leftMs = Math.max(1, Math.floor(passage.answerByMs - startedAtMs))
  const cancelled = passage.route.isIdempotent ? passage.gone : new AbortController().signal
  const sent = await sender.send(target, {
    method: passage.method,
    path: passage.path,
    headers: [...passage.headers, headers.deadline, String(leftMs), headers.expectedTarget, target.id],
    body: passage.body,
    isIdempotent: passage.route.isIdempotent,
    headTimeoutMs: leftMs,
    bodyIdleTimeoutMs: leftMs,
    findResponseMismatch: refuter(headers, passage.requestId),
    allowsCloseDelimitedBody: true
  }, cancelled)
  const result = sent.type === 'failure' ? failed(target, sent) : await answered(options, passage, target, sent)
  open.end(ENDING_OF[result.outcome], clock.monotonicMs() - startedAtMs)
  return result
}
