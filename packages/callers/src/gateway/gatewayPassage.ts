import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock, GatewayConfig, GatewayHeaders, GatewayRoute, RawHeaders } from '@lovagehoist/common'
import { callerSignal, hostOf, refuse, statedWaitMs } from '../accept/callerFacts.js'
import { readBody } from '../accept/readBody.js'
import type { BodyError } from '../accept/readBody.js'
import { parseRequestPath } from '../accept/requestPath.js'
import type { Problem } from '../answers/problem.js'
import { endToEndHeaders } from '../exchange/headers.js'
import type { Departure } from './departure.js'
import type { RouteIndex } from './routeIndex.js'
import type { ShareCursor } from './shareCursor.js'
import type { StartGate } from './startGate.js'

/** A request that was accepted and read whole. */
export interface GatewayPassage {
  readonly response: ServerResponse
  readonly requestId: string
  readonly route: GatewayRoute
  /** Service that the route's split chose. */
  readonly service: string
  readonly configVersion: number
  readonly yieldsSlots: boolean
  /** Address of the caller. */
  readonly caller: string
  readonly method: string
  /** Path with query. */
  readonly path: string
  readonly body: Buffer | undefined
  /** Header fields for the target, but for those of each try. */
  readonly headers: RawHeaders
  readonly receivedAtMs: number
  /** Monotonic time by which the answer is due. */
  readonly answerByMs: number
  /** Aborts when the caller is gone. */
  readonly gone: AbortSignal
}

/** What accepting needs. */
export interface GatewayAcceptOptions {
  readonly clock: Clock
  readonly headers: GatewayHeaders
  readonly config: () => { readonly config: GatewayConfig, readonly routes: RouteIndex } | undefined
  readonly shares: ShareCursor
  /** Holds requests of a process's first moments. */
  readonly gate: StartGate
  readonly departure: Departure
}

/** A daemon that has just started learns the configuration within this time. */
const NOT_READY_RETRY_MS = 500
/** Other instances can serve at once; the caller only has to connect anew. */
const LEAVING_RETRY_MS = 50
/** Time taken for a caller's patience while no route is known that has a limit. */
const UNSTATED_MS = 2_000

const BODY_PROBLEM: Readonly<Record<BodyError, Problem | undefined>> = {
  'too-large': refuse('request-too-large', 'the body is longer than the configuration allows'),
  'too-slow': refuse('request-too-slow', 'the body did not arrive by the deadline'),
  'caller-gone': undefined
}

/**
 * Names a request in logs and answers.
 *
 * @param request - Request of the caller.
 * @param headers - Names of the header fields.
 * @returns The caller's name for it; empty when there is none.
 */
export const gatewayRequestId = (request: IncomingMessage, headers: GatewayHeaders): string => {
  const given = request.headers[headers.requestId]
  return typeof given === 'string' ? given : ''
}

/**
 * Accepts a request: finds its route and service and reads it whole.
 *
 * @param options - Configuration and names of header fields.
 * @param request - Request of the caller.
 * @param response - Answer to the caller.
 * @returns The request; a problem to answer with; undefined when the caller is gone.
 */
export const acceptGateway = async (options: GatewayAcceptOptions, request: IncomingMessage, response: ServerResponse): Promise<Result<GatewayPassage, Problem | undefined>> => {
  const receivedAtMs = options.clock.monotonicMs()
  const gone = callerSignal(response)
  if (!options.departure.isTaking) return err(refuse('leaving', 'this instance leaves and could not end the request', LEAVING_RETRY_MS))
  const statedMs = statedWaitMs(request, options.headers.deadline)
  await options.gate.pass(statedMs.unwrapOr(undefined) ?? UNSTATED_MS, gone)
  if (gone.aborted) return err(undefined)
  const inForce = options.config()
  if (inForce === undefined) return err(refuse('not-ready', 'no configuration is in force here yet', NOT_READY_RETRY_MS))
  const { config, routes } = inForce
  const path = parseRequestPath(request.url)
  if (path.isErr()) return err(refuse('malformed-request', path.error))
  const route = routes.find(hostOf(request), path.value.path)
  if (route === undefined) return err(refuse('unknown-route', 'the configuration has no such route'))
  if (statedMs.isErr()) return err(statedMs.error)
  const waitMs = Math.min(statedMs.value ?? Infinity, route.timeoutMs)
  const body = await readBody(request, { clock: options.clock, maxBytes: config.limits.maxBodyBytes, timeoutMs: waitMs })
  if (body.isErr()) return err(BODY_PROBLEM[body.error])
  const service = options.shares.next(route)
  return ok({
    response,
    requestId: gatewayRequestId(request, options.headers),
    route,
    service,
    configVersion: config.version,
    yieldsSlots: routes.yields(service, route.priority),
    caller: request.socket.remoteAddress ?? '',
    method: request.method ?? 'GET',
    path: path.value.full,
    body: body.value,
    headers: endToEndHeaders(request, new Set([options.headers.deadline, options.headers.expectedTarget])),
    receivedAtMs,
    answerByMs: receivedAtMs + waitMs,
    gone
  })
}
