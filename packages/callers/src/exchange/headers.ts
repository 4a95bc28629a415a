import type { IncomingMessage } from 'node:http'
import type { RawHeaders } from '@lovagehoist/common'
import { VERDICT_HEADER } from '@lovagehoist/common'
import type { RequestNames } from '../accept/requestNames.js'

/** Header that names a request across systems. */
export const REQUEST_ID_HEADER = 'x-request-id'

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'http2-settings'
])
const REPLACED: ReadonlySet<string> = new Set([
  'content-length', VERDICT_HEADER, REQUEST_ID_HEADER, 'traceparent', 'via', 'x-forwarded-for', 'x-forwarded-proto', 'x-forwarded-host', 'forwarded'
])
const VIA = '1.1 lovagehoist'
const TRACE_PARENT = /^00-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}$/
const TRACE_ID = /^(?!0{16})[0-9a-f]{32}$/
const SPAN_ID_DIGITS = 16
const REQUEST_ID = /^[\u0021-\u007e]{1,128}$/

/** What the header fields for a target are made from. */
export interface OutgoingOptions {
  readonly request: IncomingMessage
  readonly requestId: string
  readonly names: RequestNames
  /** Field that is set for each try. */
  readonly dropped: string
}

/** Values of `Connection` that name no other field. */
const PLAIN_CONNECTIONS: ReadonlySet<string> = new Set(['keep-alive', 'close'])

const namedByConnection = (connection: string | undefined): ReadonlySet<string> | undefined => {
  if (connection === undefined || PLAIN_CONNECTIONS.has(connection)) return undefined
  return new Set(connection.split(',').map(token => token.trim().toLowerCase()))
}

const single = (value: string | readonly string[] | undefined): string | undefined => typeof value === 'string' ? value : value?.[0]

const append = (list: string | undefined, value: string): string => list === undefined ? value : `${list}, ${value}`

/**
 * Names a request.
 *
 * @param request - Request of the caller.
 * @param names - Source of new names.
 * @returns The caller's own name for it when that is usable; otherwise a new one.
 */
export const requestIdOf = (request: IncomingMessage, names: RequestNames): string => {
  const given = single(request.headers[REQUEST_ID_HEADER])
  return given !== undefined && REQUEST_ID.test(given) ? given : names.next()
}

/** Begins a trace; a request id that was made here names the trace as well. */
const beginTrace = (requestId: string, names: RequestNames): string => {
  const traceId = TRACE_ID.test(requestId) ? requestId : names.next()
  return `00-${traceId}-${traceId.slice(0, SPAN_ID_DIGITS)}-01`
}

const forwardedFields = ({ request, requestId, names }: OutgoingOptions): string[] => {
  const { headers, socket } = request
  const address = socket.remoteAddress ?? 'unknown'
  const trace = single(headers.traceparent)
  const fields = [
    REQUEST_ID_HEADER, requestId,
    'traceparent', trace !== undefined && TRACE_PARENT.test(trace) ? trace : beginTrace(requestId, names),
    'via', append(headers.via, VIA),
    'x-forwarded-for', append(single(headers['x-forwarded-for']), address),
    'x-forwarded-proto', single(headers['x-forwarded-proto']) ?? 'http',
    'x-forwarded-host', single(headers['x-forwarded-host']) ?? headers.host ?? ''
  ]
  const forwarded = headers.forwarded
  if (forwarded !== undefined) fields.push('forwarded', append(forwarded, `for="${address.includes(':') ? `[${address}]` : address}"`))
  return fields
}

/**
 * Makes the header fields of a request to a target.
 *
 * @param options - Request and its name.
 * @returns End-to-end fields of the caller with those of a proxy.
 */
export const outgoingHeaders = (options: OutgoingOptions): RawHeaders => {
  const { rawHeaders, headers } = options.request
  const named = namedByConnection(headers.connection)
  const dropped = options.dropped.toLowerCase()
  const fields = forwardedFields(options)
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? '').toLowerCase()
    if (HOP_BY_HOP.has(name) || REPLACED.has(name) || name === dropped || named?.has(name) === true) continue
    fields.push(name, rawHeaders[index + 1] ?? '')
  }
  return fields
}

/**
 * Leaves out header fields of a request that hold for one connection only.
 *
 * @param request - Request of the caller.
 * @param dropped - Names of fields that are set for each try, in lower case.
 * @returns The fields that go on to the target, as the caller sent them.
 */
export const endToEndHeaders = ({ rawHeaders, headers }: IncomingMessage, dropped: ReadonlySet<string>): RawHeaders => {
  const named = namedByConnection(headers.connection)
  const fields: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? '').toLowerCase()
    if (HOP_BY_HOP.has(name) || name === 'content-length' || dropped.has(name) || named?.has(name) === true) continue
    fields.push(rawHeaders[index] ?? '', rawHeaders[index + 1] ?? '')
  }
  return fields
}

/**
 * Leaves out header fields of an answer that hold for one connection only, and verdicts that only the fleet may give.
 *
 * @param raw - Header fields of a target's answer.
 * @returns The fields that go on to the caller.
 */
export const answerHeaders = (raw: RawHeaders): RawHeaders => {
  const connectionAt = raw.findIndex((name, index) => index % 2 === 0 && name.length === 10 && name.toLowerCase() === 'connection')
  const named = connectionAt < 0 ? undefined : namedByConnection(raw[connectionAt + 1])
  const fields: string[] = []
  for (let index = 0; index < raw.length; index += 2) {
    const name = (raw[index] ?? '').toLowerCase()
    if (HOP_BY_HOP.has(name) || name === VERDICT_HEADER || name === REQUEST_ID_HEADER || named?.has(name) === true) continue
    fields.push(raw[index] ?? '', raw[index + 1] ?? '')
  }
  return fields
}

/**
 * Finds a header field.
 *
 * @param raw - Header fields.
 * @param name - Name in any case.
 * @returns Its first value; undefined when it is absent.
 */
export const headerOf = (raw: RawHeaders, name: string): string | undefined => {
  const wanted = name.toLowerCase()
  for (let index = 0; index < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() === wanted) return raw[index + 1]
  }
  return undefined
}
