import { rankByRendezvous } from '@lovagehoist/common'
import type { Member, PeerBus } from '@lovagehoist/common'

interface Ranking {
  readonly instanceIds: readonly string[]
  /** Position of this daemon in `instanceIds`, 0 for the first. */
  readonly ownRank: number
}

const isLive = ({ status }: Member): boolean => status !== 'gone' && status !== 'leaving'

/** Ranks the live daemons for each service by rendezvous hashing; cached until the set of live daemons changes. */
export class ServiceRanks {
  private members: readonly Member[] | undefined
  private liveIds = ''
  private readonly byService = new Map<string, Ranking>()

  private constructor (private readonly bus: PeerBus) {}

  /**
   * Creates rankings over the members of a peer bus.
   *
   * @param bus - Messaging and membership between daemons.
   * @returns The rankings.
   */
  static create (bus: PeerBus): ServiceRanks {
    return new ServiceRanks(bus)
  }

  /** Instance ids of all live daemons, this one included, highest rank first. */
  rankedInstances (service: string): readonly string[] {
    return this.rank(service).instanceIds
  }

  /** Position of this daemon in the ranking of a service, 0 for the first. */
  ownRank (service: string): number {
    return this.rank(service).ownRank
  }

  private rank (service: string): Ranking {
    const members = this.bus.members()
    if (members !== this.members) this.updateMembers(members)
    const cached = this.byService.get(service)
    if (cached !== undefined) return cached
    const instanceIds = rankByRendezvous(service, this.liveIds.split(' '))
    const ranking = { instanceIds, ownRank: instanceIds.indexOf(this.bus.self.instanceId) }
    this.byService.set(service, ranking)
    return ranking
  }

  private updateMembers (members: readonly Member[]): void {
    this.members = members
    const liveIds = [this.bus.self.instanceId, ...members.filter(isLive).map(member => member.instanceId)].join(' ')
    if (liveIds === this.liveIds) return
    this.liveIds = liveIds
    this.byService.clear()
  }
}
