import { rankByRendezvous } from '@lovagehoist/common'
import type { Member, PeerBus } from '@lovagehoist/common'

const isLive = ({ status }: Member): boolean => status !== 'gone' && status !== 'leaving'

/** Order of the live daemons for each service, worked out again only when the live daemons change. */
export class ServiceRanks {
  private view: readonly Member[] | undefined
  private names = ''
  private readonly byService = new Map<string, readonly string[]>()

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
    const view = this.bus.members()
    if (view !== this.view) this.compare(view)
    const known = this.byService.get(service)
    if (known !== undefined) return known
    const ranking = rankByRendezvous(service, this.names.split(' '))
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
