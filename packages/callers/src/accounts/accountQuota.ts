import type { ClientAccount, QuotaBounds } from '@lovagehoist/common'

/** Quota of a client account over the whole fleet, with the part of the tolerance that the token bucket uses. */
export interface AccountQuota {
  readonly perSecond: number
  /** Largest level of the token bucket: the burst, and a part of the tolerance. */
  readonly depth: number
  /** Level with which a relay starts that knows nothing of the past. */
  readonly initialLevel: number
  /** Requests that may remain unknown to the relays for a while. */
  readonly unknownRequests: number
  /** Longest time for which requests count. */
  readonly windowMs: number
}

/** Looks up the quota of an account in the configuration in force; undefined if it has none. */
export type QuotaLookup = (account: string) => AccountQuota | undefined

const MS_PER_SECOND = 1_000
/** Part of the tolerance that callers may use; the rest covers requests that the relays do not know of yet. */
const USED_TOLERANCE_SHARE = 0.3
/** Part of the tolerance by which counts that are reported late may be wrong. */
const LATE_TOLERANCE_SHARE = 0.2

const deriveQuota = ({ requestsPerSecond, burst }: ClientAccount, { windowMs, overageShare, slackRequests }: QuotaBounds): AccountQuota => {
  const tolerance = overageShare * (requestsPerSecond * windowMs / MS_PER_SECOND + burst) + slackRequests
  return { perSecond: requestsPerSecond, depth: Math.max(1, burst + USED_TOLERANCE_SHARE * tolerance), initialLevel: USED_TOLERANCE_SHARE * slackRequests, unknownRequests: LATE_TOLERANCE_SHARE * slackRequests, windowMs }
}

/**
 * Creates a lookup that follows the configuration and the bounds in force.
 *
 * @param accounts - Accounts of the configuration in force.
 * @param bounds - Window and tolerance in force.
 * @returns The lookup.
 */
export const createQuotaLookup = (accounts: () => readonly ClientAccount[] | undefined, bounds: () => QuotaBounds): QuotaLookup => {
  let source: { readonly accounts: readonly ClientAccount[] | undefined, readonly bounds: QuotaBounds } | undefined
  let quotas: ReadonlyMap<string, AccountQuota> = new Map()
  return name => {
    const current = { accounts: accounts(), bounds: bounds() }
    if (source?.accounts !== current.accounts || source?.bounds !== current.bounds) {
      source = current
      quotas = new Map((current.accounts ?? []).filter(({ requestsPerSecond }) => requestsPerSecond > 0).map(account => [account.name, deriveQuota(account, current.bounds)]))
    }
    return quotas.get(name)
  }
}
