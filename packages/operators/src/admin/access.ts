import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { BlockList, isIPv6 } from 'node:net'

/** Reads the bearer token; undefined when only loopback callers are allowed. */
export type ReadToken = (() => Promise<string>) | undefined

/** Why a request is refused. */
export interface Refusal {
  readonly status: 401 | 403 | 503
  readonly detail: string
}

const LOOPBACK_PREFIX_BITS = 8
const IPV4_MAPPED = /^::ffff:(?=\d+\.)/i

const createLoopback = (): BlockList => {
  const list = new BlockList()
  list.addSubnet('127.0.0.0', LOOPBACK_PREFIX_BITS, 'ipv4')
  list.addAddress('::1', 'ipv6')
  return list
}

const isLoopback = (address: string): boolean => {
  const plain = address.replace(IPV4_MAPPED, '')
  return createLoopback().check(plain, isIPv6(plain) ? 'ipv6' : 'ipv4')
}

const sha256 = (text: string): Buffer => createHash('sha256').update(text).digest()

const isSameToken = (given: string, expected: string): boolean =>
  expected !== '' && timingSafeEqual(sha256(given), sha256(expected))

const bearerOf = (request: IncomingMessage): string => /^Bearer (.+)$/i.exec(request.headers.authorization ?? '')?.[1]?.trim() ?? ''

const checkToken = async (request: IncomingMessage, readToken: () => Promise<string>): Promise<Refusal | undefined> => {
  try {
    const isSame = isSameToken(bearerOf(request), (await readToken()).trim())
    return isSame ? undefined : { status: 401, detail: 'expected the bearer token of admin.tokenFile' }
  } catch {
    return { status: 503, detail: 'admin.tokenFile can\'t be read on this instance' }
  }
}

/**
 * Decides whether a request may read state or change it.
 *
 * @param request - Request at the admin address.
 * @param readToken - Reads the token that is required; undefined to allow loopback callers only.
 * @returns Why it is refused; undefined when it is allowed.
 */
export const checkAccess = async (request: IncomingMessage, readToken: ReadToken): Promise<Refusal | undefined> => {
  if (request.headers.origin !== undefined) return { status: 403, detail: 'requests of web pages are refused' }
  if (readToken !== undefined) return await checkToken(request, readToken)
  if (isLoopback(request.socket.remoteAddress ?? '')) return undefined
  return { status: 403, detail: 'without admin.tokenFile only loopback callers are allowed' }
}
