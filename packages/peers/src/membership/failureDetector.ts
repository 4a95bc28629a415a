import type { Random } from '@lovagehoist/common'
import type { PeerClient } from '../bus/peerClient.js'
import type { Spreader } from '../spread/spreader.js'
import type { HeldEntry } from '../spread/entryStore.js'
import { SUSPICION_PREFIX } from './membershipEntries.js'
import type { MemberRecord } from './memberRecord.js'
import type { Suspicion, MemberTable } from './memberTable.js'

/** Longest wait for a direct exchange. */
export const EXCHANGE_TIMEOUT_MS = 1_000
const INDIRECT_PROBE_TIMEOUT_MS = 2_000
const INDIRECT_PROBES = 3
const SUSPICION_LIFETIME_MS = 60_000

/** What the detector needs. */
export interface FailureDetectorOptions {
  readonly random: Random
  readonly members: MemberTable
  readonly client: PeerClient
  readonly spreader: Spreader
}

/** Asks other daemons about one that does not answer, and spreads the suspicion when none of them reaches it either. */
export class FailureDetector {
  private constructor (private readonly options: FailureDetectorOptions) {}

  /**
   * Creates a detector.
   *
   * @param options - Randomness, members, client and spreader.
   * @returns The detector.
   */
  static create (options: FailureDetectorOptions): FailureDetector {
    return new FailureDetector(options)
  }

  /**
   * Deals with an exchange that failed.
   *
   * @param member - The daemon that did not answer.
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

  /** Spreads that a process is suspected; it contradicts by a higher epoch when it hears of it. */
  publishSuspicion ({ ref, epoch }: Suspicion): HeldEntry | undefined {
    const { members, spreader } = this.options
    members.suspect(ref, epoch, 0)
    return spreader.publish('membership', `${SUSPICION_PREFIX}${ref}`, [ref, epoch], SUSPICION_LIFETIME_MS)
  }

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
