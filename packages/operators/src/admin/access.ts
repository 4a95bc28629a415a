import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { BlockList, isIPv6 } from 'node:net'

/** Reads the required bearer token; undefined to allow only loopback connections. */
export type ReadToken = (() => Promise<string>) | undefined

/** Status and reason with which a request is refused. */
export interface AccessRefusal {
  readonly status: 401 | 403 | 503
  readonly detail: string
}

const LOOPBACK_PREFIX_BITS = 8
const IPV4_MAPPED = /^::ffff:(?=\d+\.)/i

const createLoopbackList = (): BlockList => {
  const list = new BlockList()
  list.addSubnet('127.0.0.0', LOOPBACK_PREFIX_BITS, 'ipv4')
  list.addAddress('::1', 'ipv6')
  return list
}

const isLoopback = (address: string): boolean => {
  const unmappedAddress = address.replace(IPV4_MAPPED, '')
  return createLoopbackList().check(unmappedAddress, isIPv6(unmappedAddress) ? 'ipv6' : 'ipv4')
}

/** Hashes a token, so that tokens of different lengths can be compared in constant time. */
const sha256 = (text: string): Buffer => createHash('sha256').update(text).digest()

const isSameToken = (given: string, expected: string): boolean =>
  expected !== '' && timingSafeEqual(sha256(given), sha256(expected))

const bearerTokenOf = (request: IncomingMessage): string => /^Bearer (.+)$/i.exec(request.headers.authorization ?? '')?.[1]?.trim() ?? ''

const checkToken = async (request: IncomingMessage, readToken: () => Promise<string>): Promise<AccessRefusal | undefined> => {
  try {
    const isSame = isSameToken(bearerTokenOf(request), (await readToken()).trim())
    return isSame ? undefined : { status: 401, detail: 'expected the bearer token of admin.tokenFile' }
  } catch {
    return { status: 503, detail: 'admin.tokenFile can\'t be read on this instance' }
  }
}

/**
 * Checks whether a request may read or change the state of the daemon.
 *
 * @param request - Request received on the admin address.
 * @param readToken - Reads the required token; undefined to allow only loopback connections.
 * @returns The refusal; undefined when the request is allowed.
 */
export const checkAccess = async (request: IncomingMessage, readToken: ReadToken): Promise<AccessRefusal | undefined> => {
  if (request.headers.origin !== undefined) return { status: 403, detail: 'requests of web pages are refused' }
  if (readToken !== undefined) return await checkToken(request, readToken)
  if (isLoopback(request.socket.remoteAddress ?? '')) return undefined
  return { status: 403, detail: 'without admin.tokenFile only loopback callers are allowed' }
}
