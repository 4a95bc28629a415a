import type { MemberTable } from '../membership/memberTable.js'

const MAX_REFS = 8

/**
 * Lists the processes whose link to this one was confirmed recently; heartbeats carry the list.
 *
 * @param members - Member table.
 * @returns Process refs, the most recently confirmed last; at most 8.
 */
export const recentlyConfirmedRefs = (members: MemberTable): readonly number[] =>
  members.recentlyConfirmed().slice(-MAX_REFS).map(record => record.ref)
