import { expect } from 'chai'
import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { ConfigSource, DirectoryEntry, EnvironmentDocument } from '@lovagehoist/common'
import { FakePeerNetwork, FakePlatform, ManualClock } from '@lovagehoist/common/fakes'
import { PeerTargetFallback } from './peerTargetFallback.js'
import { PolledTargetDirectory } from './targetDirectory.js'

const entryOf = (id: string, service: string): DirectoryEntry => ({
  id, service, role: 'target', host: '127.0.0.1', port: 1, slots: 6, state: 'live', startedAtMs: 0, region: 'local', availabilityZone: 'a'
})

const document = { services: { burnbook: {}, sackpay: {} } } as unknown as EnvironmentDocument
const config: ConfigSource = { current: () => ({ version: 1, digest: '', document }), onChange: () => () => {} }

describe('PeerTargetFallback', () => {
  const clock = ManualClock.create()
  const platform = FakePlatform.create(clock)
  const network = FakePeerNetwork.create(clock)
  platform.listed = [entryOf('b-1', 'burnbook'), entryOf('s-1', 'sackpay'), entryOf('x-1', 'unnamed')]

  const start = async (id: string, isDirectoryDown: boolean, signal: AbortSignal): Promise<PolledTargetDirectory> => {
    const { platform: client, faults } = platform.connect()
    faults.isDirectoryDown = isDirectoryDown
    const directory = PolledTargetDirectory.create({ instances: client.directory, clock, log: silentLog, pollMs: 1_000 })
    const bus = network.join({ instanceId: id, startId: id, region: 'local', availabilityZone: 'a' })
    const peers = PeerTargetFallback.create({ directory, bus, config, clock, random: SeededRandom.create(1), log: silentLog })
    directory.run(signal).catch(() => {})
    peers.run(signal).catch(() => {})
    await clock.advanceMs(100)
    return directory
  }

  it('knows no targets until a peer does, and adopts them then', async () => {
    const stop = new AbortController()
    const late = await start('late', true, stop.signal)
    await clock.advanceMs(3_000)
    expect(late.isKnown()).to.equal(false)
    await start('early', false, stop.signal)
    await clock.advanceMs(3_000)
    expect(late.isKnown()).to.equal(true)
    expect(['burnbook', 'sackpay'].flatMap(service => late.targets(service).map(target => target.id))).to.deep.equal(['b-1', 's-1'])
    stop.abort()
    await clock.advanceMs(2_000)
  })
})
