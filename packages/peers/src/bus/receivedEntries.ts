import type { MemberTable } from '../membership/memberTable.js'
import { SELF_KEY, parseSelfEntry } from '../membership/membershipEntries.js'
import type { Spreader } from '../spread/spreader.js'
import { GOSSIP_TOPICS } from '../wire/messages.js'
import type { WireEntry } from '../wire/messages.js'

const MEMBERSHIP_TOPIC_INDEX = GOSSIP_TOPICS.indexOf('membership')

/** Parts that received entries are applied to. */
export interface EntryReceivers {
  readonly members: MemberTable
  readonly spreader: Spreader
}

const isSelfEntry = ([, topicIndex, key]: WireEntry): boolean => topicIndex === MEMBERSHIP_TOPIC_INDEX && key === SELF_KEY

const applySelfEntry = (members: MemberTable, [ref, , , , , , value]: WireEntry): void => {
  const announcement = parseSelfEntry(ref, value)
  if (announcement !== undefined) members.applyAnnouncement(announcement)
}

/**
 * Applies the entries of a received message. Self entries are applied first: they identify the origins of the other
 * entries, and entries of unknown origin are skipped.
 *
 * @param receivers - Member table and spreader.
 * @param entries - Entries of the message.
 * @param fromId - Instance id of the sender; new entries are not forwarded back to it.
 * @param applyMembershipEntry - Called for each new entry of topic `membership`.
 */
export const applyReceivedEntries = (receivers: EntryReceivers, entries: readonly WireEntry[], fromId: string, applyMembershipEntry: (wire: WireEntry) => void): void => {
  const { members, spreader } = receivers
  const ordered = [...entries.filter(isSelfEntry), ...entries.filter(wire => !isSelfEntry(wire))]
  for (const wire of ordered) {
    const [ref, topicIndex] = wire
    if (ref === members.selfRef) continue
    if (isSelfEntry(wire)) applySelfEntry(members, wire)
    if (members.identityOf(ref) === undefined) continue
    const stored = spreader.accept(wire, fromId)
    if (stored !== undefined && topicIndex === MEMBERSHIP_TOPIC_INDEX) applyMembershipEntry(wire)
  }
}
