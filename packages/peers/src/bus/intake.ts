import type { MemberTable } from '../membership/memberTable.js'
import { SELF_KEY, readSelf } from '../membership/membershipEntries.js'
import type { Spreader } from '../spread/spreader.js'
import { SPREAD_CLASSES } from '../wire/messages.js'
import type { WireEntry } from '../wire/messages.js'

const MEMBERSHIP = SPREAD_CLASSES.indexOf('membership')

/** Where received entries go. */
export interface IntakeParts {
  readonly members: MemberTable
  readonly spreader: Spreader
}

const isSelf = ([, classNumber, key]: WireEntry): boolean => classNumber === MEMBERSHIP && key === SELF_KEY

const learnSelf = (members: MemberTable, [ref, , , , , , value]: WireEntry): void => {
  const word = readSelf(ref, value)
  if (word !== undefined) members.learn(word)
}

/**
 * Takes in entries of a message: daemons' own entries first, since they say who the origins of the others are.
 *
 * @param parts - Members and spreader.
 * @param entries - Entries of the message.
 * @param fromId - Daemon that sent it; new entries are not passed back to it.
 * @param apply - Applies a new entry of class `membership`.
 */
export const takeEntries = (parts: IntakeParts, entries: readonly WireEntry[], fromId: string, apply: (wire: WireEntry) => void): void => {
  const { members, spreader } = parts
  const ordered = [...entries.filter(isSelf), ...entries.filter(wire => !isSelf(wire))]
  for (const wire of ordered) {
    const [ref, classNumber] = wire
    if (ref === members.selfRef) continue
    if (isSelf(wire)) learnSelf(members, wire)
    if (members.identityOf(ref) === undefined) continue
    const held = spreader.take(wire, fromId)
    if (held !== undefined && classNumber === MEMBERSHIP) apply(wire)
  }
}
