import type { Member } from '@lovagehoist/common'
import type { Sighting } from './currency.js'

/** What the majority is counted over. */
export interface MajorityOptions {
  readonly members: readonly Member[]
  readonly heldVersion: number
  readonly nowMs: number
}

/**
 * Establishes from most of the known instances that no newer version is in force there.
 *
 * Every listed instance counts as known, also one that is out of reach: a part of the fleet that is cut off must not take
 * itself for the whole. Only leaving ones don't count.
 *
 * @param options - Other instances, the version held here and the time.
 * @returns The sighting; undefined unless more than half of the known instances, this one included, are reachable and hold nothing newer.
 */
export const seeMajority = ({ members, heldVersion, nowMs }: MajorityOptions): Sighting | undefined => {
  const known = members.filter(member => member.status !== 'leaving')
  const agesMs = known
    .filter(member => member.status === 'reachable' && member.configVersion <= heldVersion)
    .map(member => member.ageMs)
    .sort((a, b) => a - b)
  const needed = Math.floor((known.length + 1) / 2)
  if (agesMs.length < needed) return undefined
  return { version: heldVersion, atMs: nowMs - (needed === 0 ? 0 : agesMs[needed - 1] ?? 0) }
}
