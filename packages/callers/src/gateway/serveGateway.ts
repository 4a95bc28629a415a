import type { IncomingMessage, ServerResponse } from 'node:http'
import { joinVerdicts } from '@lovagehoist/common'
import type { TargetChoice, Invariants, Log, RunVerdict, TargetSelector } from '@lovagehoist/common'
import { deliver } from '../answers/deliver.js'
import { fractionalSeconds, sendProblem, statusOf } from '../answers/problem.js'
import type { Problem } from '../answers/problem.js'
import type { ReadyAnswer } from '../exchange/heldAnswer.js'
import type { RequestMetrics } from '../metrics/requestMetrics.js'
import { acceptGateway, gatewayRequestId } from './gatewayPassage.js'
import type { GatewayAcceptOptions, GatewayPassage } from './gatewayPassage.js'
import type { PoisonWatch } from './poisonWatch.js'
import type { RetryAllowance } from './retryAllowance.js'
import { RETRY_RULES } from './retryRules.js'
import { tryOnce } from './tryOnce.js'
import type { TryOptions, TryResult } from './tryOnce.js'

/** What serving a request needs. */
export interface GatewayServeOptions extends GatewayAcceptOptions, TryOptions {
  readonly choices: TargetSelector
  readonly allowance: RetryAllowance
  readonly poison: PoisonWatch
  readonly metrics: RequestMetrics
  readonly invariants: Invariants
  readonly log: Log
}

/** Tries of one request so far. */
interface Tries {
  readonly verdict: RunVerdict
  readonly triedTargetIds: ReadonlySet<string>
  /** Tries that reached a target. */
  readonly sentCount: number
  readonly last: TryResult | undefined
}

type Reply =
  | { readonly type: 'answer', readonly answer: ReadyAnswer }
  | { readonly type: 'problem', readonly problem: Problem }

const NO_SERVICE = 'none'
const NO_TRIES: Tries = { verdict: 'not-run', triedTargetIds: new Set(), sentCount: 0, last: undefined }
/** Ends of a try that waited until the answer was due. */
const LATE_OUTCOMES: ReadonlySet<TryResult['outcome']> = new Set(['timeout', 'silent-connection'])
/** Targets that are tried when connections fail, before the request is refused. */
const MOST_TARGETS = 5
/** Least and most time after which a refused caller is told to return. */
const LEAST_RETRY_MS = 250
const MOST_RETRY_MS = 2_000
/** A request that takes targets down is not wanted back soon. */
const POISON_RETRY_MS = 10_000

const problemReply = (kind: Problem['kind'], verdict: RunVerdict, detail: string, retryAfterMs?: number): Reply =>
  ({ type: 'problem', problem: { kind, verdict, detail, ...(verdict !== 'not-run' || retryAfterMs === undefined ? {} : { retryAfterMs }) } })

const retryAfterMs = (waitMs: number): number => Math.min(MOST_RETRY_MS, Math.max(LEAST_RETRY_MS, waitMs))

const addTry = (tries: Tries, result: TryResult): Tries => ({
  verdict: joinVerdicts(tries.verdict, result.verdict),
  triedTargetIds: new Set([...tries.triedTargetIds, result.target.id]),
  sentCount: tries.sentCount + (result.isSent ? 1 : 0),
  last: result
})

/** Reply when no target was chosen. */
const unplaced = (tries: Tries, choice: Exclude<TargetChoice, { readonly type: 'chosen' }>): Reply => {
  if (tries.last !== undefined) return finish(tries)
  if (choice.type === 'no-target') return problemReply('no-target', tries.verdict, 'no target of the service may take work', LEAST_RETRY_MS)
  return problemReply('overload', tries.verdict, 'the request could not be finished in time', retryAfterMs(choice.waitMs))
}

/** Reply by the last try; a request that may have run is never called refused. */
const finish = (tries: Tries): Reply => {
  const { last, verdict } = tries
  if (last?.answer !== undefined) return { type: 'answer', answer: last.answer }
  if (verdict === 'not-run') return problemReply('overload', verdict, last?.detail ?? 'not sent', LEAST_RETRY_MS)
  return problemReply(last !== undefined && LATE_OUTCOMES.has(last.outcome) ? 'deadline' : 'target-failed', verdict, last?.detail ?? '')
}

/** What is equal in all repeats of a request. */
const descriptionOf = ({ method, path, body, caller }: GatewayPassage): string => `${method} ${path} ${caller} ${body?.toString('latin1') ?? ''}`

const mayRetry = (options: GatewayServeOptions, passage: GatewayPassage, tries: Tries, result: TryResult): boolean => {
  const { route, gone, answerByMs, service } = passage
  const rule = RETRY_RULES[result.outcome]
  if (rule.retry === 'never' || !(route.isIdempotent || tries.verdict === 'not-run')) return false
  if (gone.aborted || options.clock.monotonicMs() >= answerByMs || result.answer?.rest !== undefined) return false
  if (tries.sentCount >= route.maxAttempts || tries.triedTargetIds.size >= MOST_TARGETS) return false
  if (!rule.isBudgeted || options.allowance.spend(service)) return true
  options.metrics.budgetRefusal(service)
  options.log.info('retry not allowed by the budget', { requestId: passage.requestId, service })
  return false
}

const forward = async (options: GatewayServeOptions, passage: GatewayPassage): Promise<Reply> => {
  const { route, service, requestId, yieldsSlots, answerByMs } = passage
  let tries = NO_TRIES
  if (options.poison.isStopped(() => descriptionOf(passage))) {
    options.log.warn('request stopped: equal ones broke the connections of several targets', { requestId, service })
    return problemReply('quarantined', 'not-run', 'requests like this one took targets down', POISON_RETRY_MS)
  }
  options.allowance.earn(service)
  for (;;) {
    const choice = options.choices.choose({ service, isIdempotent: route.isIdempotent, hasHigherPriorityTraffic: yieldsSlots, triedTargetIds: tries.triedTargetIds, deadlineAtMs: answerByMs })
    if (choice.type !== 'chosen') return unplaced(tries, choice)
    options.invariants.check('at-most-once', route.isIdempotent || tries.verdict === 'not-run', { requestId })
    options.log.info('target chosen', { requestId, service, targetId: choice.target.id, ...choice.inputs, leftMs: Math.round(answerByMs - options.clock.monotonicMs()) })
    const result = await tryOnce(options, passage, choice.target, choice.attempt)
    options.metrics.attempt(service, result.outcome === 'wrong-target' ? 'refused' : result.outcome)
    options.log.info('try ended', { requestId, targetId: result.target.id, outcome: result.outcome, verdict: result.verdict, latencyMs: Math.round(result.latencyMs), detail: result.detail })
    if (result.outcome === 'reset') options.poison.noteCrash(descriptionOf(passage))
    tries = addTry(tries, result)
    if (!mayRetry(options, passage, tries, result)) return finish(tries)
    options.metrics.retry(service)
  }
}

const refuse = (options: GatewayServeOptions, request: IncomingMessage, response: ServerResponse, service: string, problem: Problem): void => {
  const requestId = gatewayRequestId(request, options.headers)
  options.metrics.request(service, problem.verdict, problem.kind)
  options.log.info('answered by the gateway', { requestId, service, status: statusOf(problem).status, problem: problem.kind, verdict: problem.verdict, detail: problem.detail, retryAfterMs: problem.retryAfterMs })
  if (response.destroyed) return
  if (!request.complete) response.setHeader('connection', 'close')
  if (requestId !== '') response.setHeader(options.headers.requestId, requestId)
  sendProblem(response, problem, fractionalSeconds)
}

/**
 * Serves one request: accept, choose a target, send, judge the outcome, retry or answer.
 *
 * @param options - The parts on the request's way.
 * @param request - Request of the caller.
 * @param response - Answer to the caller.
 */
export const serveGateway = async (options: GatewayServeOptions, request: IncomingMessage, response: ServerResponse): Promise<void> => {
  const accepted = await acceptGateway(options, request, response)
  if (accepted.isErr()) {
    if (accepted.error !== undefined) refuse(options, request, response, NO_SERVICE, accepted.error)
    return
  }
  const passage = accepted.value
  const { requestId, service, method } = passage
  const reply = await forward(options, passage)
  if (passage.gone.aborted) {
    options.metrics.request(service, 'none', 'caller-gone')
    options.log.info('caller left', { requestId, service, afterMs: Math.round(options.clock.monotonicMs() - passage.receivedAtMs) })
    return
  }
  if (reply.type === 'problem') {
    refuse(options, request, response, service, reply.problem)
    return
  }
  const delivery = await deliver({ response, requestId, method, invariants: options.invariants }, reply.answer)
  const totalMs = Math.round(options.clock.monotonicMs() - passage.receivedAtMs)
  options.metrics.request(service, 'ran', delivery)
  options.metrics.latency(service, totalMs)
  options.log.info('answered', { requestId, service, status: reply.answer.status, delivery, configVersion: passage.configVersion, totalMs, objectiveMs: passage.route.objectiveMs })
}
