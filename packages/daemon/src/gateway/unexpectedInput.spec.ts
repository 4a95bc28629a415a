import { expect } from 'chai'
import fc from 'fast-check'
import { err, ok } from 'neverthrow'
import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { GatewaySettings, GatewayStore, InstanceRecord, TargetListing } from '@lovagehoist/common'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { composeGateway } from './gatewayComponents.js'
import { LiveSettings } from './liveSettings.js'
import { decodePeerListing } from './peerListing.js'

const SEED = 43
const RUNS = 1_500

const settings: GatewaySettings = {
  instanceId: 'gate-0',
  availabilityZone: 'a',
  availabilityZones: ['a'],
  isFirstStart: true,
  callers: { host: '127.0.0.1', port: 1 },
  readiness: { host: '127.0.0.1', port: 2 },
  peers: { host: '127.0.0.1', port: 3 },
  bootstrapHosts: [],
  store: { host: '127.0.0.1', port: 4 },
  maxDescriptors: 4_096,
  cores: 1,
  linkMbps: 1_000,
  memoryMb: 350,
  bounds: { graceMs: 6_000, targetDrainMs: 2_000, configApplyMs: 2_000, retryShare: 0.2, retrySlack: 50, retryWindowMs: 10_000, floorShare: 0.7, keyRevocationMs: 5_000, isKeyRevocationStrict: false, quota: { windowMs: 5_000, overageShare: 0.1, slackRequests: 20 } }
}
const from: InstanceRecord = { instanceId: 'gate-1', startId: 'start-1', host: '127.0.0.2', availabilityZone: 'a', relayFitness: 1 }
const listing: TargetListing = { storeVersion: 7, targets: [{ ...fakeTarget('t-1'), coldForMs: 0 }], skipped: [] }

describe('unexpected input from other daemons', () => {
  it('never throws out of the handler of datagrams, whatever valid JSON they carry', async () => {
    const clock = ManualClock.create()
    const unavailable = async () => err({ kind: 'unavailable' as const, message: 'no store' })
    const store: GatewayStore = { readTargets: async () => ok(listing), readConfig: unavailable, watchConfig: unavailable, readInstances: unavailable, putInstances: unavailable, decodeConfig: () => ({ storeVersion: 0, config: undefined, text: undefined, error: 'none' }), close: async () => {} }
    let receive: (bytes: Uint8Array, host: string) => void = () => {}
    const components = composeGateway({
      settings,
      liveSettings: LiveSettings.create(settings, async () => err('unchanged'), silentLog),
      uptimeMs: () => clock.monotonicMs(),
      clock,
      random: { ...SeededRandom.create(SEED), id: () => '0123456789abcdef' },
      log: silentLog,
      store,
      headers: PLATFORM_HEADERS,
      datagrams: { send: () => {}, onDatagram: listener => { receive = listener }, close: () => {} }
    })
    const field = fc.oneof(fc.jsonValue(), fc.constantFrom('t-1', -1, 1e300, '', '__proto__'))
    const row = fc.array(field, { maxLength: 9 })
    const rows = fc.array(fc.oneof(row, fc.tuple(fc.constantFrom('t-1', 'x'), fc.integer(), fc.double({ noNaN: true, noDefaultInfinity: true }), fc.integer())), { maxLength: 4 })
    const group = fc.dictionary(fc.constantFrom('crashes', 'leaving', 'rows', 'demand', 'settled', 'permits', 'other'), rows)
    const params = fc.record({
      from: fc.oneof(fc.constant([from.instanceId, from.startId, from.host, from.availabilityZone, from.relayFitness]), field),
      full: field,
      leaving: field,
      uptime: field,
      part: field,
      rows: fc.oneof(rows, field),
      facts: fc.oneof(fc.constant([1, 'd', 2, 3]), row),
      members: fc.oneof(rows, field),
      news: fc.oneof(group, field),
      limits: fc.oneof(group, field)
    }, { requiredKeys: ['from'] })
    fc.assert(fc.property(fc.constantFrom('report', 'zone', 'view', 'constructor'), params, (method, value) => { receive(Buffer.from(JSON.stringify({ method, params: value })), from.host) }), { seed: SEED, numRuns: RUNS })
    await components.close()
  })

  it('refuses a listing of another build that lacks what this one needs, instead of mixing it with the listing in use', () => {
    expect(decodePeerListing(JSON.stringify({ listing, ageMs: 5 }))._unsafeUnwrap()).to.deep.equal({ listing, ageMs: 5 })
    const isRefused = (value: unknown): boolean => decodePeerListing(JSON.stringify(value)).isErr()
    const [target] = listing.targets
    for (const name of Object.keys(target ?? {})) expect(isRefused({ listing: { ...listing, targets: [{ ...target, [name]: null }] }, ageMs: 5 }), name).to.equal(true)
    expect([{ listing: { ...listing, targets: [null] }, ageMs: 5 }, { listing: { storeVersion: 8 }, ageMs: 5 }, { listing }, null, 3].map(isRefused)).to.deep.equal([true, true, true, true, true])
    expect(decodePeerListing('{').isErr()).to.equal(true)
  })

  it('does not refuse the whole listing of a peer for one odd entry', () => {
    const [target] = listing.targets
    const odd = [{ ...target, id: 't-2', slots: null }, { ...target, id: 't-3', port: 70_000 }, { ...target, id: 't-4', coldForMs: -1 }, null]
    const decoded = decodePeerListing(JSON.stringify({ listing: { ...listing, targets: [...odd, target] }, ageMs: 5 }))._unsafeUnwrap().listing
    expect(decoded.targets).to.deep.equal([target])
    expect(decoded.skipped.map(({ key }) => key)).to.deep.equal(['t-2', 't-3', 't-4', '(unknown)'])
  })

  it('ignores fields that only newer builds know', () => {
    const newer = { listing: { ...listing, targets: [{ ...listing.targets[0], weight: 3 }], region: 'x' }, ageMs: 5, build: 'b' }
    expect(decodePeerListing(JSON.stringify(newer))._unsafeUnwrap().listing.targets[0]?.id).to.equal('t-1')
  })
})
