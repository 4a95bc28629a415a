import { joinVerdicts } from '@lovagehoist/common'
import type { HealthView, Invariants, PickFailure, PickCriteria, RunVerdict, TargetPicker, TargetReservation } from '@lovagehoist/common'
import type { Result } from 'neverthrow'
import type { AcceptedRequest } from '../accept/acceptedRequest.js'
import type { ProblemKind } from '../responses/problem.js'
import { attemptOnce } from './attempt.js'
import type { Attempt, AttemptOptions } from './attempt.js'
import { RETRY_POLICIES } from './classifyOutcome.js'
import { problemReply } from './reply.js'
import type { Reply } from './reply.js'
import type { RetryBudget } from './retryBudget.js'

/** Dependencies for forwarding a request. */
export interface ForwardOptions extends AttemptOptions {
  readonly picker: TargetPicker
  readonly health: HealthView
  readonly retryBudget: RetryBudget
  readonly invariants: Invariants
}

/** Attempts made for one request so far. */
interface AttemptHistory {
  readonly verdict: RunVerdict
  /** Latest attempt, unless only an earlier one has a response of a target. */
  readonly lastAttempt: Attempt | undefined
  readonly triedTargetIds: ReadonlySet<string>
  readonly avoidedZones: ReadonlySet<string>
}

const MAX_ATTEMPTS = 3
const RETRY_AFTER_MS = 1_000
const NO_ATTEMPTS: AttemptHistory = { verdict: 'not-run', lastAttempt: undefined, triedTargetIds: new Set(), avoidedZones: new Set() }

const PROBLEM_KIND_OF_PICK_FAILURE: Readonly<Record<PickFailure, ProblemKind>> = { 'no-target': 'no-target', 'no-slot': 'overload', deadline: 'deadline' }

const addAttempt = (history: AttemptHistory, attempt: Attempt): AttemptHistory => ({
  verdict: joinVerdicts(history.verdict, attempt.verdict),
  lastAttempt: attempt.reply.type === 'problem' && history.lastAttempt?.reply.type === 'answer' ? history.lastAttempt : attempt,
  triedTargetIds: new Set([...history.triedTargetIds, attempt.target.id]),
  avoidedZones: RETRY_POLICIES[attempt.outcome].isZoneSuspect ? new Set([...history.avoidedZones, attempt.target.availabilityZone]) : history.avoidedZones
})

const pickTarget = async (options: ForwardOptions, accepted: AcceptedRequest, history: AttemptHistory): Promise<Result<TargetReservation, PickFailure>> => {
  const { route, deadlineAtMs, disconnectSignal } = accepted
  const { triedTargetIds, avoidedZones } = history
  const criteria: PickCriteria = { service: route.service, isIdempotent: route.isIdempotent, triedTargetIds, avoidedZones, deadlineAtMs, priority: route.priority }
  const picked = await options.picker.pick(criteria, disconnectSignal)
  const isBlockedByAvoidedZones = picked.isErr() && picked.error === 'no-target' && avoidedZones.size > 0
  return isBlockedByAvoidedZones ? await options.picker.pick({ ...criteria, avoidedZones: new Set() }, disconnectSignal) : picked
}

/** Whether a payment was shed before it was executed. Its retry is exempt from the budget, because each attempt waits for a slot of this daemon's share anyway. */
const isShedPayment = ({ route }: AcceptedRequest, { verdict, lastAttempt }: AttemptHistory): boolean =>
  route.priority === 'payment' && verdict === 'not-run' && lastAttempt?.outcome === 'shed'

const mayRetry = (options: ForwardOptions, accepted: AcceptedRequest, history: AttemptHistory, attempt: Attempt): boolean => {
  const { route, disconnectSignal, deadlineAtMs } = accepted
  const policy = RETRY_POLICIES[attempt.outcome]
  const isSafeToRetry = route.isIdempotent || history.verdict === 'not-run'
  const isStreaming = attempt.reply.type === 'answer' && attempt.reply.response.rest !== undefined
  if (policy.retry === 'never' || !isSafeToRetry || isStreaming || disconnectSignal.aborted) return false
  if (history.triedTargetIds.size >= MAX_ATTEMPTS || options.clock.monotonicMs() >= deadlineAtMs) return false
  if (isShedPayment(accepted, history)) return true
  if (options.health.isPoolShedding(route.service)) return false
  if (!policy.isBudgeted || options.retryBudget.tryAcquire(route.service)) return true
  options.metrics.countBudgetRefusal(route.service)
  return false
}

/** Reply when no further attempt is made; its verdict covers all attempts. */
const finalReply = (history: AttemptHistory, pickFailure?: PickFailure): Reply => {
  const { lastAttempt, verdict } = history
  if (lastAttempt?.reply.type === 'answer') return lastAttempt.reply
  if (lastAttempt !== undefined) {
    const { retryAfterMs, ...problem } = lastAttempt.reply.problem
    return problemReply({ ...problem, verdict, ...(verdict === 'not-run' && retryAfterMs !== undefined ? { retryAfterMs } : {}) })
  }
  return problemReply({ kind: PROBLEM_KIND_OF_PICK_FAILURE[pickFailure ?? 'deadline'], verdict, detail: `not sent: ${pickFailure ?? 'deadline'}`, retryAfterMs: RETRY_AFTER_MS })
}

/**
 * Forwards a request: picks a target, sends the request, classifies the outcome, and retries or returns a reply.
 *
 * @param options - Dependencies for forwarding the request.
 * @param accepted - Accepted request.
 * @param latestSendAtMs - Monotonic time after which the request must not be sent.
 * @returns Reply for the caller.
 */
export const forward = async (options: ForwardOptions, accepted: AcceptedRequest, latestSendAtMs = Infinity): Promise<Reply> => {
  const { clock, invariants, metrics, retryBudget } = options
  const { route, service, deadlineAtMs } = accepted
  let history = NO_ATTEMPTS
  retryBudget.recordRequest(route.service, service.retryBudgetShare)
  for (;;) {
    const picked = await pickTarget(options, accepted, history)
    if (picked.isErr()) return finalReply(history, picked.error)
    if (clock.monotonicMs() >= Math.min(deadlineAtMs, latestSendAtMs) || accepted.disconnectSignal.aborted) {
      picked.value.release()
      return finalReply(history, 'deadline')
    }
    if (history.lastAttempt !== undefined) metrics.countRetry(route.service)
    invariants.check('at-most-once', route.isIdempotent || history.verdict === 'not-run', { route: route.id, requestId: accepted.requestId })
    const attempt = await attemptOnce(options, accepted, picked.value)
    history = addAttempt(history, attempt)
    if (!mayRetry(options, accepted, history, attempt)) return finalReply(history)
  }
}
