import { joinVerdicts } from '@lovagehoist/common'
import type { HealthView, Invariants, PickFailure, PickCriteria, RunVerdict, TargetPicker, TargetReservation } from '@lovagehoist/common'
import type { Result } from 'neverthrow'
import type { Passage } from '../accept/passage.js'
import type { ProblemKind } from '../answers/problem.js'
import { attemptOnce } from './attempt.js'
import type { Attempt, AttemptOptions } from './attempt.js'
import { OUTCOME_POLICY } from './judge.js'
import { problemReply } from './reply.js'
import type { Reply } from './reply.js'
import type { RetryBudget } from './retryBudget.js'

/** What forwarding a request needs. */
export interface ForwardOptions extends AttemptOptions {
  readonly picker: TargetPicker
  readonly health: HealthView
  readonly budget: RetryBudget
  readonly invariants: Invariants
}

/** Tries of one request so far. */
interface Tries {
  readonly verdict: RunVerdict
  /** Latest try; one with a target's answer is preferred. */
  readonly last: Attempt | undefined
  readonly triedTargetIds: ReadonlySet<string>
  readonly avoidedZones: ReadonlySet<string>
}

const MOST_TRIES = 3
const RETRY_AFTER_MS = 1_000
const NO_TRIES: Tries = { verdict: 'not-run', last: undefined, triedTargetIds: new Set(), avoidedZones: new Set() }

const PROBLEM_OF: Readonly<Record<PickFailure, ProblemKind>> = { 'no-target': 'no-target', 'no-slot': 'overload', deadline: 'deadline' }

const addTry = (tries: Tries, attempt: Attempt): Tries => ({
  verdict: joinVerdicts(tries.verdict, attempt.verdict),
  last: attempt.reply.type === 'problem' && tries.last?.reply.type === 'answer' ? tries.last : attempt,
  triedTargetIds: new Set([...tries.triedTargetIds, attempt.target.id]),
  avoidedZones: OUTCOME_POLICY[attempt.outcome].isZoneSuspect ? new Set([...tries.avoidedZones, attempt.target.availabilityZone]) : tries.avoidedZones
})

const pick = async (options: ForwardOptions, passage: Passage, tries: Tries): Promise<Result<TargetReservation, PickFailure>> => {
  const { route, deadlineAtMs, gone } = passage
  const { triedTargetIds, avoidedZones } = tries
  const need: PickCriteria = { service: route.service, isIdempotent: route.isIdempotent, triedTargetIds, avoidedZones, deadlineAtMs, priority: route.priority }
  const picked = await options.picker.pick(need, gone)
  const isZonesFault = picked.isErr() && picked.error === 'no-target' && avoidedZones.size > 0
  return isZonesFault ? await options.picker.pick({ ...need, avoidedZones: new Set() }, gone) : picked
}

/** Payments that targets refused before running them are tried again: each try waits for a slot of this daemon's share. */
const isRefusedPayment = ({ route }: Passage, { verdict, last }: Tries): boolean =>
  route.priority === 'payment' && verdict === 'not-run' && last?.outcome === 'shed'

const mayRetry = (options: ForwardOptions, passage: Passage, tries: Tries, attempt: Attempt): boolean => {
  const { route, gone, deadlineAtMs } = passage
  const policy = OUTCOME_POLICY[attempt.outcome]
  const isHarmless = route.isIdempotent || tries.verdict === 'not-run'
  const isFlowing = attempt.reply.type === 'answer' && attempt.reply.answer.rest !== undefined
  if (policy.retry === 'never' || !isHarmless || isFlowing || gone.aborted) return false
  if (tries.triedTargetIds.size >= MOST_TRIES || options.clock.monotonicMs() >= deadlineAtMs) return false
  if (isRefusedPayment(passage, tries)) return true
  if (options.health.isPoolShedding(route.service)) return false
  if (!policy.isBudgeted || options.budget.spend(route.service)) return true
  options.metrics.budgetRefusal(route.service)
  return false
}

/** The reply when no other try is made; its verdict covers all tries. */
const finish = (tries: Tries, pickFailure?: PickFailure): Reply => {
  const { last, verdict } = tries
  if (last?.reply.type === 'answer') return last.reply
  if (last !== undefined) {
    const { retryAfterMs, ...problem } = last.reply.problem
    return problemReply({ ...problem, verdict, ...(verdict === 'not-run' && retryAfterMs !== undefined ? { retryAfterMs } : {}) })
  }
  return problemReply({ kind: PROBLEM_OF[pickFailure ?? 'deadline'], verdict, detail: `not sent: ${pickFailure ?? 'deadline'}`, retryAfterMs: RETRY_AFTER_MS })
}

/**
 * Sends a request: pick, send, judge the outcome, retry or reply.
 *
 * @param options - The parts on its way.
 * @param passage - Request.
 * @param latestSendAtMs - Monotonic time after which it must not be sent.
 * @returns What the caller is to get.
 */
export const forward = async (options: ForwardOptions, passage: Passage, latestSendAtMs = Infinity): Promise<Reply> => {
  const { clock, invariants, metrics, budget } = options
  const { route, service, deadlineAtMs } = passage
  let tries = NO_TRIES
  budget.earn(route.service, service.retryBudgetShare)
  for (;;) {
    const picked = await pick(options, passage, tries)
    if (picked.isErr()) return finish(tries, picked.error)
    if (clock.monotonicMs() >= Math.min(deadlineAtMs, latestSendAtMs) || passage.gone.aborted) {
      picked.value.release()
      return finish(tries, 'deadline')
    }
    if (tries.last !== undefined) metrics.retry(route.service)
    invariants.check('at-most-once', route.isIdempotent || tries.verdict === 'not-run', { route: route.id, requestId: passage.requestId })
    const attempt = await attemptOnce(options, passage, picked.value)
    tries = addTry(tries, attempt)
    if (!mayRetry(options, passage, tries, attempt)) return finish(tries)
  }
}
