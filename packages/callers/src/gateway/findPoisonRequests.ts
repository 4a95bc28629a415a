import { REQUEST_SCOPES } from './requestDescription.js'
import type { RequestFingerprint, RequestScope } from './requestDescription.js'

/** A fingerprint with the starts of targets that crashed under such requests. */
export interface SuspectRequest extends RequestFingerprint {
  readonly starts: readonly string[]
}

/** Crashes from which a request is quarantined; requests of different callers have less in common. */
const MIN_CRASHES: Readonly<Record<RequestScope, number>> = { exact: 3, path: 3, 'any-caller': 5 }

/** Orders suspects by the number of crashes, then the narrowest first. */
const byStrength = (a: SuspectRequest, b: SuspectRequest): number =>
  b.starts.length - a.starts.length || REQUEST_SCOPES.indexOf(a.scope) - REQUEST_SCOPES.indexOf(b.scope)

/**
 * Finds the requests that explain the crashes. A crash that is explained by a request with more crashes, or by a narrower fingerprint with as many, does not count
 * against others that were broken off with it.
 *
 * @param suspects - Suspects with their crashes.
 * @returns Hashes of the fingerprints that are to be quarantined.
 */
export const findPoisonRequests = (suspects: readonly SuspectRequest[]): ReadonlySet<string> => {
  const poison = new Set<string>()
  const explained = new Set<string>()
  const candidates = suspects.filter(({ scope, starts }) => starts.length >= MIN_CRASHES[scope]).sort(byStrength)
  for (let first = 0; first < candidates.length;) {
    const group = candidates.filter((suspect, index) => index >= first && byStrength(suspect, candidates[first] ?? suspect) === 0)
    const found = group.filter(({ scope, starts }) => starts.filter(start => !explained.has(start)).length >= MIN_CRASHES[scope])
    for (const { hash, starts } of found) {
      poison.add(hash)
      for (const start of starts) explained.add(start)
    }
    first += group.length
  }
  return poison
}
