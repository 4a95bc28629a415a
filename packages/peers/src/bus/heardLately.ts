import type { MemberTable } from '../membership/memberTable.js'

const MAX_HEARD = 8

/**
 * Names processes whose links to this one were confirmed lately.
 *
 * @param members - Members.
 * @returns Their numbers, the latest first, bounded.
 */
export const heardLately = (members: MemberTable): readonly number[] => members.all()
  .filter(record => record.startId !== '' && members.isConfirmed(record))
  .sort((a, b) => b.confirmedAtMs - a.confirmedAtMs)
  .slice(0, MAX_HEARD)
  .map(record => record.ref)
