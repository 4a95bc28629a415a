import { expect } from 'chai'
import type { Member } from '@lovagehoist/common'
import { FleetMajority } from './fleetMajority.js'

const member = (instanceId: string, status: Member['status'] = 'reachable'): Member => ({
  instanceId, startId: 's', region: 'local', availabilityZone: 'a', host: '127.0.0.1', port: 1, status, configVersion: 1, configDigest: '', isReady: true, ageMs: 0
})

const majorityWith = (...ids: readonly string[]): FleetMajority => {
  const majority = FleetMajority.create('daemon-0')
  for (const [index, id] of ids.entries()) majority.merge(FleetMajority.create(id).encode(0), 1_000 - 100 * index)
  return majority
}

describe('FleetMajority', () => {
  it('needs more than half of the known instances, this one included, whatever their status', () => {
    const [one, two, three] = [member('daemon-1'), member('daemon-2', 'gone'), member('daemon-3', 'gone')]
    expect(majorityWith('daemon-1').latestConfirmation([one, two], 1, 1_000)?.atMs).to.equal(1_000)
    expect(majorityWith('daemon-1').latestConfirmation([one, two, three], 1, 1_000)).to.equal(undefined)
    expect(majorityWith('daemon-9').latestConfirmation([one], 1, 1_000)).to.equal(undefined)
    expect(majorityWith().latestConfirmation([], 1, 1_000)?.atMs).to.equal(1_000)
    expect(majorityWith('daemon-1').latestConfirmation([one, member('daemon-4', 'leaving')], 1, 1_000)?.atMs).to.equal(1_000)
  })

  it('returns the age of the oldest record that the majority needs, also for records relayed by a peer', () => {
    const members = ['daemon-1', 'daemon-2', 'daemon-3'].map(id => member(id))
    const first = majorityWith('daemon-1', 'daemon-2', 'daemon-3')
    expect(first.latestConfirmation(members, 1, 1_000)?.atMs).to.equal(900)
    const second = FleetMajority.create('daemon-4')
    second.merge(first.encode(1_010), 2_000)
    expect(second.latestConfirmation([...members, member('daemon-0')], 1, 2_100)?.atMs).to.equal(1_975)
  })
})
