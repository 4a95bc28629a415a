import type { MemberTable } from '../membership/memberTable.js'
import type { WireEntry } from '../wire/messages.js'
import type { HeldEntry } from './entryStore.js'
import type { Spreader } from './spreader.js'

const MAX_WANTED_ORIGINS = 200

/** What one side sends and asks for after it compared digests. */
export interface DigestDifference {
  readonly entries: readonly WireEntry[]
  /** Origins whose entries the other side should send. */
  readonly wanted: readonly number[]
}

/**
 * Makes the digest of all repaired entries.
 *
 * @param spreader - Holder of the entries.
 * @returns Origins and hashes in turn.
 */
export const createDigest = (spreader: Spreader): readonly number[] => [...spreader.store.hashes()].flat()

const toHashesByOrigin = (flat: readonly number[]): ReadonlyMap<number, number> => {
  const hashesByOrigin = new Map<number, number>()
  for (let index = 0; index + 1 < flat.length; index += 2) hashesByOrigin.set(flat[index] ?? 0, flat[index + 1] ?? 0)
  return hashesByOrigin
}

/**
 * Compares a received digest with the own entries.
 *
 * @param spreader - Holder of the entries.
 * @param members - Members, which know earlier processes.
 * @param digest - Origins and hashes in turn.
 * @param freeBudgetPercent - Free share of the other side's byte budget.
 * @returns Entries of all origins that differ, as far as they fit, and the origins that the other side should send.
 */
export const compareDigests = (spreader: Spreader, members: MemberTable, digest: readonly number[], freeBudgetPercent: number): DigestDifference => {
  const theirs = toHashesByOrigin(digest)
  const ours = spreader.store.hashes()
  const differing = [...ours].filter(([ref, hash]) => theirs.get(ref) !== hash && members.identityOf(ref) !== undefined).map(([ref]) => ref)
  const entries = differing.flatMap((ref): readonly HeldEntry[] => spreader.store.repairedOf(ref))
  const { fitting } = spreader.selectFitting(entries, freeBudgetPercent)
  const wanted = [...theirs].filter(([ref, hash]) => ours.get(ref) !== hash && !members.isSuperseded(ref) && !members.hasTombstone(ref)).map(([ref]) => ref)
  return { entries: fitting.map(entry => spreader.store.toWire(entry)), wanted: wanted.slice(0, MAX_WANTED_ORIGINS) }
}
