import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/fakes'
import { FakeFleet } from '../fakes/fakeFleet.js'

const startFleet = async (count: number, seed: number): Promise<FakeFleet> => {
  const fleet = new FakeFleet(ManualClock.create(), seed)
  for (let index = 0; index < count; index++) await fleet.start(index)
  await fleet.clock.advanceMs(12_000)
  return fleet
}

const statuses = (fleet: FakeFleet, viewer: string): readonly string[] =>
  fleet.daemons.get(viewer)?.bus.members().map(member => `${member.instanceId} ${member.status}`) ?? []

describe('GossipPeerBus', () => {
  it('discovers all members', async () => {
    const fleet = await startFleet(6, 1)
    expect(statuses(fleet, 'daemon-0')).to.deep.equal([1, 2, 3, 4, 5].map(index => `daemon-${index} reachable`))
    await fleet.close()
    expect(fleet.breaches).to.deep.equal([])
  })

  it('delivers a value of topic `config` to all daemons exactly once within a second', async () => {
    const fleet = await startFleet(12, 2)
    const deliveries: string[] = []
    for (const [id, { bus }] of fleet.daemons) bus.onEntry('config', entry => { deliveries.push(`${id} ${String(entry.value)}`) })
    fleet.daemons.get('daemon-3')?.bus.publish('config', 'production', 7, 60_000)
    await fleet.clock.advanceMs(1_000)
    expect(new Set(deliveries).size).to.equal(12)
    expect(deliveries.length).to.equal(12)
    await fleet.close()
  })

  it('publishes the description of each daemon to the others', async () => {
    const fleet = await startFleet(4, 3)
    fleet.daemons.get('daemon-1')?.bus.describeSelf(() => ({ configVersion: 4, configDigest: 'abcdef0123456789', isReady: true }))
    fleet.daemons.get('daemon-2')?.bus.describeSelf(() => ({ configVersion: 4, configDigest: 'abcdef0123456789', isReady: true }))
    await fleet.clock.advanceMs(4_000)
    const seen = fleet.daemons.get('daemon-2')?.bus.members().find(member => member.instanceId === 'daemon-1')
    expect(seen).to.include({ configVersion: 4, configDigest: 'abcdef0123456789', isReady: true })
    await fleet.close()
  })
})
