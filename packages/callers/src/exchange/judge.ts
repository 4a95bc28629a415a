import type { OutcomeKind, RunVerdict, ServiceConfig, TargetResponse, TargetFailure } from '@lovagehoist/common'
import { headerOf } from './headers.js'

/** Outcome and verdict of one try. */
export interface Judgement {
  readonly outcome: OutcomeKind
  readonly verdict: RunVerdict
}

/** What a try's outcome allows. */
export interface OutcomePolicy {
  /** `idempotent` repeats only idempotent requests or those proven not run. */
  readonly retry: 'never' | 'idempotent'
  /** Whether the retry is taken out of the service's budget. */
  readonly isBudgeted: boolean
  /** Whether the availability zone may be the cause. */
  readonly isZoneSuspect: boolean
}

const answered: OutcomePolicy = { retry: 'never', isBudgeted: false, isZoneSuspect: false }
const elsewhere: OutcomePolicy = { retry: 'idempotent', isBudgeted: true, isZoneSuspect: false }
const otherZone: OutcomePolicy = { ...elsewhere, isZoneSuspect: true }

/** What each outcome of a try allows. */
export const OUTCOME_POLICY: Readonly<Record<OutcomeKind, OutcomePolicy>> = {
  ok: answered,
  slow: answered,
  'caller-fault': answered,
  cancelled: answered,
  poison: answered,
  'deadline-too-short': answered,
  refused: { ...otherZone, isBudgeted: false },
  reset: elsewhere,
  timeout: otherZone,
  'silent-connection': elsewhere,
  'zone-unreachable': otherZone,
  'broken-answer': elsewhere,
  'server-error': elsewhere,
  shed: elsewhere
}

/** Share of the head timeout below which a timeout says more about the deadline than about the target. */
const SHORT_DEADLINE_SHARE = 0.2
const FIRST_SERVER_ERROR = 500
const FIRST_CALLER_ERROR = 400

const isShed = ({ shedAnswer }: ServiceConfig, answer: TargetResponse): boolean =>
  shedAnswer !== undefined && answer.status === shedAnswer.status && headerOf(answer.headers, shedAnswer.header) !== undefined

const judgeAnswer = (service: ServiceConfig, answer: TargetResponse): Judgement => {
  if (isShed(service, answer)) return { outcome: 'shed', verdict: 'not-run' }
  if (answer.status >= FIRST_SERVER_ERROR) return { outcome: 'server-error', verdict: 'ran' }
  return { outcome: answer.status >= FIRST_CALLER_ERROR ? 'caller-fault' : 'ok', verdict: 'ran' }
}

/**
 * Judges the end of a try.
 *
 * @param service - Service, with its contract for shed answers.
 * @param result - How the try ended.
 * @param headTimeoutMs - Time that the try was given for the answer's head.
 * @returns Outcome and verdict.
 */
export const judge = (service: ServiceConfig, result: TargetResponse | TargetFailure, headTimeoutMs: number): Judgement => {
  if (result.type === 'answer') return judgeAnswer(service, result)
  const isShort = headTimeoutMs < service.headTimeoutMs * SHORT_DEADLINE_SHARE
  return { outcome: result.outcome === 'timeout' && isShort ? 'deadline-too-short' : result.outcome, verdict: result.verdict }
}
