import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { sha256Hex } from '@lovagehoist/common'
import type { Clock, ConfigSource, EnvironmentDocument, HealthView, RouteConfig, ServiceConfig } from '@lovagehoist/common'
import { identifyAccount } from '../accounts/identifyAccount.js'
import type { Account } from '../accounts/identifyAccount.js'
import type { Problem } from '../responses/problem.js'
import { targetRequestHeaders, requestIdOf } from '../exchange/headers.js'
import type { RouteTable } from '../routing/routeTable.js'
import { continueBody, disconnectSignalOf, hostOf, notRunProblem, parseTimeoutMs } from './callerRequest.js'
import type { AcceptedRequest } from './acceptedRequest.js'
import { readBody } from './readBody.js'
import type { BodyError } from './readBody.js'
import type { RequestIdGenerator } from './requestIdGenerator.js'
import { parseRequestPath } from './requestPath.js'

/** Dependencies for accepting requests. */
export interface AcceptOptions {
  readonly clock: Clock
  readonly requestIds: RequestIdGenerator
  readonly config: ConfigSource
  readonly routes: () => RouteTable | undefined
  readonly health: HealthView
}

/** A request that was matched to its route, service and account. */
interface ResolvedRequest {
  readonly document: EnvironmentDocument
  readonly route: RouteConfig
  readonly service: ServiceConfig
  readonly account: Account
  readonly path: string
  readonly timeoutMs: number
}

const NOT_READY_RETRY_AFTER_MS = 1_000
const HOST = 'host'
const HTTP_VERSION = '1.1'
const MAX_KEY_LENGTH = 255

const PROBLEM_OF_BODY_ERROR: Readonly<Record<BodyError, Problem | undefined>> = {
  'too-large': notRunProblem('request-too-large', 'the body is longer than the route allows'),
  'too-slow': notRunProblem('deadline', 'the body did not arrive by the deadline'),
  'given-up': notRunProblem('leaving', 'this instance leaves and could not end the request'),
  'no-room': notRunProblem('overload', 'this instance has no room for the body', NOT_READY_RETRY_AFTER_MS),
  'caller-gone': undefined
}

const timeoutOf = (document: EnvironmentDocument, route: RouteConfig, request: IncomingMessage): Result<number, Problem> =>
  parseTimeoutMs(request, document.deadlineHeader).map(statedMs => Math.min(statedMs ?? Infinity, route.timeoutMs))

const countHostFields = ({ rawHeaders }: IncomingMessage): number => {
  let count = 0
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.length === HOST.length && rawHeaders[index]?.toLowerCase() === HOST) count++
  }
  return count
}

const resolveRequest = (options: AcceptOptions, request: IncomingMessage): Result<ResolvedRequest, Problem> => {
  const document = options.config.current()?.document
  const routes = options.routes()
  if (document === undefined || routes === undefined) return err(notRunProblem('not-ready', 'no configuration is in force here yet', NOT_READY_RETRY_AFTER_MS))
  if (request.httpVersion !== HTTP_VERSION) return err(notRunProblem('http-version', 'only HTTP/1.1 can mark a broken answer as broken'))
  if (countHostFields(request) !== 1) return err(notRunProblem('malformed-request', 'the request must have exactly one Host field'))
  const path = parseRequestPath(request.url)
  if (path.isErr()) return err(notRunProblem('malformed-request', path.error))
  const host = hostOf(request)
  const route = routes.find(request.method ?? '', path.value.path, host)
  const service = route === undefined ? undefined : document.services[route.service]
  if (route === undefined || service === undefined) return err(notRunProblem('unknown-route', 'the document names no such route'))
  const account = identifyAccount(document, request)
  if (account === undefined) return err(notRunProblem('unknown-account', 'the document lists no such account'))
  return timeoutOf(document, route, request).map(timeoutMs => ({ document, route, service, account, path: path.value.full, timeoutMs }))
}

const idempotencyKeyOf = (route: RouteConfig, request: IncomingMessage): Result<string | undefined, Problem> => {
  if (route.keyHeader === undefined) return ok(undefined)
  const key = request.headers[route.keyHeader.toLowerCase()]
  if (key === undefined) return ok(undefined)
  const isUsable = typeof key === 'string' && key.length > 0 && key.length <= MAX_KEY_LENGTH
  return isUsable ? ok(key) : err(notRunProblem('malformed-request', `${route.keyHeader} must have 1 to ${MAX_KEY_LENGTH} characters`))
}

/**
 * Accepts a request: validates it, identifies its route and account, and reads the whole body.
 *
 * @param options - Dependencies for accepting the request.
 * @param request - Request of the caller.
 * @param response - Response to the caller.
 * @returns The accepted request; a problem to respond with; an undefined error when the caller has disconnected.
 */
export const acceptRequest = async (options: AcceptOptions, request: IncomingMessage, response: ServerResponse): Promise<Result<AcceptedRequest, Problem | undefined>> => {
  const receivedAtMs = options.clock.monotonicMs()
  const resolved = resolveRequest(options, request)
  if (resolved.isErr()) return err(resolved.error)
  const { document, route, service, account, path, timeoutMs } = resolved.value
  const key = idempotencyKeyOf(route, request)
  if (key.isErr()) return err(key.error)
  const body = await readBody(request, { clock: options.clock, maxBytes: route.maxRequestBytes, timeoutMs, onStart: () => { continueBody(request, response) } })
  if (body.isErr()) return err(PROBLEM_OF_BODY_ERROR[body.error])
  const bodyDigest = body.value === undefined ? path : sha256Hex(body.value)
  const fingerprint = sha256Hex(`${route.id}\u0000${account.id}\u0000${key.value ?? bodyDigest}`)
  if (options.health.isQuarantined(fingerprint)) return err(notRunProblem('quarantined', 'requests like this one took targets down'))
  const requestId = requestIdOf(request, options.requestIds)
  return ok({
    request,
    response,
    route,
    service,
    account,
    method: request.method ?? 'GET',
    path,
    body: body.value,
    bodyDigest,
    idempotencyKey: key.value,
    fingerprint,
    requestId,
    headers: targetRequestHeaders({ request, requestId, requestIds: options.requestIds, omitted: document.deadlineHeader }),
    deadlineHeader: document.deadlineHeader,
    deadlineAtMs: receivedAtMs + timeoutMs,
    disconnectSignal: disconnectSignalOf(response)
  })
}
