import { promisify } from 'node:util'
import { gunzip } from 'node:zlib'
import { withTimeout } from '@lovagehoist/common'
import type { Clock, PlatformError } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { request } from 'undici'
import type { Dispatcher } from 'undici'
import type { ServiceCallLimiter } from '../limiter/serviceCallLimiter.js'

/** One HTTP call to the platform. */
export interface PlatformCall {
  readonly method: 'GET' | 'PUT' | 'POST'
  readonly url: string
  readonly body?: Uint8Array | string
  readonly contentType?: string
  /** Entity tag of the cached copy; if it is unchanged, the response has no body. */
  readonly cachedEtag?: string | undefined
  /** Whether the call can change the platform's state. */
  readonly isWrite: boolean
}

/** Response of the platform. */
export interface PlatformResponse {
  readonly status: number
  readonly body: Buffer
  /** Entity tag of the response. */
  readonly etag?: string | undefined
}

/** Options of calls to one service of the platform. */
export interface CallOptions {
  readonly clock: Clock
  readonly dispatcher: Dispatcher
  /** Timeout of one call. */
  readonly timeoutMs: number
  /** Limits the calls; absent to make each call immediately. */
  readonly limiter?: ServiceCallLimiter
}

/** Errors while connecting, which mean that no byte of the call was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

const connectionError = (call: PlatformCall, cause: unknown): PlatformError => {
  const code = (cause as { readonly code?: string }).code ?? ''
  const message = cause instanceof Error ? cause.message : String(cause)
  return { kind: call.isWrite && !NOT_SENT_CODES.has(code) ? 'unknown' : 'unavailable', message }
}

const statusError = (call: PlatformCall, status: number): PlatformError => {
  if (status < 500) return { kind: 'rejected', message: `the platform responded with ${status} to ${call.method} ${call.url}` }
  const kind = call.isWrite && status !== 503 ? 'unknown' : 'unavailable'
  return { kind, message: `the platform responded with ${status}` }
}

const gunzipAsync = promisify(gunzip)

const headersOf = (call: PlatformCall): Readonly<Record<string, string>> => ({
  'accept-encoding': 'gzip',
  ...(call.contentType === undefined ? {} : { 'content-type': call.contentType }),
  ...(call.cachedEtag === undefined ? {} : { 'if-none-match': call.cachedEtag })
})

const sendRequest = async (options: CallOptions, call: PlatformCall, signal: AbortSignal): Promise<PlatformResponse> => {
  const response = await request(call.url, {
    method: call.method,
    body: call.body ?? null,
    headers: headersOf(call),
    dispatcher: options.dispatcher,
    signal
  })
  const { etag, 'content-encoding': encoding } = response.headers
  const received = Buffer.from(await response.body.arrayBuffer())
  const body = encoding === 'gzip' ? await gunzipAsync(received) : received
  return { status: response.statusCode, body, etag: typeof etag === 'string' ? etag : undefined }
}

/**
 * Calls the platform once, without retries, within the timeout and the limits of the service.
 *
 * @param options - Clock, connections, timeout and limiter.
 * @param call - Call to make.
 * @returns The response (including 304 and 404), or the error.
 */
export const callPlatform = async (options: CallOptions, call: PlatformCall): Promise<Result<PlatformResponse, PlatformError>> => {
  const { limiter } = options
  return limiter === undefined ? await callOnce(options, call) : await limiter.run(call.isWrite ? 'write' : 'read', async () => await callOnce(options, call))
}

const callOnce = async (options: CallOptions, call: PlatformCall): Promise<Result<PlatformResponse, PlatformError>> => {
  const controller = new AbortController()
  try {
    const timed = await withTimeout(options.clock, options.timeoutMs, sendRequest(options, call, controller.signal))
    if (timed.type === 'timeout') {
      return err({ kind: call.isWrite ? 'unknown' : 'unavailable', message: `no response within ${options.timeoutMs} ms` })
    }
    const { status } = timed.value
    return status < 400 || status === 404 ? ok(timed.value) : err(statusError(call, status))
  } catch (cause) {
    return err(connectionError(call, cause))
  } finally {
    controller.abort('ended')
  }
}
