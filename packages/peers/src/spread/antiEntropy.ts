import type { MemberTable } from '../membership/memberTable.js'
import type { WireEntry } from '../wire/messages.js'
import type { StoredEntry } from './entryStore.js'
import type { Spreader } from './spreader.js'

const MAX_WANTED_ORIGINS = 200

/** Result of a digest comparison: what to send and what to request. */
export interface DigestDifference {
  readonly entries: readonly WireEntry[]
  /** Refs of the origins whose entries the other side should send. */
  readonly wanted: readonly number[]
}

/**
 * Creates a digest of all entries that anti-entropy repairs.
 *
 * @param spreader - Spreader that stores the entries.
 * @returns Origin refs and hashes, alternating.
 */
export const createDigest = (spreader: Spreader): readonly number[] => [...spreader.store.hashes()].flat()

const toHashesByOrigin = (flat: readonly number[]): ReadonlyMap<number, number> => {
  const hashesByOrigin = new Map<number, number>()
  for (let index = 0; index + 1 < flat.length; index += 2) hashesByOrigin.set(flat[index] ?? 0, flat[index + 1] ?? 0)
  return hashesByOrigin
}

/**
 * Compares a received digest with the local entries.
 *
 * @param spreader - Spreader that stores the local entries.
 * @param members - Member table; entries of replaced or removed processes are not requested.
 * @param digest - Origin refs and hashes of the other side, alternating.
 * @param freeBudgetPercent - Free share of the other side's byte budget.
 * @returns Local entries of the origins that differ, as far as they fit, and the origins to request.
 */
export const compareDigests = (spreader: Spreader, members: MemberTable, digest: readonly number[], freeBudgetPercent: number): DigestDifference => {
  const theirs = toHashesByOrigin(digest)
  const ours = spreader.store.hashes()
  const differing = [...ours].filter(([ref, hash]) => theirs.get(ref) !== hash && members.identityOf(ref) !== undefined).map(([ref]) => ref)
  const entries = differing.flatMap((ref): readonly StoredEntry[] => spreader.store.repairedEntriesOf(ref))
  const { fitting } = spreader.selectFitting(entries, freeBudgetPercent)
  const wanted = [...theirs].filter(([ref, hash]) => ours.get(ref) !== hash && !members.isSuperseded(ref) && !members.hasTombstone(ref)).map(([ref]) => ref)
  return { entries: fitting.map(entry => spreader.store.toWire(entry)), wanted: wanted.slice(0, MAX_WANTED_ORIGINS) }
}
