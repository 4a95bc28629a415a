import type { ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import { VERDICT_HEADER } from '@lovagehoist/common'
import type { Invariants } from '@lovagehoist/common'
import { REQUEST_ID_HEADER, answerHeaders, headerOf } from '../exchange/headers.js'
import type { ReadyAnswer } from '../exchange/heldAnswer.js'

/** How delivering an answer ended. */
export type Delivery = 'answer' | 'broken' | 'caller-gone'

/** What an answer is delivered with. */
export interface DeliverOptions {
  readonly response: ServerResponse
  readonly requestId: string
  readonly method: string
  readonly invariants: Invariants
}

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

/** Breaks the caller's connection so that what was sent can't be taken for a whole answer. */
const breakOff = (response: ServerResponse): void => { response.destroy() }

/** Whether an answer's end is only known by the end of its connection. */
const isUntilClose = ({ headers, status }: ReadyAnswer, method: string): boolean =>
  method !== 'HEAD' && !BODILESS_STATUSES.has(status) && headerOf(headers, 'content-length') === undefined && headerOf(headers, 'transfer-encoding') === undefined

const writeHead = ({ response, requestId, method }: DeliverOptions, answer: ReadyAnswer): void => {
  const headers = answerHeaders(answer.headers)
  if (isUntilClose(answer, method)) {
    // A length of the gateway's own would claim a completeness that the target has not proven.
    response.removeHeader('content-length')
    response.removeHeader('transfer-encoding')
    response.removeHeader('keep-alive')
    response.setHeader('connection', 'close')
  }
  response.writeHead(answer.status, [...headers, VERDICT_HEADER, 'ran', REQUEST_ID_HEADER, requestId])
}

const addTrailers = (response: ServerResponse, answer: ReadyAnswer): void => {
  const raw = answer.trailers()
  if (raw.length === 0) return
  const fields = Array.from({ length: raw.length >> 1 }, (_, index): [string, string] => [raw[2 * index] ?? '', raw[2 * index + 1] ?? ''])
  response.addTrailers(fields)
}

const checkLength = ({ method, invariants }: DeliverOptions, answer: ReadyAnswer, sentBytes: number): boolean => {
  const stated = headerOf(answer.headers, 'content-length')
  const isWhole = stated === undefined || method === 'HEAD' || BODILESS_STATUSES.has(answer.status) || Number(stated) === sentBytes
  invariants.check('whole-answer', isWhole, { statedBytes: stated ?? '', sentBytes })
  return isWhole
}

/** Passes the rest of a body on; a break of either side breaks the other. */
const stream = async (rest: NonNullable<ReadyAnswer['rest']>, response: ServerResponse): Promise<Delivery> => {
  let isGone = false
  response.once('close', () => {
    isGone = !rest.readableEnded && !rest.destroyed
    if (isGone) rest.destroy()
  })
  try {
    await pipeline(rest, response, { end: false })
    return 'answer'
  } catch {
    breakOff(response)
    return isGone ? 'caller-gone' : 'broken'
  }
}

/**
 * Delivers an answer whole, or breaks the connection so that the caller can see that it is not.
 *
 * @param options - Answer to the caller and the request's name.
 * @param answer - Answer, held or still flowing.
 * @returns How it ended.
 */
export const deliver = async (options: DeliverOptions, answer: ReadyAnswer): Promise<Delivery> => {
  const { response } = options
  let sentBytes = answer.held.length
  if (answer.rest === undefined) {
    if (!checkLength(options, answer, sentBytes)) {
      breakOff(response)
      return 'broken'
    }
    writeHead(options, answer)
    addTrailers(response, answer)
    response.end(answer.held)
    return 'answer'
  }
  const { rest } = answer
  rest.on('data', (chunk: Buffer) => { sentBytes += chunk.length })
  writeHead(options, answer)
  if (answer.held.length > 0) response.write(answer.held)
  const ending = await stream(rest, response)
  if (ending !== 'answer') return ending
  if (!checkLength(options, answer, sentBytes)) {
    breakOff(response)
    return 'broken'
  }
  addTrailers(response, answer)
  response.end()
  return 'answer'
}
