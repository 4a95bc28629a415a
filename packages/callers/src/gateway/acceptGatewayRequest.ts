import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock, GatewayConfig, GatewayHeaders, GatewayRoute, RawHeaders } from '@lovagehoist/common'
import { continueBody, disconnectSignalOf, hostOf, notRunProblem, parseTimeoutMs } from '../accept/callerRequest.js'
import { readBody } from '../accept/readBody.js'
import type { BodyError } from '../accept/readBody.js'
import { createBodyRoom } from '../buffering/bodyRoom.js'
import type { BufferBudget } from '../buffering/bufferBudget.js'
import type { BufferHold } from '../buffering/bufferHold.js'
import { parseRequestPath } from '../accept/requestPath.js'
import type { CallerExchange } from '../server/callerServer.js'
import type { Problem } from '../responses/problem.js'
import { endToEndHeaders } from '../exchange/headers.js'
import type { DrainWindow } from './drainWindow.js'
import type { RouteIndex } from './routeIndex.js'
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
  readonly route: GatewayRoute
  /** Service selected by the route's weighted traffic split. */
  readonly service: string
  readonly configVersion: number
  readonly hasHigherPriorityTraffic: boolean
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

/** Dependencies for accepting requests. */
export interface GatewayAcceptOptions {
  readonly clock: Clock
  readonly headers: GatewayHeaders
  readonly config: () => { readonly config: GatewayConfig, readonly routes: RouteIndex } | undefined
  readonly trafficSplitter: TrafficSplitter
  /** Delays requests until the daemon has finished starting. */
  readonly readinessGate: ReadinessGate
  readonly drainWindow: DrainWindow
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
/** Assumed timeout of a request without a timeout header, before its route and the route's timeout are known. */
const DEFAULT_TIMEOUT_MS = 2_000

/** Share of the objective for which a body may wait for room: a request refused by then costs nothing beyond its value. */
const BODY_WAIT_SHARE = 1 / 8
/** A request in progress frees its room within about this time. */
const NO_ROOM_RETRY_AFTER_MS = 500

const PROBLEM_OF_BODY_ERROR: Readonly<Record<BodyError, Problem | undefined>> = {
  'too-large': notRunProblem('request-too-large', 'the body is longer than the configuration allows'),
  'too-slow': notRunProblem('request-too-slow', 'the body did not arrive by the deadline'),
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

/** Counts the targets to which the first daemon has already sent the request. */
const limitAttempts = (route: GatewayRoute, forwarded: Forwarding | undefined): GatewayRoute =>
  forwarded === undefined ? route : { ...route, maxAttempts: Math.min(route.maxAttempts, forwarded.attempts) }

/** Keeps the service that the first daemon selected, unless the configuration in force here does not allow it any more. */
const selectService = ({ trafficSplitter }: GatewayAcceptOptions, route: GatewayRoute, forwarded: Forwarding | undefined): string => {
  const isKept = forwarded !== undefined && route.weightedServices.some(({ service }) => service === forwarded.service)
  return isKept ? forwarded.service : trafficSplitter.nextService(route)
}

/** The problem with a configuration that is missing, or older than that of the daemon which forwarded the request. */
const findConfigProblem = (config: GatewayConfig | undefined, forwarded: Forwarding | undefined): Problem | undefined => {
  if (config === undefined) return notRunProblem('not-ready', 'no configuration is in force here yet', NOT_READY_RETRY_AFTER_MS)
  const isOlder = forwarded !== undefined && config.version < forwarded.configVersion
  return isOlder ? notRunProblem('not-ready', 'a newer configuration than that of this instance is in force', NOT_READY_RETRY_AFTER_MS) : undefined
}

/** What reading a body depends on, once the route is known. */
interface RoutedExchange extends GatewayExchange {
  readonly maxBytes: number
  readonly route: GatewayRoute
  readonly deadlineAtMs: number
}

const LEAVING = notRunProblem('leaving', 'this instance leaves and could not end the request', SHUTDOWN_RETRY_AFTER_MS)

/** Reads the body once there is room for it; only then a caller that waits for that is told to send it. */
const readRoutedBody = async (options: GatewayAcceptOptions, request: IncomingMessage, response: ServerResponse, { maxBytes, route, deadlineAtMs, bufferHold, untilFirst }: RoutedExchange): Promise<Result<Buffer | undefined, Problem | undefined>> => {
  const { clock } = options
  if (!route.isIdempotent) {
    // A caller sends requests again that stand behind a response which closes the connection; this one must not have run then.
    if (!await untilFirst()) return err(undefined)
    if (isLeaving(options)) return err(LEAVING)
  }
  const timeoutMs = Math.max(0, deadlineAtMs - clock.monotonicMs())
  const room = createBodyRoom({ clock, hold: bufferHold, priority: route.priority, maxWaitMs: Math.min(timeoutMs, route.objectiveMs * BODY_WAIT_SHARE) })
  const body = await readBody(request, { clock, maxBytes, timeoutMs, room, onStart: () => { continueBody(request, response) } })
  return body.mapErr(error => PROBLEM_OF_BODY_ERROR[error])
}

/**
 * Accepts a request: matches its route, selects a service and reads the whole body.
 *
 * @param options - Configuration, traffic split and startup and shutdown state.
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
  const activeConfig = options.config()
  const configProblem = findConfigProblem(activeConfig?.config, forwarding.value)
  if (activeConfig === undefined || configProblem !== undefined) return err(configProblem)
  const { config, routes } = activeConfig
  const path = parseRequestPath(request.url)
  if (path.isErr()) return err(notRunProblem('malformed-request', path.error))
  const route = routes.find(hostOf(request), path.value.path)
  if (route === undefined) return err(notRunProblem('unknown-route', 'the configuration has no such route'))
  if (requestedTimeoutMs.isErr()) return err(requestedTimeoutMs.error)
  const deadlineAtMs = exchange.receivedAtMs + Math.min(requestedTimeoutMs.value ?? Infinity, route.timeoutMs)
  const body = await readRoutedBody(options, request, response, { ...exchange, maxBytes: config.limits.maxBodyBytes, route, deadlineAtMs })
  if (body.isErr()) return err(body.error)
  const service = selectService(options, route, forwarding.value)
  return ok({
    response,
    forwarding: forwarding.value,
    requestId: gatewayRequestId(request, options.headers),
    route: limitAttempts(route, forwarding.value),
    service,
    configVersion: config.version,
    hasHigherPriorityTraffic: routes.isOutranked(service, route.priority),
    callerAddress: forwarding.value?.callerAddress ?? request.socket.remoteAddress ?? '',
    method: request.method ?? 'GET',
    path: path.value.full,
    body: body.value,
    bufferHold: exchange.bufferHold,
    headers: endToEndHeaders(request, new Set([options.headers.deadline, options.headers.expectedTarget, FORWARDING_HEADER])),
    receivedAtMs: exchange.receivedAtMs,
    deadlineAtMs,
    disconnectSignal
  })
}
