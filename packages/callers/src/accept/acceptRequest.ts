import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { sha256Hex } from '@lovagehoist/common'
import type { Clock, ConfigSource, EnvironmentDocument, HealthView, RouteConfig, ServiceConfig } from '@lovagehoist/common'
import { identifyAccount } from '../accounts/identifyAccount.js'
import type { Account } from '../accounts/identifyAccount.js'
import type { Problem } from '../answers/problem.js'
import { outgoingHeaders, requestIdOf } from '../exchange/headers.js'
import type { RouteTable } from '../routing/routeTable.js'
import { callerSignal, hostOf, refuse, statedWaitMs } from './callerFacts.js'
import type { Passage } from './passage.js'
import { readBody } from './readBody.js'
import type { BodyError } from './readBody.js'
import type { RequestNames } from './requestNames.js'
import { parseRequestPath } from './requestPath.js'

/** What accepting a request needs. */
export interface AcceptOptions {
  readonly clock: Clock
  readonly names: RequestNames
  readonly config: ConfigSource
  readonly routes: () => RouteTable | undefined
  readonly health: HealthView
}

/** A request whose route and account are known. */
interface Identified {
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

const BODY_PROBLEM: Readonly<Record<BodyError, Problem | undefined>> = {
  'too-large': refuse('request-too-large', 'the body is longer than the route allows'),
  'too-slow': refuse('deadline', 'the body did not arrive by the deadline'),
  'caller-gone': undefined
}

const timeoutOf = (document: EnvironmentDocument, route: RouteConfig, request: IncomingMessage): Result<number, Problem> =>
  statedWaitMs(request, document.deadlineHeader).map(statedMs => Math.min(statedMs ?? Infinity, route.timeoutMs))

const countHosts = ({ rawHeaders }: IncomingMessage): number => {
  let count = 0
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.length === HOST.length && rawHeaders[index]?.toLowerCase() === HOST) count++
  }
  return count
}

const identify = (options: AcceptOptions, request: IncomingMessage): Result<Identified, Problem> => {
  const document = options.config.current()?.document
  const routes = options.routes()
  if (document === undefined || routes === undefined) return err(refuse('not-ready', 'no configuration is in force here yet', NOT_READY_RETRY_AFTER_MS))
  if (request.httpVersion !== HTTP_VERSION) return err(refuse('http-version', 'only HTTP/1.1 can mark a broken answer as broken'))
  if (countHosts(request) !== 1) return err(refuse('malformed-request', 'the request must have exactly one Host field'))
  const path = parseRequestPath(request.url)
  if (path.isErr()) return err(refuse('malformed-request', path.error))
  const host = hostOf(request)
  const route = routes.find(request.method ?? '', path.value.path, host)
  const service = route === undefined ? undefined : document.services[route.service]
  if (route === undefined || service === undefined) return err(refuse('unknown-route', 'the document names no such route'))
  const account = identifyAccount(document, request)
  if (account === undefined) return err(refuse('unknown-account', 'the document lists no such account'))
  return timeoutOf(document, route, request).map(timeoutMs => ({ document, route, service, account, path: path.value.full, timeoutMs }))
}

const keyOf = (route: RouteConfig, request: IncomingMessage): Result<string | undefined, Problem> => {
  if (route.keyHeader === undefined) return ok(undefined)
  const key = request.headers[route.keyHeader.toLowerCase()]
  if (key === undefined) return ok(undefined)
  const isUsable = typeof key === 'string' && key.length > 0 && key.length <= MAX_KEY_LENGTH
  return isUsable ? ok(key) : err(refuse('malformed-request', `${route.keyHeader} must have 1 to ${MAX_KEY_LENGTH} characters`))
}

/**
 * Accepts a request: checks it, identifies its route and account, and reads it whole.
 *
 * @param options - The parts that it is checked against.
 * @param request - Request of the caller.
 * @param response - Answer to the caller.
 * @returns The accepted request; a problem to answer with; undefined when the caller is gone.
 */
export const acceptRequest = async (options: AcceptOptions, request: IncomingMessage, response: ServerResponse): Promise<Result<Passage, Problem | undefined>> => {
  const receivedAtMs = options.clock.monotonicMs()
  const identified = identify(options, request)
  if (identified.isErr()) return err(identified.error)
  const { document, route, service, account, path, timeoutMs } = identified.value
  const key = keyOf(route, request)
  if (key.isErr()) return err(key.error)
  const body = await readBody(request, { clock: options.clock, maxBytes: route.maxRequestBytes, timeoutMs })
  if (body.isErr()) return err(BODY_PROBLEM[body.error])
  const bodyDigest = body.value === undefined ? path : sha256Hex(body.value)
  const fingerprint = sha256Hex(`${route.id}\u0000${account.id}\u0000${key.value ?? bodyDigest}`)
  if (options.health.isQuarantined(fingerprint)) return err(refuse('quarantined', 'requests like this one took targets down'))
  const requestId = requestIdOf(request, options.names)
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
    key: key.value,
    fingerprint,
    requestId,
    headers: outgoingHeaders({ request, requestId, names: options.names, dropped: document.deadlineHeader }),
    deadlineHeader: document.deadlineHeader,
    deadlineAtMs: receivedAtMs + timeoutMs,
    gone: callerSignal(response)
  })
}
