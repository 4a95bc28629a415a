import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock, GatewayConfig, GatewayHeaders, GatewayRoute, RawHeaders } from '@lovagehoist/common'
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
const DIGITS = /^\d{1,9}$/
const PORT = /:\d+$/

const problem = (kind: Problem['kind'], detail: string, retryAfterMs?: number): Problem =>
  ({ kind, verdict: 'not-run', detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })

const BODY_PROBLEM: Readonly<Record<BodyError, Problem | undefined>> = {
  'too-large': problem('request-too-large', 'the body is longer than the configuration allows'),
  'too-slow': problem('request-too-slow', 'the body did not arrive by the deadline'),
  'caller-gone': undefined
}

const callerSignal = (response: ServerResponse): AbortSignal => {
  const gone = new AbortController()
  response.once('close', () => { if (!response.writableFinished) gone.abort() })
  return gone.signal
}

/** Time that the caller says it will wait; undefined when it says none, or nothing that can be read. */
const statedMs = (request: IncomingMessage, headers: GatewayHeaders): number | undefined => {
  const wanted = request.headers[headers.deadline]
  return typeof wanted === 'string' && DIGITS.test(wanted) ? Number(wanted) : undefined
}

const waitMsOf = (request: IncomingMessage, headers: GatewayHeaders, route: GatewayRoute): Result<number, Problem> => {
  if (request.headers[headers.deadline] === undefined) return ok(route.timeoutMs)
  const wantedMs = statedMs(request, headers)
  if (wantedMs === undefined) return err(problem('malformed-request', `${headers.deadline} must be a whole number of milliseconds`))
  return ok(Math.min(wantedMs, route.timeoutMs))
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
  if (!options.departure.isTaking) return err(problem('leaving', 'this instance leaves and could not end the request', LEAVING_RETRY_MS))
  await options.gate.pass(statedMs(request, options.headers) ?? UNSTATED_MS, gone)
  if (gone.aborted) return err(undefined)
  const inForce = options.config()
  if (inForce === undefined) return err(problem('not-ready', 'no configuration is in force here yet', NOT_READY_RETRY_MS))
  const { config, routes } = inForce
  const path = parseRequestPath(request.url)
  if (path.isErr()) return err(problem('malformed-request', path.error))
  const route = routes.find((request.headers.host ?? '').replace(PORT, '').toLowerCase(), path.value.path)
  if (route === undefined) return err(problem('unknown-route', 'the configuration has no such route'))
  const waitMs = waitMsOf(request, options.headers, route)
  if (waitMs.isErr()) return err(waitMs.error)
  const body = await readBody(request, { clock: options.clock, maxBytes: config.limits.maxBodyBytes, timeoutMs: waitMs.value })
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
    answerByMs: receivedAtMs + waitMs.value,
    gone
  })
}
