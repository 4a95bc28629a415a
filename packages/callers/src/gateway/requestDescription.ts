import { sha256Hex } from '@lovagehoist/common'

/** What identifies repetitions of a request. */
export interface DescribedRequest {
  readonly method: string
  /** Path with query. */
  readonly path: string
  readonly callerAddress: string
  readonly body: Buffer | undefined
}

/** How much repetitions of a request have in common: everything, everything but the query, or neither query nor caller. */
export type RequestScope = 'exact' | 'path' | 'any-caller'

/** Fingerprint that repetitions of a request share within a scope. */
export interface RequestFingerprint {
  readonly scope: RequestScope
  readonly hash: string
}

/** Scopes from the narrowest to the broadest. */
export const REQUEST_SCOPES: readonly RequestScope[] = ['exact', 'path', 'any-caller']

const HASH_LENGTH = 12
const NO_BODY = ''

/**
 * Computes the fingerprints of a request.
 *
 * @param request - Request.
 * @returns One fingerprint for each scope, the narrowest first.
 */
export const fingerprintsOf = ({ method, path, callerAddress, body }: DescribedRequest): readonly RequestFingerprint[] => {
  const bodyHash = body === undefined ? NO_BODY : sha256Hex(body)
  const [pathOnly = ''] = path.split('?', 1)
  const parts: Readonly<Record<RequestScope, readonly string[]>> = {
    exact: [method, path, callerAddress, bodyHash],
    path: [method, pathOnly, callerAddress, bodyHash],
    'any-caller': [method, pathOnly, bodyHash]
  }
  return REQUEST_SCOPES.map(scope => ({ scope, hash: sha256Hex([scope, ...parts[scope]].join(' ')).slice(0, HASH_LENGTH) }))
}
