import { expect } from 'chai'
import { err } from 'neverthrow'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { silentLog } from '@lovagehoist/common'
import type { GatewaySettings, InstanceRecord } from '@lovagehoist/common'
import type { GatewayConfigFollower } from '@lovagehoist/operators'
import type { HeldVersions } from '@lovagehoist/peers'
import { TargetRegistry } from '@lovagehoist/targets'
import { PeerDocumentSync } from './peerDocumentSync.js'

const other: InstanceRecord = { instanceId: 'gate-9', startId: 's', host: '127.0.0.9', availabilityZone: 'b', relayFitness: 1 }

describe('PeerDocumentSync', () => {
  let clock: ManualClock
  let listingReadAtMs: number
  let confirmedAtMs: number
  let registry: TargetRegistry
  let sync: PeerDocumentSync

  beforeEach(() => {
    clock = ManualClock.create()
    clock.jumpMs(10_000)
    listingReadAtMs = clock.monotonicMs()
    confirmedAtMs = -Infinity
    registry = TargetRegistry.create({ clock, log: silentLog, onForget: () => {} })
    registry.apply({ storeVersion: 1, targets: [{ ...fakeTarget('t-1'), coldForMs: 0 }], skipped: [] }, clock.monotonicMs())
    const config = {
      version: 2,
      lastResponseAtMs: -Infinity,
      get ownConfirmedAtMs () { return clock.monotonicMs() },
      get confirmedByOthersAtMs () { return confirmedAtMs },
      get confirmedAtMs () { return clock.monotonicMs() },
      confirm: (atMs: number) => { confirmedAtMs = Math.max(confirmedAtMs, atMs) }
    } as unknown as GatewayConfigFollower
    const settings = { availabilityZone: 'a', peers: { host: '127.0.0.1', port: 1 } } as unknown as GatewaySettings
    sync = PeerDocumentSync.create({ settings, clock, log: silentLog, fetchDocument: async () => err('none'), metrics: { observeFetch: () => {} }, store: { decodeConfig: () => ({ storeVersion: 0, config: undefined, text: undefined, error: 'none' }) }, config, targetRegistry: registry, listingReadAtMs: () => listingReadAtMs, relayRank: () => 0 })
  })

  const versions = (change: Partial<HeldVersions> = {}): HeldVersions => ({ configVersion: 2, listingDigest: registry.digest, listingVersion: 1, listingAgeMs: 100, configAgeMs: 100, ...change })

  it('does not pass an open watch for a confirmation once the own reads of the store fail, although other zones confirm the listing', () => {
    expect(sync.heldVersions('known').configAgeMs).to.equal(0)
    clock.jumpMs(4_000)
    registry.confirm(clock.monotonicMs() - 100)
    expect(sync.heldVersions('known').configAgeMs).to.equal(4_000)
    expect(sync.heldVersions('own').configAgeMs).to.equal(4_000)
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
})
