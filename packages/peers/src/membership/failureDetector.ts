import type { Random } from '@lovagehoist/common'
import type { PeerClient } from '../bus/peerClient.js'
import type { Spreader } from '../spread/spreader.js'
import type { StoredEntry } from '../spread/entryStore.js'
import { SUSPICION_PREFIX } from './membershipEntries.js'
import type { MemberRecord } from './memberRecord.js'
import type { Suspicion, MemberTable } from './memberTable.js'

/** Maximum wait for the answer to a direct exchange. */
export const EXCHANGE_TIMEOUT_MS = 1_000
/** Longer than a direct exchange, since the asked daemon makes one itself before it answers. */
const INDIRECT_PROBE_TIMEOUT_MS = 2_000
const INDIRECT_PROBES = 3
const SUSPICION_LIFETIME_MS = 60_000

/** Options of a failure detector. */
export interface FailureDetectorOptions {
  readonly random: Random
  readonly members: MemberTable
  readonly client: PeerClient
  readonly spreader: Spreader
}

/** Detects failed daemons as in SWIM: probes an unresponsive one through others and publishes a suspicion if none reaches it. */
export class FailureDetector {
  private constructor (private readonly options: FailureDetectorOptions) {}

  /**
   * Creates a detector.
   *
   * @param options - Randomness, member table, client and spreader.
   * @returns The detector.
   */
  static create (options: FailureDetectorOptions): FailureDetector {
    return new FailureDetector(options)
  }

  /**
   * Handles a failed exchange: marks the link as failed, and suspects the member if other daemons cannot reach it either.
   *
   * @param member - Daemon that did not answer.
   */
  async handleFailedExchange (member: MemberRecord): Promise<void> {
    const { members } = this.options
    members.markLinkFailed(member.instanceId)
    if (member.suspectSinceMs !== undefined || member.goneAtMs !== undefined) return
    if (!await this.isUnreachableForOthers(member)) return
    const latest = members.find(member.instanceId)
    if (latest === undefined || latest.startId !== member.startId || !latest.isLinkFailed) return
    if (latest.startId === '') members.suspectUncontacted(latest.instanceId)
    else this.publishSuspicion(latest)
  }

  /** Publishes that a process is suspected; the process refutes the suspicion by publishing a higher epoch. */
  publishSuspicion ({ ref, epoch }: Suspicion): StoredEntry | undefined {
    const { members, spreader } = this.options
    members.suspect(ref, epoch, 0)
    return spreader.publish('membership', `${SUSPICION_PREFIX}${ref}`, [ref, epoch], SUSPICION_LIFETIME_MS)
  }

  /** Asks up to three daemons to contact the member; true if some answered and none of them reached it, or if there is no other daemon. */
  private async isUnreachableForOthers (member: MemberRecord): Promise<boolean> {
    const { client, members } = this.options
    const others = members.all().filter(other => other.instanceId !== member.instanceId && other.startId !== '' && other.goneAtMs === undefined)
    if (others.length === 0) return true
    const helpers = this.pickRandom(members.recentlyConfirmed().filter(other => other.instanceId !== member.instanceId))
    const answers = await Promise.all(helpers.map(async helper => await client.exchange(helper, 'ask', { about: member.instanceId }, INDIRECT_PROBE_TIMEOUT_MS)))
    const results = answers.flatMap(answer => answer.isOk() ? [answer.value.isReached] : [])
    return results.length > 0 && !results.includes(true)
  }

  private pickRandom (candidates: readonly MemberRecord[]): readonly MemberRecord[] {
    const remaining = [...candidates]
    const picked: MemberRecord[] = []
    while (picked.length < INDIRECT_PROBES && remaining.length > 0) picked.push(...remaining.splice(this.options.random.int(remaining.length), 1))
    return picked
  }
}
