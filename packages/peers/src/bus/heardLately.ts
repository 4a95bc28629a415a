import type { MemberTable } from '../membership/memberTable.js'

const MAX_HEARD = 8

/**
 * Names processes whose links to this one were confirmed lately.
 *
 * @param members - Members.
 * @returns Their numbers, the latest last, bounded.
 */
export const heardLately = (members: MemberTable): readonly number[] =>
  members.confirmedLately().slice(-MAX_HEARD).map(record => record.ref)
