import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ClientAccount, Clock, GatewayConfig, GatewayHeaders, GatewayRoute, RawHeaders } from '@lovagehoist/common'
import type { AccountIndex } from '../accounts/accountIndex.js'
import { AUTHORIZATION_HEADER } from '../accounts/bearerKey.js'
import { identifyClientAccount } from '../accounts/identifyClientAccount.js'
import type { KeyVerifier } from '../accounts/keyVerifier.js'
import { continueBody, disconnectSignalOf, hostOf, notRunProblem, parseTimeoutMs } from '../accept/callerRequest.js'
import { hasBody, readBody } from '../accept/readBody.js'
import type { BodyError } from '../accept/readBody.js'
import { createBodyRoom } from '../buffering/bodyRoom.js'
import type { BufferBudget } from '../buffering/bufferBudget.js'
import type { BufferHold } from '../buffering/bufferHold.js'
import { parseRequestPath } from '../accept/requestPath.js'
import type { CallerExchange } from '../server/callerServer.js'
import type { Problem } from '../responses/problem.js'
import { endToEndHeaders } from '../exchange/headers.js'
import type { DrainNeeds, DrainWindow } from './drainWindow.js'
import type { UsualTimes } from './usualTimes.js'
import type { PriorityRank, RouteIndex } from './routeIndex.js'
import type { TrafficSplitter } from './trafficSplitter.js'
import type { ReadinessGate } from './readinessGate.js'
import { FORWARDING_HEADER, decodeForwarding } from './forwarding.js'
import type { Forwarding } from './forwarding.js'

/** A request that matched a route and whose body has been read completely. */
export interface AcceptedGatewayRequest {
  readonly response: ServerResponse
  /** Set for a request that another daemon forwarded. */
  readonly forwarding: Forwarding | undefined
  readonly requestId: string
  /** Route, with the priority of the client account if it has one. */
  readonly route: GatewayRoute
  /** Client account that makes the request; undefined where the configuration asks for none. */
  readonly account: ClientAccount | undefined
  /** Service selected by the route's weighted traffic split. */
  readonly service: string
  readonly configVersion: number
  readonly hasHigherPriorityTraffic: boolean
  /** Position of its priority among those in use at the service. */
  readonly priorityRank: PriorityRank
  /** IP address of the caller. */
  readonly callerAddress: string
  readonly method: string
  /** Path with query. */
  readonly path: string
  readonly body: Buffer | undefined
  /** Bytes that the request holds of the buffer budget, for its body and its response. */
  readonly bufferHold: BufferHold
  /** Header fields for the target, without those that are set anew for each attempt. */
  readonly headers: RawHeaders
  readonly receivedAtMs: number
  /** Monotonic time by which the response is due. */
  readonly deadlineAtMs: number
  /** Aborts when the caller disconnects before the response has ended. */
  readonly disconnectSignal: AbortSignal
}

/** The configuration in force and the lookup tables built from it. */
export interface ActiveConfig {
  readonly config: GatewayConfig
  readonly routes: RouteIndex
  /** Undefined if the configuration has no client accounts. */
  readonly accounts: AccountIndex | undefined
}

/** Dependencies for accepting requests. */
export interface GatewayAcceptOptions {
  readonly clock: Clock
  readonly headers: GatewayHeaders
  readonly config: () => ActiveConfig | undefined
  readonly keyVerifier: KeyVerifier
  readonly trafficSplitter: TrafficSplitter
  /** Delays requests until the daemon has finished starting. */
  readonly readinessGate: ReadinessGate
  readonly drainWindow: DrainWindow
  /** Usual times of requests at targets. */
  readonly usualTimes: UsualTimes
  readonly bufferBudget: BufferBudget
  /** Whether the requests come from other daemons, which received them from callers. */
  readonly isForPeers: boolean
}

/** Exchange with a caller that a request belongs to. */
export interface GatewayExchange extends CallerExchange {
  /** Holds what the request takes of the buffer budget. */
  readonly bufferHold: BufferHold
}

/** A daemon that has just started loads its configuration within this time. */
const NOT_READY_RETRY_AFTER_MS = 500
/** Short, because another instance can serve the request as soon as the caller reconnects. */
const SHUTDOWN_RETRY_AFTER_MS = 50
/** Rank where the configuration has no client accounts: such deployments are served first come first served, as before. */
const SINGLE_RANK: PriorityRank = { rank: 0, ranks: 1 }
/** Assumed timeout of a request without a timeout header, before its route and the route's timeout are known. */
const DEFAULT_TIMEOUT_MS = 2_000

/** Share of the objective for which a body may wait for room: a request refused by then costs nothing beyond its value. */
const BODY_WAIT_SHARE = 1 / 8
/** A request in progress frees its room within about this time. */
const NO_ROOM_RETRY_AFTER_MS = 500

/** Problem of a request that can't be expected to end before this instance has left. */
export const LEAVING = notRunProblem('leaving', 'this instance leaves and could not end the request', SHUTDOWN_RETRY_AFTER_MS)

const PROBLEM_OF_BODY_ERROR: Readonly<Record<BodyError, Problem | undefined>> = {
  'too-large': notRunProblem('request-too-large', 'the body is longer than the configuration allows'),
  'too-slow': notRunProblem('request-too-slow', 'the body did not arrive by the deadline'),
  'given-up': LEAVING,
  'no-room': notRunProblem('overload', 'this instance has no room for the body', NO_ROOM_RETRY_AFTER_MS),
  'caller-gone': undefined
}

/**
 * Reads the id that identifies a request in logs and responses.
 *
 * @param request - Request of the caller.
 * @param headers - Names of the gateway's header fields.
 * @returns The id set by the caller; empty when there is none.
 */
export const gatewayRequestId = (request: IncomingMessage, headers: GatewayHeaders): string => {
  const given = request.headers[headers.requestId]
  return typeof given === 'string' ? given : ''
}

/** Requests of other daemons are refused from the start of a drain on: others can take them. */
const isLeaving = ({ isForPeers, drainWindow }: GatewayAcceptOptions): boolean => isForPeers ? drainWindow.isDraining : !drainWindow.isAccepting

/** Gives the route the priority of the account, which has precedence. */
const applyAccountPriority = (route: GatewayRoute, account: ClientAccount | undefined): GatewayRoute =>
  account?.priority === undefined ? route : { ...route, priority: account.priority }

/** Header fields for the target: where the configuration has accounts, the key stays here and the name of the account is set anew, whatever the caller sent. */
const targetHeaders = ({ headers: names }: GatewayAcceptOptions, { accounts }: ActiveConfig, request: IncomingMessage, account: ClientAccount | undefined): RawHeaders => {
  const omitted = [names.deadline, names.expectedTarget, FORWARDING_HEADER]
  if (accounts === undefined) return endToEndHeaders(request, new Set(omitted))
  const fields = endToEndHeaders(request, new Set([...omitted, AUTHORIZATION_HEADER, names.account]))
  return account === undefined ? fields : [...fields, names.account, account.name]
}

/** Counts the targets to which the first daemon has already sent the request. */
const limitAttempts = (route: GatewayRoute, forwarded: Forwarding | undefined): GatewayRoute =>
  forwarded === undefined ? route : { ...route, maxAttempts: Math.min(route.maxAttempts, forwarded.attempts) }

/** Keeps the service that the first daemon selected, unless the configuration in force here does not allow it any more. */
const selectService = ({ trafficSplitter }: GatewayAcceptOptions, route: GatewayRoute, forwarded: Forwarding | undefined): string => {
  const isKept = forwarded !== undefined && route.weightedServices.some(({ service }) => service === forwarded.service)
  return isKept ? forwarded.service : trafficSplitter.nextService(route)
}

/** A request on a known route. */
interface MatchedRequest {
  readonly active: ActiveConfig
  readonly route: GatewayRoute
  /** Path with query. */
  readonly path: string
}

/** Matches the route of a request against the configuration in force, which must not be older than that of a daemon which forwarded the request. */
const matchRoute = (options: GatewayAcceptOptions, request: IncomingMessage, forwarding: Forwarding | undefined): Result<MatchedRequest, Problem> => {
  const active = options.config()
  if (active === undefined) return err(notRunProblem('not-ready', 'no configuration is in force here yet', NOT_READY_RETRY_AFTER_MS))
  if (active.config.version < (forwarding?.configVersion ?? 0)) return err(notRunProblem('not-ready', 'a newer configuration than that of this instance is in force', NOT_READY_RETRY_AFTER_MS))
  const path = parseRequestPath(request.url)
  if (path.isErr()) return err(notRunProblem('malformed-request', path.error))
  const route = active.routes.find(hostOf(request), path.value.path)
  if (route === undefined) return err(notRunProblem('unknown-route', 'the configuration has no such route'))
  return ok({ active, route, path: path.value.full })
}

/** What a request of a route needs to end before a shutdown cuts it off; the slowest service of a split counts. */
export const drainNeedsOf = ({ usualTimes }: Pick<GatewayAcceptOptions, 'usualTimes'>, { isIdempotent, objectiveMs, weightedServices }: GatewayRoute, deadlineAtMs: number): DrainNeeds =>
  ({ usualMs: Math.max(...weightedServices.map(({ service }) => usualTimes.usualMs(service) ?? objectiveMs)), isIdempotent, deadlineAtMs })

/** What reading a body depends on, once the route is known. */
interface RoutedExchange extends GatewayExchange {
  readonly maxBytes: number
  readonly route: GatewayRoute
  readonly deadlineAtMs: number
}

/** Reads the body once there is room for it; only then a caller that waits for that is told to send it. */
const readRoutedBody = async (options: GatewayAcceptOptions, request: IncomingMessage, response: ServerResponse, { maxBytes, route, deadlineAtMs, bufferHold, untilFirst }: RoutedExchange): Promise<Result<Buffer | undefined, Problem | undefined>> => {
  const { clock } = options
  if (!route.isIdempotent) {
    // A caller sends requests again that stand behind a response which closes the connection; this one must not have run then.
    if (!await untilFirst()) return err(undefined)
    if (isLeaving(options)) return err(LEAVING)
  }
  if (!hasBody(request)) return ok(undefined)
  const timeoutMs = Math.max(0, deadlineAtMs - clock.monotonicMs())
  const room = createBodyRoom({ clock, hold: bufferHold, priority: route.priority, maxWaitMs: Math.min(timeoutMs, route.objectiveMs * BODY_WAIT_SHARE) })
  const giveUp = new AbortController()
  const endWatch = options.drainWindow.watch(drainNeedsOf(options, route, deadlineAtMs), () => { giveUp.abort() })
  const body = await readBody(request, { clock, maxBytes, timeoutMs, room, giveUpSignal: giveUp.signal, onStart: () => { continueBody(request, response) } })
  endWatch()
  return body.mapErr(error => PROBLEM_OF_BODY_ERROR[error])
}

/**
 * Accepts a request: matches its route, identifies the client account, reads the whole body and selects a service.
 *
 * @param options - Configuration, keys, traffic split and startup and shutdown state.
 * @param request - Request of the caller.
 * @param response - Response to the caller.
 * @param exchange - Time of arrival and hold of the buffer budget.
 * @returns The accepted request; a problem to respond with; an undefined error when the caller has disconnected.
 */
export const acceptGatewayRequest = async (options: GatewayAcceptOptions, request: IncomingMessage, response: ServerResponse, exchange: GatewayExchange): Promise<Result<AcceptedGatewayRequest, Problem | undefined>> => {
  const disconnectSignal = disconnectSignalOf(response)
  if (isLeaving(options)) return err(LEAVING)
  const forwarding = options.isForPeers ? decodeForwarding(request.headers[FORWARDING_HEADER]) : ok(undefined)
  if (forwarding.isErr()) return err(notRunProblem('malformed-request', forwarding.error))
  const requestedTimeoutMs = parseTimeoutMs(request, options.headers.deadline)
  await options.readinessGate.waitUntilReady(requestedTimeoutMs.unwrapOr(undefined) ?? DEFAULT_TIMEOUT_MS, disconnectSignal)
  if (disconnectSignal.aborted) return err(undefined)
  const matched = matchRoute(options, request, forwarding.value)
  if (matched.isErr()) return err(matched.error)
  if (requestedTimeoutMs.isErr()) return err(requestedTimeoutMs.error)
  const { active, path } = matched.value
  const account = await identifyClientAccount(options.keyVerifier, { headers: request.rawHeaders, route: matched.value.route, forwarding: forwarding.value, accounts: active.accounts, disconnectSignal })
  if (account.isErr()) return err(account.error)
  const route = limitAttempts(applyAccountPriority(matched.value.route, account.value), forwarding.value)
  const deadlineAtMs = exchange.receivedAtMs + Math.min(requestedTimeoutMs.value ?? Infinity, route.timeoutMs)
  const body = await readRoutedBody(options, request, response, { ...exchange, maxBytes: active.config.limits.maxBodyBytes, route, deadlineAtMs })
  if (body.isErr()) return err(body.error)
  const service = selectService(options, route, forwarding.value)
  return ok({
    response,
    forwarding: forwarding.value,
    requestId: gatewayRequestId(request, options.headers),
    route,
    account: account.value,
    service,
    configVersion: active.config.version,
    hasHigherPriorityTraffic: active.routes.isOutranked(service, route.priority),
    priorityRank: active.accounts === undefined ? SINGLE_RANK : active.routes.rankOf(service, route.priority),
    callerAddress: forwarding.value?.callerAddress ?? request.socket.remoteAddress ?? '',
    method: request.method ?? 'GET',
    path,
    body: body.value,
    bufferHold: exchange.bufferHold,
    headers: targetHeaders(options, active, request, account.value),
    receivedAtMs: exchange.receivedAtMs,
    deadlineAtMs,
    disconnectSignal
  })
}
