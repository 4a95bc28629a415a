import type { MemberTable } from '../membership/memberTable.js'
import type { WireEntry } from '../wire/messages.js'
import type { HeldEntry } from './entryStore.js'
import type { Spreader } from './spreader.js'

const MAX_WANTED = 200

/** What one side sends and asks for after it compared digests. */
export interface Difference {
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
export const digestEntries = (spreader: Spreader): readonly number[] => [...spreader.store.hashes()].flat()

const pairsOf = (flat: readonly number[]): ReadonlyMap<number, number> => {
  const pairs = new Map<number, number>()
  for (let index = 0; index + 1 < flat.length; index += 2) pairs.set(flat[index] ?? 0, flat[index + 1] ?? 0)
  return pairs
}

/**
 * Compares a received digest with the own entries.
 *
 * @param spreader - Holder of the entries.
 * @param members - Members, which know earlier processes.
 * @param digest - Origins and hashes in turn.
 * @param roomPercent - Free share of the other side's byte budget.
 * @returns Entries of all origins that differ, as far as they fit, and the origins that the other side should send.
 */
export const compareDigests = (spreader: Spreader, members: MemberTable, digest: readonly number[], roomPercent: number): Difference => {
  const theirs = pairsOf(digest)
  const ours = spreader.store.hashes()
  const differing = [...ours].filter(([ref, hash]) => theirs.get(ref) !== hash && members.identityOf(ref) !== undefined).map(([ref]) => ref)
  const entries = differing.flatMap((ref): readonly HeldEntry[] => spreader.store.repairedOf(ref))
  const { held } = spreader.fit(entries, roomPercent)
  const wanted = [...theirs].filter(([ref, hash]) => ours.get(ref) !== hash && !members.isSuperseded(ref) && !members.isForgotten(ref)).map(([ref]) => ref)
  return { entries: held.map(entry => spreader.store.toWire(entry)), wanted: wanted.slice(0, MAX_WANTED) }
}
