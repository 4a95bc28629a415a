import type { IncomingMessage, ServerResponse } from 'node:http'
import { joinVerdicts, murmurHash } from '@lovagehoist/common'
import type { ClientAccount, TargetChoice, Invariants, ListedTarget, Log, RunVerdict, TargetSelector } from '@lovagehoist/common'
import { notRunProblem } from '../accept/callerRequest.js'
import type { AccountAllowances, AllowanceDecision } from '../accounts/accountAllowances.js'
import { closeHoldAfter } from '../buffering/closeHoldAfter.js'
import type { CallerExchange } from '../server/callerServer.js'
import type { ShortageCandidate, ShortageDecision, ShortageGate } from '../admission/shortageAdmission.js'
import { deliver } from '../responses/deliver.js'
import { fractionalSeconds, sendProblem, statusOf } from '../responses/problem.js'
import type { Problem } from '../responses/problem.js'
import type { BufferedResponse } from '../exchange/bufferResponse.js'
import type { RequestMetrics } from '../metrics/requestMetrics.js'
import { LEAVING, acceptGatewayRequest, drainNeedsOf, gatewayRequestId } from './acceptGatewayRequest.js'
import type { GatewayAcceptOptions, GatewayExchange, AcceptedGatewayRequest } from './acceptGatewayRequest.js'
import type { PeerForwarder } from './peerForwarder.js'
import type { PoisonRequestDetector } from './poisonRequestDetector.js'
import type { WindowedRetryBudget } from './windowedRetryBudget.js'
import { RETRY_POLICIES } from './retryPolicies.js'
import { sendGatewayAttempt } from './gatewayAttempt.js'
import type { GatewayAttemptOptions, GatewayAttemptResult } from './gatewayAttempt.js'

/** Tells whether this daemon reaches targets itself. */
export interface OwnPath {
  readonly state: 'open' | 'cut' | 'recovering'
  /** Whether open connections still carry answers, although new ones can't be opened. */
  readonly areConnectionsAlive: boolean
  /** Decides whether the next request is sent on this daemon's own path. */
  readonly usesOwnPath: () => boolean
  /** Resolves once a check of the path that is in progress has ended. */
  readonly untilChecked: () => Promise<void>
}

/** Dependencies for serving a request. */
export interface GatewayServeOptions extends GatewayAcceptOptions, GatewayAttemptOptions {
  readonly targetSelector: TargetSelector
  /** Waits for a moment if the listing of targets is so old that one that leaves could be chosen. */
  readonly untilListingRecent: () => Promise<void>
  readonly retryBudget: WindowedRetryBudget
  readonly poisonDetector: PoisonRequestDetector
  /** Runs an action if a target that broke a request off has crashed; resolves once the target has been checked. */
  readonly confirmCrash: (target: ListedTarget, onCrashed: () => void) => Promise<void>
  /** Whether this daemon reaches targets. */
  readonly path: OwnPath
  /** Quotas of client accounts. */
  readonly allowances: Pick<AccountAllowances, 'admit'>
  /** Admission while a service has too little capacity. */
  readonly shortage: ShortageGate
  readonly forwarder: PeerForwarder
  readonly metrics: RequestMetrics
  readonly invariants: Invariants
  readonly log: Log
}

/** Attempts made for one request so far. */
interface AttemptHistory {
  readonly verdict: RunVerdict
  readonly triedTargetIds: ReadonlySet<string>
  /** Number of attempts that reached a target. */
  readonly sentCount: number
  readonly lastAttempt: GatewayAttemptResult | undefined
}

type Reply =
  | { readonly type: 'answer', readonly response: BufferedResponse }
  | { readonly type: 'problem', readonly problem: Problem }

const NO_SERVICE = 'none'
const FIRST_REDIRECT = 300
const NO_ATTEMPTS: AttemptHistory = { verdict: 'not-run', triedTargetIds: new Set(), sentCount: 0, lastAttempt: undefined }
const ADMITTED: ShortageDecision = { type: 'admitted' }
/** Outcomes of attempts that waited until the deadline. */
const LATE_OUTCOMES: ReadonlySet<GatewayAttemptResult['outcome']> = new Set(['timeout', 'silent-connection'])
/** Outcomes of attempts whose target may have crashed. */
const CRASH_OUTCOMES: ReadonlySet<GatewayAttemptResult['outcome']> = new Set(['reset', 'broken-answer', 'timeout', 'silent-connection'])
/** Time without which no target is chosen for a further attempt: the timeout of the one before may fire a fraction of a millisecond before the deadline. */
const MIN_RETRY_TIME_MS = 1
/** Limit of targets tried for one request, including those that could not be connected to. */
const MAX_TRIED_TARGETS = 5
/** Bounds of the `Retry-After` delay of refused requests. */
const MIN_RETRY_AFTER_MS = 250
const MAX_RETRY_AFTER_MS = 2_000
/** `Retry-After` delay of poison requests; long, because each repetition may crash another target. */
const POISON_RETRY_AFTER_MS = 10_000

const problemReply = (kind: Problem['kind'], verdict: RunVerdict, detail: string, retryAfterMs?: number): Reply =>
  ({ type: 'problem', problem: { kind, verdict, detail, ...(verdict !== 'not-run' || retryAfterMs === undefined ? {} : { retryAfterMs }) } })

const retryAfterMs = (waitMs: number): number => Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs))

const addAttempt = (history: AttemptHistory, result: GatewayAttemptResult): AttemptHistory => ({
  verdict: joinVerdicts(history.verdict, result.verdict),
  triedTargetIds: new Set([...history.triedTargetIds, result.target.id]),
  sentCount: history.sentCount + (result.isSent ? 1 : 0),
  lastAttempt: result
})

/** Reply when no target could be chosen for the next attempt. */
const replyWithoutTarget = (history: AttemptHistory, choice: Exclude<TargetChoice, { readonly type: 'chosen' }>): Reply => {
  if (choice.type === 'resting' && history.verdict === 'not-run') return problemReply('overload', history.verdict, 'all targets of the service asked for rest', choice.retryDelayMs)
  if (history.lastAttempt !== undefined) return finalReply(history)
  if (choice.type === 'no-target') return problemReply('no-target', history.verdict, 'no target of the service may take work', MIN_RETRY_AFTER_MS)
  if (choice.type === 'limited') return problemReply('overload', history.verdict, 'all targets of the service limit their requests', choice.retryDelayMs)
  return problemReply('overload', history.verdict, 'the request could not be finished in time', retryAfterMs(choice.type === 'resting' ? choice.retryDelayMs : choice.waitMs))
}

/** Reply after the last attempt; a request that may have been executed is never reported as refused. */
const finalReply = (history: AttemptHistory): Reply => {
  const { lastAttempt, verdict } = history
  if (lastAttempt?.response !== undefined) return { type: 'answer', response: lastAttempt.response }
  if (verdict === 'not-run') return problemReply('overload', verdict, lastAttempt?.detail ?? 'not sent', MIN_RETRY_AFTER_MS)
  return problemReply(lastAttempt !== undefined && LATE_OUTCOMES.has(lastAttempt.outcome) ? 'deadline' : 'target-failed', verdict, lastAttempt?.detail ?? '')
}

const describeForShortage = ({ requestId, service, route, priorityRank, receivedAtMs }: AcceptedGatewayRequest, { sentCount }: AttemptHistory): ShortageCandidate =>
  ({ requestId, service, ...priorityRank, receivedAtMs, objectiveMs: route.objectiveMs, isRetry: sentCount > 0 })

/** Reply to a request that is not sent to another target because the service has too little capacity. */
const replyInShortage = (history: AttemptHistory, retryDelayMs: number): Reply =>
  history.verdict === 'not-run' ? problemReply('overload', 'not-run', 'the service has too little capacity for requests of this priority', retryDelayMs) : finalReply(history)

/** Records that a target crashed under a request; logs the parts of its description only as hashes, since they may be confidential. */
const recordCrash = ({ log, poisonDetector }: GatewayServeOptions, accepted: AcceptedGatewayRequest, { target }: GatewayAttemptResult): void => {
  const { requestId, path, callerAddress, body } = accepted
  poisonDetector.recordCrash(accepted, target)
  const [pathOnly = '', query = ''] = path.split('?')
  const parts = { pathHash: murmurHash(pathOnly), queryHash: murmurHash(query), callerHash: murmurHash(callerAddress), bodyHash: murmurHash(body?.toString('latin1') ?? '') }
  log.info('target crashed under a request', { requestId, targetId: target.id, ...parts, ...poisonDetector.summarize(accepted) })
}

const isPoison = ({ poisonDetector }: GatewayServeOptions, accepted: AcceptedGatewayRequest): boolean => poisonDetector.isPoison(() => accepted)

/** Reply to a request under which targets crashed; one that this daemon has sent itself may have run. */
const quarantinedReply = ({ log }: GatewayServeOptions, { requestId, service }: AcceptedGatewayRequest, history: AttemptHistory): Reply => {
  log.warn('request stopped: several targets crashed under equal ones', { requestId, service, sentCount: history.sentCount })
  if (history.verdict !== 'not-run') return finalReply(history)
  return problemReply('quarantined', 'not-run', 'targets crashed under requests like this one', POISON_RETRY_AFTER_MS)
}

const mayRetry = (options: GatewayServeOptions, accepted: AcceptedGatewayRequest, history: AttemptHistory, result: GatewayAttemptResult): boolean => {
  const { route, disconnectSignal, deadlineAtMs, service } = accepted
  const policy = RETRY_POLICIES[result.outcome]
  if (policy.retry === 'never' || !(route.isIdempotent || history.verdict === 'not-run')) return false
  if (disconnectSignal.aborted || deadlineAtMs - options.clock.monotonicMs() < MIN_RETRY_TIME_MS || result.response?.rest !== undefined) return false
  if (history.sentCount >= route.maxAttempts || history.triedTargetIds.size >= MAX_TRIED_TARGETS) return false
  if (!policy.isBudgeted || options.retryBudget.tryAcquire(service)) return true
  options.metrics.countBudgetRefusal(service)
  options.log.info('retry not allowed by the budget', { requestId: accepted.requestId, service })
  return false
}

const forward = async (options: GatewayServeOptions, accepted: AcceptedGatewayRequest): Promise<Reply> => {
  const { route, service, requestId, hasHigherPriorityTraffic, deadlineAtMs } = accepted
  let history = NO_ATTEMPTS
  if (accepted.forwarding !== undefined && options.path.state === 'cut') return problemReply('isolated', 'not-run', 'this instance reaches no target', MIN_RETRY_AFTER_MS)
  // The daemon that received a forwarded request from its caller has counted it.
  if (accepted.forwarding === undefined) options.retryBudget.recordRequest(service)
  for (;;) {
    // Asked again before each attempt: other daemons may have learned more in the meantime.
    if (isPoison(options, accepted)) return quarantinedReply(options, accepted, history)
    // Asked again, since a body, a wait or an earlier attempt may have taken long.
    if (options.drainWindow.isDraining && !options.drainWindow.canFinish(drainNeedsOf(options, route, deadlineAtMs))) return history.verdict === 'not-run' ? { type: 'problem', problem: LEAVING } : finalReply(history)
    const isOwnPathUsed = accepted.forwarding !== undefined || options.path.usesOwnPath() || !options.forwarder.hasPeers
    const needsConnection = !isOwnPathUsed && options.path.areConnectionsAlive
    const shortage = isOwnPathUsed ? options.shortage.decide(describeForShortage(accepted, history)) : ADMITTED
    if (shortage.type === 'refused') return replyInShortage(history, shortage.retryDelayMs)
    await options.untilListingRecent()
    const choice: TargetChoice = isOwnPathUsed || needsConnection
      ? options.targetSelector.choose({ service, isIdempotent: route.isIdempotent, hasHigherPriorityTraffic, needsConnection, triedTargetIds: history.triedTargetIds, deadlineAtMs })
      : { type: 'no-target' }
    if (choice.type !== 'chosen') return isOwnPathUsed ? replyWithoutTarget(history, choice) : await replyThroughPeer(options, accepted, history)
    options.invariants.check('at-most-once', route.isIdempotent || history.verdict === 'not-run', { requestId })
    options.log.info('target chosen', { requestId, service, targetId: choice.target.id, ...choice.inputs, leftMs: Math.round(deadlineAtMs - options.clock.monotonicMs()) })
    const result = await sendGatewayAttempt(options, accepted, choice.target, choice.attempt)
    if (result.verdict === 'ran') options.usualTimes.record(service, result.latencyMs)
    options.metrics.countAttempt(service, result.outcome === 'wrong-target' ? 'refused' : result.outcome)
    options.log.info('try ended', { requestId, targetId: result.target.id, outcome: result.outcome, verdict: result.verdict, sendDelayMs: Math.round(result.sendDelayMs), latencyMs: Math.round(result.latencyMs), detail: result.detail })
    if ((result.response?.status ?? Infinity) < FIRST_REDIRECT) options.poisonDetector.recordServed(() => accepted)
    const crashCheck = result.isSent && CRASH_OUTCOMES.has(result.outcome) ? options.confirmCrash(result.target, () => { recordCrash(options, accepted, result) }) : undefined
    history = addAttempt(history, result)
    if (!mayRetry(options, accepted, history, result)) return finalReply(history)
    await crashCheck
    await options.path.untilChecked()
    options.metrics.countRetry(service)
  }
}

/** Serves a request through another daemon while this one reaches no target. */
const replyThroughPeer = async (options: GatewayServeOptions, accepted: AcceptedGatewayRequest, history: AttemptHistory): Promise<Reply> => {
  const result = await options.forwarder.forward(accepted, Math.max(1, accepted.route.maxAttempts - history.sentCount), () => !isPoison(options, accepted) && options.retryBudget.tryAcquire(accepted.service))
  if (result.type === 'answer') return result
  if (history.verdict !== 'not-run') return finalReply(history)
  if (result.type === 'problem') return result
  return problemReply('isolated', 'not-run', `this instance reaches no target, and ${result.detail}`, MIN_RETRY_AFTER_MS)
}

/** Decides whether the request is within its account's quota; a forwarded one was counted by the daemon that received it from its caller. */
const admitAccount = ({ allowances }: GatewayServeOptions, { account, forwarding }: AcceptedGatewayRequest): AllowanceDecision =>
  account === undefined || forwarding !== undefined ? { type: 'admitted', settle: () => {} } : allowances.admit(account)

const respondWithProblem = (options: GatewayServeOptions, request: IncomingMessage, response: ServerResponse, service: string, problem: Problem, account?: ClientAccount): void => {
  const requestId = gatewayRequestId(request, options.headers)
  if (problem.kind === 'unknown-account' && !response.destroyed) response.setHeader('www-authenticate', 'Bearer')
  options.metrics.countRequest(service, problem.verdict, problem.kind)
  options.log.info('answered by the gateway', { requestId, service, status: statusOf(problem).status, problem: problem.kind, verdict: problem.verdict, detail: problem.detail, account: account?.name, retryAfterMs: problem.retryAfterMs })
  if (response.destroyed) return
  if (!request.complete) response.setHeader('connection', 'close')
  if (requestId !== '') response.setHeader(options.headers.requestId, requestId)
  sendProblem(response, problem, fractionalSeconds)
}

const recordStalledCaller = ({ log, metrics }: GatewayServeOptions, { requestId, service, callerAddress }: AcceptedGatewayRequest): void => {
  metrics.countStalledCaller(service)
  log.warn('caller disconnected: it reads nothing', { requestId, service, callerAddress })
}

/**
 * Serves one request: accepts it, chooses a target, sends it, classifies the outcome, and retries or responds.
 *
 * @param options - Dependencies for serving the request.
 * @param request - Request of the caller.
 * @param response - Response to the caller.
 * @param exchange - Place of the request on its connection.
 */
export const serveGateway = async (options: GatewayServeOptions, request: IncomingMessage, response: ServerResponse, exchange: CallerExchange): Promise<void> => {
  const bufferHold = options.bufferBudget.open()
  try {
    await serveWithin(options, request, response, { ...exchange, bufferHold })
  } finally {
    closeHoldAfter(response, bufferHold)
  }
}

const serveWithin = async (options: GatewayServeOptions, request: IncomingMessage, response: ServerResponse, exchange: GatewayExchange): Promise<void> => {
  const acceptance = await acceptGatewayRequest(options, request, response, exchange)
  if (acceptance.isErr()) {
    if (acceptance.error !== undefined) respondWithProblem(options, request, response, NO_SERVICE, acceptance.error)
    return
  }
  const accepted = acceptance.value
  const { requestId, service, method } = accepted
  const allowance = admitAccount(options, accepted)
  if (allowance.type === 'over-allowance') {
    respondWithProblem(options, request, response, service, notRunProblem('over-quota', 'the client account is over its quota', allowance.retryDelayMs), accepted.account)
    return
  }
  const reply = await forward(options, accepted)
  allowance.settle(reply.type === 'answer' || reply.problem.verdict !== 'not-run')
  if (accepted.disconnectSignal.aborted) {
    options.metrics.countRequest(service, 'none', 'caller-gone')
    options.log.info('caller left', { requestId, service, connection: accepted.disconnectSignal.reason, afterMs: Math.round(options.clock.monotonicMs() - accepted.receivedAtMs) })
    return
  }
  if (reply.type === 'problem') {
    respondWithProblem(options, request, response, service, reply.problem, accepted.account)
    return
  }
  const delivery = await deliver({ response, requestId, method, invariants: options.invariants, pacing: { clock: options.clock, hold: exchange.bufferHold, onStalled: () => { recordStalledCaller(options, accepted) } } }, reply.response)
  const totalMs = Math.round(options.clock.monotonicMs() - accepted.receivedAtMs)
  options.metrics.countRequest(service, 'ran', delivery)
  options.metrics.observeLatency(service, totalMs)
  options.log.info('answered', { requestId, service, status: reply.response.status, delivery, configVersion: accepted.configVersion, account: accepted.account?.name, totalMs, objectiveMs: accepted.route.objectiveMs })
}
