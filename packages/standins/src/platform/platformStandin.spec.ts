import { expect } from 'chai'
import { SeededRandom, SystemClock } from '@lovagehoist/common'
import type { DirectoryEntry } from '@lovagehoist/common'
import { createPlatform } from '@lovagehoist/store'
import type { PlatformClients } from '@lovagehoist/store'
import { request } from 'undici'
import { PlatformStandin } from './platformStandin.js'

const createEntry = (index: number): DirectoryEntry => ({
  id: `burnbook-${index}`, role: 'target', service: 'burnbook', host: '10.0.0.1', port: 8_000 + index, state: 'live', startedAtMs: 1_800_000_000_000 + index, slots: 6, region: 'local', availabilityZone: 'a'
})

describe('PlatformStandin', () => {
  const clock = SystemClock.create()
  let standin: PlatformStandin
  let clients: PlatformClients

  beforeEach(async () => {
    standin = await PlatformStandin.create(clock, SeededRandom.create(1))
    clients = createPlatform({ tableUrl: `${standin.url}/table`, objectsUrl: `${standin.url}/objects`, directoryUrl: `${standin.url}/directory` }, clock)
  })

  afterEach(async () => {
    await clients.close()
    await standin.close()
  })

  it('compresses the directory, and clients read all its entries', async () => {
    const entries = Array.from({ length: 500 }, (_, index) => createEntry(index))
    for (const entry of entries) standin.register(entry)
    let read: readonly DirectoryEntry[] = []
    while (read.length < entries.length) {
      read = (await clients.directory.list())._unsafeUnwrap()
      await clock.sleepMs(50)
    }
    expect(read).to.deep.equal(entries)
    const compressed = await request(`${standin.url}/directory`, { headers: { 'accept-encoding': 'gzip' } })
    expect(compressed.headers['content-encoding']).to.equal('gzip')
    expect((await compressed.body.arrayBuffer()).byteLength).to.be.below(JSON.stringify({ entries }).length / 5)
  })
})
