import type { RawHeaders } from '@lovagehoist/common'

/** How the end of a response body is determined. */
export type Framing =
  | { readonly type: 'length', readonly bytes: number }
  | { readonly type: 'chunked' }
  | { readonly type: 'none' }
  | { readonly type: 'until-close', readonly message: string }
  | { readonly type: 'unprovable', readonly message: string }

const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304])
const DIGITS = /^\d+$/

const CONTENT_LENGTH = 'content-length'
const TRANSFER_ENCODING = 'transfer-encoding'

const valuesOf = (headers: RawHeaders, name: string): readonly string[] => {
  const values: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    const field = headers[index] ?? ''
    if (field.length === name.length && field.toLowerCase() === name) values.push(headers[index + 1] ?? '')
  }
  return values
}

/**
 * Determines how a response body ends. A body that ends with its connection can't be proven complete unless the target's contract allows it.
 *
 * @param method - Method of the request.
 * @param status - Status of the response.
 * @param headers - Header fields of the response.
 * @returns The framing.
 */
export const detectFraming = (method: string, status: number, headers: RawHeaders): Framing => {
  if (method === 'HEAD' || NO_BODY_STATUSES.has(status)) return { type: 'none' }
  const lengths = valuesOf(headers, CONTENT_LENGTH)
  const codings = valuesOf(headers, TRANSFER_ENCODING)
  if (codings.length > 0 && lengths.length > 0) return { type: 'unprovable', message: 'the answer states a length and a transfer coding' }
  if (codings.length > 0) {
    const isChunked = codings.length === 1 && codings[0]?.trim().toLowerCase() === 'chunked'
    return isChunked ? { type: 'chunked' } : { type: 'unprovable', message: 'the answer uses an unknown transfer coding' }
  }
  const [length, ...others] = lengths
  if (length === undefined) return { type: 'until-close', message: 'the answer states no length, so its end could not be proven' }
  if (others.length > 0 || !DIGITS.test(length)) return { type: 'unprovable', message: 'the answer states a contradictory length' }
  return { type: 'length', bytes: Number(length) }
}
