import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'

/** Validated path of a request. */
export interface RequestPath {
  /** Path without query. */
  readonly path: string
  /** Path with query, as it is sent to the target. */
  readonly full: string
}

const FORBIDDEN = /[^!-~]|[\\#]/
const DOT_SEGMENT = /\/(?:\.|%2e){1,2}(?:\/|$)/i
const BAD_ENCODING = /%(?![0-9a-f]{2})|%00/i

/**
 * Validates the request target (RFC 9112), so that the router and the target server can't interpret it differently.
 *
 * @param url - Request target as received.
 * @returns The path, or the reason why it is invalid.
 */
export const parseRequestPath = (url: string | undefined): Result<RequestPath, string> => {
  if (url === undefined || !url.startsWith('/') || url.startsWith('//')) return err('the request target must be a path that begins with one "/"')
  if (FORBIDDEN.test(url)) return err('the request target contains a forbidden character')
  const queryAt = url.indexOf('?')
  const path = queryAt < 0 ? url : url.slice(0, queryAt)
  if (DOT_SEGMENT.test(path)) return err('the path contains a dot segment')
  if (BAD_ENCODING.test(path)) return err('the path contains a malformed percent encoding')
  return ok({ path, full: url })
}
