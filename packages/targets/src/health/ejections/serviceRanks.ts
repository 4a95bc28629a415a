import { rankByRendezvous } from '@lovagehoist/common'
import type { Member, PeerBus } from '@lovagehoist/common'

interface Ranking {
  readonly instanceIds: readonly string[]
  /** Position of this daemon. */
  readonly own: number
}

const isLive = ({ status }: Member): boolean => status !== 'gone' && status !== 'leaving'

/** Order of the live daemons for each service, worked out again only when the live daemons change. */
export class ServiceRanks {
  private view: readonly Member[] | undefined
  private names = ''
  private readonly byService = new Map<string, Ranking>()

  private constructor (private readonly bus: PeerBus) {}

  /**
   * Creates the ranks.
   *
   * @param bus - Communication between daemons.
   * @returns The ranks.
   */
  static create (bus: PeerBus): ServiceRanks {
    return new ServiceRanks(bus)
  }

  /** Instance ids of this daemon and the other live ones, the first in rank first. */
  of (service: string): readonly string[] {
    return this.rank(service).instanceIds
  }

  /** Position of this daemon, 0 for the first. */
  ownOf (service: string): number {
    return this.rank(service).own
  }

  private rank (service: string): Ranking {
    const view = this.bus.members()
    if (view !== this.view) this.compare(view)
    const known = this.byService.get(service)
    if (known !== undefined) return known
    const instanceIds = rankByRendezvous(service, this.names.split(' '))
    const ranking = { instanceIds, own: instanceIds.indexOf(this.bus.self.instanceId) }
    this.byService.set(service, ranking)
    return ranking
  }

  private compare (view: readonly Member[]): void {
    this.view = view
    const names = [this.bus.self.instanceId, ...view.filter(isLive).map(member => member.instanceId)].join(' ')
    if (names === this.names) return
    this.names = names
    this.byService.clear()
  }
}
