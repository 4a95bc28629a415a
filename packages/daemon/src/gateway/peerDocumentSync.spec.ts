import { expect } from 'chai'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { ConfigSnapshot, GatewaySettings, InstanceRecord } from '@lovagehoist/common'
import type { GatewayConfigFollower } from '@lovagehoist/operators'
import type { FetchPeerDocument, HeldVersions } from '@lovagehoist/peers'
import { TargetRegistry } from '@lovagehoist/targets'
import { PeerDocumentSync } from './peerDocumentSync.js'

const other: InstanceRecord = { instanceId: 'gate-9', startId: 's', host: '127.0.0.9', availabilityZone: 'b', relayFitness: 1 }
const sibling: InstanceRecord = { instanceId: 'gate-7', startId: 's', host: '127.0.0.7', availabilityZone: 'a', relayFitness: 1 }

describe('PeerDocumentSync', () => {
  let clock: ManualClock
  let listingReadAtMs: number
  let confirmedAtMs: number
  let ownConfirmedAtMs: number
  let registry: TargetRegistry
  let sync: PeerDocumentSync
  let fetchDocument: FetchPeerDocument

  beforeEach(() => {
    clock = ManualClock.create()
    clock.jumpMs(10_000)
    listingReadAtMs = clock.monotonicMs()
    confirmedAtMs = -Infinity
    ownConfirmedAtMs = clock.monotonicMs()
    fetchDocument = async () => err('none')
    registry = TargetRegistry.create({ clock, log: silentLog, onForget: () => {} })
    registry.apply({ storeVersion: 1, targets: [{ ...fakeTarget('t-1'), coldForMs: 0 }], skipped: [] }, clock.monotonicMs())
    let configVersion = 2
    const config = {
      get version () { return configVersion },
      applySnapshot: ({ storeVersion }: ConfigSnapshot) => { configVersion = storeVersion },
      isWatching: true,
      get ownConfirmedAtMs () { return ownConfirmedAtMs },
      get confirmedAtMs () { return Math.max(ownConfirmedAtMs, confirmedAtMs) },
      confirm: (atMs: number) => { confirmedAtMs = Math.max(confirmedAtMs, atMs) }
    } as unknown as GatewayConfigFollower
    const settings = { availabilityZone: 'a', peers: { host: '127.0.0.1', port: 1 } } as unknown as GatewaySettings
    sync = PeerDocumentSync.create({ settings, clock, random: SeededRandom.create(1), log: silentLog, fetchDocument: async (...request) => await fetchDocument(...request), metrics: { observeFetch: () => {} }, store: { decodeConfig: text => ({ storeVersion: Number(text), config: undefined, text, error: undefined }) }, config, targetRegistry: registry, listingReadAtMs: () => listingReadAtMs, relayRank: () => 0 })
  })

  const versions = (change: Partial<HeldVersions> = {}): HeldVersions => ({ configVersion: 2, listingDigest: registry.digest, listingVersion: 1, listingAgeMs: 100, configAgeMs: 100, ...change })

  it('does not vouch for the configuration with what others confirm of the listing', () => {
    expect(sync.heldVersions('known').configAgeMs).to.equal(0)
    clock.jumpMs(4_000)
    registry.confirm(clock.monotonicMs() - 100)
    expect(sync.heldVersions('known').configAgeMs).to.equal(4_000)
    expect(sync.heldVersions('own').configAgeMs).to.equal(4_000)
  })

  it('does not take the age of an older configuration for that of the newer one held here', () => {
    clock.jumpMs(4_000)
    sync.handlePeerVersions(versions({ configVersion: 1 }), other, 'zone')
    expect(sync.heldVersions('known').configAgeMs).to.equal(4_000)
  })

  it('takes over what other zones confirm while its own reads fail', () => {
    clock.jumpMs(4_000)
    sync.handlePeerVersions(versions(), other, 'zone')
    expect(sync.heldVersions('known')).to.include({ configAgeMs: 100, listingAgeMs: 100 })
    expect(sync.heldVersions('own').configAgeMs).to.equal(4_000)
  })

  it('learns no age from the reports of daemons that learned it from here', () => {
    clock.jumpMs(4_000)
    sync.handlePeerVersions(versions(), { ...other, availabilityZone: 'a' }, 'report')
    sync.handlePeerVersions(versions(), { ...other, availabilityZone: 'a' }, 'view')
    expect(sync.heldVersions('known')).to.include({ configAgeMs: 4_000, listingAgeMs: 4_000 })
  })

  it('learns from what a daemon of its zone has read by itself, and tells it to other zones', () => {
    clock.jumpMs(4_000)
    const reads = { listingAgeMs: 50, configAgeMs: 60 }
    expect(sync.handleReportedReads(reads, versions(), sibling)).to.equal(true)
    expect(sync.heldVersions('known')).to.include(reads)
    expect(sync.heldVersions('zone')).to.include(reads)
    expect(sync.heldVersions('own')).to.include({ configAgeMs: 4_000, listingAgeMs: 4_000 })
    expect(sync.handleReportedReads(reads, versions(), sibling)).to.equal(false)
  })

  it('learns nothing from reads of another zone or of other versions than its own', () => {
    clock.jumpMs(4_000)
    const reads = { listingAgeMs: 50, configAgeMs: 60 }
    sync.handleReportedReads(reads, versions(), other)
    sync.handleReportedReads(reads, versions({ listingDigest: 'another', configVersion: 1 }), sibling)
    expect(sync.heldVersions('known')).to.include({ configAgeMs: 4_000, listingAgeMs: 4_000 })
    expect(sync.heldVersions('zone')).to.include({ configAgeMs: 4_000, listingAgeMs: 4_000 })
  })

  describe('while a configuration arrives slowly', () => {
    let fetches: Array<{ readonly host: string, readonly finish: (result: Result<string, string>) => void }>

    beforeEach(() => {
      fetches = []
      fetchDocument = async (_clock, { host }) => await new Promise(resolve => { fetches.push({ host, finish: resolve }) })
    })

    const hear = (configVersion: number, from = sibling): void => { sync.handlePeerVersions(versions({ configVersion }), from, 'view') }

    it('does not fetch it again, which would slow down the fetch that is under way', async () => {
      for (let version = 3; version < 13; version++) {
        hear(version)
        await clock.advanceMs(330)
      }
      expect(fetches).to.have.length(1)
    })

    it('asks for a read of the store when the version does not arrive in time, and only for one', async () => {
      await clock.advanceMs(1)
      hear(3)
      await clock.advanceMs(600)
      expect(sync.isOverdue('configuration')).to.equal(false)
      await clock.advanceMs(600)
      expect(sync.isOverdue('configuration')).to.equal(true)
      ownConfirmedAtMs = clock.monotonicMs()
      expect(sync.isOverdue('configuration')).to.equal(false)
    })

    it('fetches a version that was announced meanwhile without waiting to hear of it again', async () => {
      hear(3)
      await clock.advanceMs(1_000)
      hear(7, { ...sibling, host: '127.0.0.8' })
      expect(fetches).to.have.length(1)
      fetches[0]?.finish(ok('3'))
      await clock.advanceMs(10)
      expect(fetches.map(({ host }) => host)).to.deep.equal([sibling.host, '127.0.0.8'])
    })

    it('asks another daemon that holds the version once a fetch has failed', async () => {
      hear(3)
      hear(3, { ...sibling, instanceId: 'gate-8', host: '127.0.0.8' })
      fetches[0]?.finish(err('nothing arrived'))
      await clock.advanceMs(400)
      expect(fetches.map(({ host }) => host)).to.deep.equal([sibling.host, '127.0.0.8'])
    })
  })
})
