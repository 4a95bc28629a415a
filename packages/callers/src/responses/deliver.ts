import type { ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import { VERDICT_HEADER } from '@lovagehoist/common'
import type { Invariants } from '@lovagehoist/common'
import { REQUEST_ID_HEADER, callerResponseHeaders, findHeader } from '../exchange/headers.js'
import type { BufferedResponse } from '../exchange/bufferResponse.js'
import type { ResponsePacing } from './pacedWriter.js'
import { PacedWriter } from './pacedWriter.js'

/** How the delivery of a response ended; `answer` means that it was delivered completely. */
export type Delivery = 'answer' | 'broken' | 'caller-gone'

/** Exchange that a response is delivered in. */
export interface DeliverOptions {
  readonly response: ServerResponse
  readonly requestId: string
  readonly method: string
  readonly invariants: Invariants
  /** Delivers the body at the caller's pace within the buffer budget; without it nothing limits what the caller leaves unread. */
  readonly pacing?: ResponsePacing
}

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

/** Resets the caller's connection, so that a truncated response can't be mistaken for a complete one, not even one that ends with its connection. */
const resetConnection = (response: ServerResponse): void => {
  response.socket?.resetAndDestroy()
  response.destroy()
}

/** Whether a response has a body whose end neither the target's length nor chunks mark for the caller. */
const isUnframed = ({ response, method }: DeliverOptions, { status, headers }: BufferedResponse): boolean => {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status) || findHeader(headers, 'content-length') !== undefined) return false
  return !response.useChunkedEncodingByDefault || findHeader(headers, 'transfer-encoding') === undefined
}

/** Fields that mark the end of an unframed body, so that an early end shows. Where there are none, Node.js sends chunks; the last one follows only an orderly end from the target. */
const framingFields = ({ response }: DeliverOptions, { buffered, rest }: BufferedResponse): readonly string[] => {
  if (rest === undefined) return ['content-length', String(buffered.length)]
  if (response.useChunkedEncodingByDefault) return []
  response.removeHeader('keep-alive')
  return ['connection', 'close']
}

const writeHead = (options: DeliverOptions, targetResponse: BufferedResponse): void => {
  const { response, requestId } = options
  const { status, headers } = targetResponse
  const framing = isUnframed(options, targetResponse) ? framingFields(options, targetResponse) : []
  response.writeHead(status, [...callerResponseHeaders(headers), ...framing, VERDICT_HEADER, 'ran', REQUEST_ID_HEADER, requestId])
}

const addTrailers = (response: ServerResponse, targetResponse: BufferedResponse): void => {
  const raw = targetResponse.trailers()
  if (raw.length === 0) return
  const fields = Array.from({ length: raw.length >> 1 }, (_, index): [string, string] => [raw[2 * index] ?? '', raw[2 * index + 1] ?? ''])
  response.addTrailers(fields)
}

const checkLength = ({ method, invariants }: DeliverOptions, targetResponse: BufferedResponse, sentBytes: number): boolean => {
  const statedLength = findHeader(targetResponse.headers, 'content-length')
  const isWhole = statedLength === undefined || method === 'HEAD' || BODILESS_STATUSES.has(targetResponse.status) || Number(statedLength) === sentBytes
  invariants.check('whole-answer', isWhole, { statedBytes: statedLength ?? '', sentBytes })
  return isWhole
}

/** Streams the rest of a body to the caller; a failure of either side destroys the other. */
const streamRest = async (rest: NonNullable<BufferedResponse['rest']>, response: ServerResponse): Promise<Delivery> => {
  let isCallerGone = false
  response.once('close', () => {
    isCallerGone = !rest.readableEnded && !rest.destroyed
    if (isCallerGone) rest.destroy()
  })
  try {
    await pipeline(rest, response, { end: false })
    return 'answer'
  } catch {
    resetConnection(response)
    return isCallerGone ? 'caller-gone' : 'broken'
  }
}

const streamBody = async ({ response, pacing }: DeliverOptions, buffered: Buffer, rest: NonNullable<BufferedResponse['rest']>): Promise<Delivery> => {
  if (pacing === undefined) {
    if (buffered.length > 0) response.write(buffered)
    return await streamRest(rest, response)
  }
  const delivery = await PacedWriter.create(response, pacing).stream(buffered, rest)
  if (delivery !== 'answer') resetConnection(response)
  return delivery
}

const endWith = async ({ response, pacing }: DeliverOptions, body: Buffer): Promise<Delivery> => {
  if (pacing !== undefined) return await PacedWriter.create(response, pacing).end(body)
  response.end(body)
  return 'answer'
}

/**
 * Delivers a response completely, or destroys the connection so that the caller can detect the truncation.
 *
 * @param options - Response to the caller and the request that it belongs to.
 * @param targetResponse - Target's response, buffered or still streaming.
 * @returns How the delivery ended.
 */
export const deliver = async (options: DeliverOptions, targetResponse: BufferedResponse): Promise<Delivery> => {
  const { response } = options
  let sentBytes = targetResponse.buffered.length
  if (targetResponse.rest === undefined) {
    if (!checkLength(options, targetResponse, sentBytes)) {
      resetConnection(response)
      return 'broken'
    }
    writeHead(options, targetResponse)
    addTrailers(response, targetResponse)
    return await endWith(options, targetResponse.buffered)
  }
  const { rest } = targetResponse
  rest.on('data', (chunk: Buffer) => { sentBytes += chunk.length })
  writeHead(options, targetResponse)
  const delivery = await streamBody(options, targetResponse.buffered, rest)
  if (delivery !== 'answer') return delivery
  if (!checkLength(options, targetResponse, sentBytes)) {
    resetConnection(response)
    return 'broken'
  }
  addTrailers(response, targetResponse)
  response.end()
  return 'answer'
}
