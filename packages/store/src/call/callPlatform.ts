import { promisify } from 'node:util'
import { gunzip } from 'node:zlib'
import { withTimeout } from '@lovagehoist/common'
import type { Clock, PlatformError } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { request } from 'undici'
import type { Dispatcher } from 'undici'
import type { ServiceGuard } from '../guard/serviceGuard.js'

/** One HTTP call to the platform. */
export interface PlatformCall {
  readonly method: 'GET' | 'PUT' | 'POST'
  readonly url: string
  readonly body?: Uint8Array | string
  readonly contentType?: string
  /** Entity tag of the copy that the caller holds; an unchanged one is answered without a body. */
  readonly heldTag?: string | undefined
  /** Whether the call can change the platform's state. */
  readonly isWrite: boolean
}

/** Answer of the platform. */
export interface PlatformReply {
  readonly status: number
  readonly body: Buffer
  /** Entity tag of the answer. */
  readonly tag?: string | undefined
}

/** How calls are made. */
export interface CallOptions {
  readonly clock: Clock
  readonly dispatcher: Dispatcher
  /** Limit of one call. */
  readonly timeoutMs: number
  /** Bounds the calls; absent to make each call at once. */
  readonly guard?: ServiceGuard
}

/** Failures of connecting: no byte of the call was sent. */
const UNSENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

const failureOf = (call: PlatformCall, cause: unknown): PlatformError => {
  const code = (cause as { readonly code?: string }).code ?? ''
  const message = cause instanceof Error ? cause.message : String(cause)
  return { kind: call.isWrite && !UNSENT_CODES.has(code) ? 'unknown' : 'unavailable', message }
}

const statusError = (call: PlatformCall, status: number): PlatformError => {
  if (status < 500) return { kind: 'rejected', message: `the platform answered ${status} to ${call.method} ${call.url}` }
  const kind = call.isWrite && status !== 503 ? 'unknown' : 'unavailable'
  return { kind, message: `the platform answered ${status}` }
}

const unpack = promisify(gunzip)

const headersOf = (call: PlatformCall): Readonly<Record<string, string>> => ({
  'accept-encoding': 'gzip',
  ...(call.contentType === undefined ? {} : { 'content-type': call.contentType }),
  ...(call.heldTag === undefined ? {} : { 'if-none-match': call.heldTag })
})

const exchange = async (options: CallOptions, call: PlatformCall, signal: AbortSignal): Promise<PlatformReply> => {
  const reply = await request(call.url, {
    method: call.method,
    body: call.body ?? null,
    headers: headersOf(call),
    dispatcher: options.dispatcher,
    signal
  })
  const { etag: tag, 'content-encoding': coding } = reply.headers
  const received = Buffer.from(await reply.body.arrayBuffer())
  const body = coding === 'gzip' ? await unpack(received) : received
  return { status: reply.statusCode, body, tag: typeof tag === 'string' ? tag : undefined }
}

/**
 * Calls the platform once, with a limit, within the bounds of the service.
 *
 * @param options - Clock, connections, limit and bounds.
 * @param call - What to call.
 * @returns The answer (304 and 404 included), or why there is none.
 */
export const callPlatform = async (options: CallOptions, call: PlatformCall): Promise<Result<PlatformReply, PlatformError>> => {
  const { guard } = options
  return guard === undefined ? await callOnce(options, call) : await guard.run(call.isWrite ? 'write' : 'read', async () => await callOnce(options, call))
}

const callOnce = async (options: CallOptions, call: PlatformCall): Promise<Result<PlatformReply, PlatformError>> => {
  const stop = new AbortController()
  try {
    const timed = await withTimeout(options.clock, options.timeoutMs, exchange(options, call, stop.signal))
    if (timed.type === 'timeout') {
      return err({ kind: call.isWrite ? 'unknown' : 'unavailable', message: `no answer within ${options.timeoutMs} ms` })
    }
    const { status } = timed.value
    return status < 400 || status === 404 ? ok(timed.value) : err(statusError(call, status))
  } catch (cause) {
    return err(failureOf(call, cause))
  } finally {
    stop.abort('ended')
  }
}
