import { silentLog } from '@lovagehoist/common'
import type { DirectoryEntry } from '@lovagehoist/common'
import { FakePeerNetwork, FakePlatform, ManualClock } from '@lovagehoist/common/testing'
import { expect } from 'chai'
import { PolledTargetDirectory } from './targetDirectory.js'

const entry = (startedAtMs: number): DirectoryEntry => ({
  id: 't0', role: 'target', service: 'burnbook', host: '127.0.0.1', port: 1, state: 'live', startedAtMs, slots: 6, region: 'local', availabilityZone: 'a'
})

describe('PolledTargetDirectory', () => {
  it('tells peers that a target is leaving, despite a stale platform directory, until the target restarts', async () => {
    const clock = ManualClock.create()
    const platform = FakePlatform.create(clock)
    const network = FakePeerNetwork.create(clock)
    platform.listed = [entry(1)]
    const [first, second] = ['daemon-0', 'daemon-1'].map(instanceId => PolledTargetDirectory.create({
      instances: platform.connect().platform.directory,
      clock,
      log: silentLog,
      bus: network.join({ instanceId, startId: 's', region: 'local', availabilityZone: 'a' }),
      pollMs: 1_000
    })) as [PolledTargetDirectory, PolledTargetDirectory]
    const refresh = async (): Promise<void> => { for (const directory of [first, second]) await directory.refresh() }
    await refresh()
    first.markLeaving('t0', 'target-answer')
    await refresh()
    expect([first.find('t0')?.isLeaving, second.find('t0')?.isLeaving]).to.deep.equal([true, true])
    platform.listed = [entry(2)]
    await refresh()
    expect([first.find('t0')?.isLeaving, second.find('t0')?.isLeaving]).to.deep.equal([false, false])
  })
})
