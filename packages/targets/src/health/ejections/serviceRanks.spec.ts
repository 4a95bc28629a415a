import { expect } from 'chai'
import { rankByRendezvous } from '@lovagehoist/common'
import { FakePeerNetwork, ManualClock } from '@lovagehoist/common/fakes'
import { ServiceRanks } from './serviceRanks.js'

describe('ServiceRanks', () => {
  it('ranks only live daemons and follows joins and leaves', () => {
    const network = FakePeerNetwork.create(ManualClock.create())
    const join = (instanceId: string) => network.join({ instanceId, startId: 's', region: 'local', availabilityZone: 'a' })
    const ranks = ServiceRanks.create(join('one'))
    expect(ranks.rankedInstances('burnbook')).to.deep.equal(['one'])
    join('two')
    join('three')
    expect(ranks.rankedInstances('burnbook')).to.deep.equal(rankByRendezvous('burnbook', ['one', 'two', 'three']))
    expect(ranks.rankedInstances('sackpay')).to.deep.equal(rankByRendezvous('sackpay', ['one', 'two', 'three']))
    network.leave('two')
    expect(ranks.rankedInstances('burnbook')).to.deep.equal(rankByRendezvous('burnbook', ['one', 'three']))
  })
})
