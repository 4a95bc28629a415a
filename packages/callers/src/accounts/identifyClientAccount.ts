import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ClientAccount, GatewayRoute, RawHeaders } from '@lovagehoist/common'
import { notRunProblem } from '../accept/callerRequest.js'
import type { Forwarding } from '../gateway/forwarding.js'
import type { Problem } from '../responses/problem.js'
import type { AccountIndex } from './accountIndex.js'
import { parseBearerKey } from './bearerKey.js'
import type { KeyVerifier } from './keyVerifier.js'

/** A request whose client account is wanted. */
export interface UnidentifiedRequest {
  readonly headers: RawHeaders
  readonly route: GatewayRoute
  /** Set for a request that another daemon forwarded. */
  readonly forwarding: Forwarding | undefined
  /** Accounts of the configuration in force; undefined if it has none. */
  readonly accounts: AccountIndex | undefined
  readonly disconnectSignal: AbortSignal
}

/**
 * Identifies the client account of a request.
 *
 * @param verifier - Decides on keys.
 * @param request - Request on a known route.
 * @returns The account; undefined where the configuration asks for none; a problem if the key is missing, malformed or unknown.
 */
export const identifyClientAccount = async (verifier: KeyVerifier, { headers, route, forwarding, accounts, disconnectSignal }: UnidentifiedRequest): Promise<Result<ClientAccount | undefined, Problem>> => {
  if (accounts === undefined || route.isPublic) return ok(undefined)
  // The daemon that received a forwarded request has verified its key; earlier builds don't name the account and forward the key instead.
  if (forwarding?.account !== undefined) {
    const account = accounts.findByName(forwarding.account)
    return account === undefined ? err(notRunProblem('unknown-account', 'the configuration has no such client account')) : ok(account)
  }
  const key = parseBearerKey(headers)
  if (key.isErr()) return err(notRunProblem('unknown-account', key.error))
  return await verifier.verify(key.value, disconnectSignal)
}
