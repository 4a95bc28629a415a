import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { BEARER_TOKEN } from '@lovagehoist/common'
import type { RawHeaders } from '@lovagehoist/common'

/** Header field that carries the key of a client account (RFC 6750). */
export const AUTHORIZATION_HEADER = 'authorization'

/** The scheme is case-insensitive (RFC 9110). */
const BEARER = new RegExp(`^bearer +(${BEARER_TOKEN})$`, 'i')

const valuesOf = (headers: RawHeaders, wanted: string): readonly string[] =>
  headers.filter((_, index) => index % 2 === 1 && headers[index - 1]?.toLowerCase() === wanted)

/**
 * Reads the key from the `Authorization` field of a request.
 *
 * @param headers - Header fields as received: `node:http` would hide that a field was sent twice.
 * @returns The key, or what is wrong; never the value, which may be a secret.
 */
export const parseBearerKey = (headers: RawHeaders): Result<string, string> => {
  const values = valuesOf(headers, AUTHORIZATION_HEADER)
  if (values.length > 1) return err('the request has several Authorization fields')
  if (values.length === 0) return err('the request needs the key of a client account: Authorization: Bearer KEY')
  const [, key] = BEARER.exec(values[0]?.trim() ?? '') ?? []
  return key === undefined ? err('Authorization must be: Bearer KEY') : ok(key)
}
