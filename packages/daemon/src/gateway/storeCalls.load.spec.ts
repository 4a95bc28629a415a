import { expect } from 'chai'
import { StoreCallsSimulation } from '../testing/storeCallsSimulation.js'
import type { SimulatedMachine, StoreCallsOptions, StoreCallsResult } from '../testing/storeCallsSimulation.js'

const CHANGES: StoreCallsOptions = { seed: 1, daemons: [6, 6, 6], targets: 33, seconds: 30, lossShare: 0.005, configAtMs: [7_130, 16_130, 25_130], drainAtMs: [5_130, 12_130, 15_130, 18_130, 26_130], newTargetAtMs: [6_130, 14_130, 27_130] }
const MAX_DRAIN_MS = 2_000
const MAX_CONFIG_MS = 2_000
/** Time from the choice of a target to the arrival of the request there. */
const SEND_MS = 100
const MAX_NEW_TARGET_MS = 4_000
const MAX_START_MS = 1_000
/** Time between two reads of the listing: the lost relay read up to then. */
const MAX_TAKEOVER_MS = 1_050
/** Calls of 18 daemons within 30 s, checks of the configuration watch aside, a little above those measured. */
const MAX_CALLS = { quiet: 75, restart: 95 } as const

const countOf = ({ calls }: StoreCallsResult, kind: string): number => [...calls].reduce((sum, [cause, count]) => cause.includes(kind) ? sum + count : sum, 0)

const expectFewCalls = (result: StoreCallsResult, maxCalls: number): void => {
  const checks = countOf(result, 'configuration check')
  expect(result.total - checks).to.be.at.most(maxCalls)
  expect(checks).to.be.at.most(countOf(result, 'listing'))
}

/** Guards against daemons that learn too late of what the store accepted, because others read it for them. */
describe('calls of a fleet to the store (fleet in virtual time)', function () {
  this.timeout(60_000)
  const LOADS: Readonly<Record<string, Partial<StoreCallsOptions>>> = {
    'nothing happens': {},
    'the store turns some machines away': { storeFaults: (['refused', 'reset', 'silent'] as const).map((fault, turn) => ({ fault, fromMs: 10_000, toMs: 19_000, includes: ({ index }) => index % 6 === turn })) },
    'the store is down for everyone': { storeFaults: [{ fault: 'reset', fromMs: 19_000, toMs: 24_000, includes: () => true }] },
    'the store is silent toward a whole zone, that of the reader': { storeFaults: [{ fault: 'silent', fromMs: 11_700, toMs: 20_700, includes: ({ zone }) => zone === 'zone-0' }] },
    'all daemons are restarted at once': { outages: [{ fromMs: 10_000, toMs: 10_800, includes: () => true }] },
    'a first relay is lost': { outages: [{ fromMs: 11_500, toMs: 40_000, includes: ({ index, zone }) => index === 0 && zone === 'zone-0' }] },
    'all relays are lost': { outages: [{ fromMs: 11_500, toMs: 40_000, includes: ({ index }) => index < 2 }] },
    'a zone is parted from the others': { partitions: [{ fromMs: 11_000, toMs: 22_000, includes: ({ zone }) => zone === 'zone-0' }] }
  }
  for (const [name, load] of Object.entries(LOADS)) {
    it(`leaves no daemon behind when ${name}`, async () => {
      const { longestDrainMs, longestConfigMs, longestNewTargetMs, longestStartMs } = await StoreCallsSimulation.run({ ...CHANGES, ...load })
      expect(longestDrainMs).to.be.at.most(MAX_DRAIN_MS)
      expect(longestConfigMs).to.be.at.most(MAX_CONFIG_MS)
      expect(longestNewTargetMs).to.be.at.most(MAX_NEW_TARGET_MS)
      expect(longestStartMs).to.be.at.most(MAX_START_MS)
    })
  }

  for (const { size, daemons, boundMs } of [{ size: 'a zone of three', daemons: [3], boundMs: 2_000 }, { size: 'small zones', daemons: [6, 6, 6], boundMs: 2_000 }, { size: 'large zones', daemons: [31, 30, 30], boundMs: 2_500 }]) {
    for (const seed of [1, 2, 3]) {
      it(`keep what daemons know younger than the bound while all relays are cut off from the store, but not from the others: ${size}, seed ${seed}`, async () => {
        const storeFaults = [10_000, 19_000].map(fromMs => ({ fault: 'silent' as const, fromMs, toMs: fromMs + 5_500, includes: ({ index }: SimulatedMachine) => index < 2 }))
        const result = await StoreCallsSimulation.run({ seed, daemons, boundMs, targets: 33, seconds: 28, lossShare: 0.005, storeFaults })
        expect(result.longestListingAgeMs).to.be.below(boundMs - SEND_MS)
      })
    }
  }

  it('are made by few daemons of a zone whose relays the store turns away, since these tell the others', async () => {
    const storeFaults = [{ fault: 'refused' as const, fromMs: 10_000, toMs: 19_000, includes: ({ index }: SimulatedMachine) => index < 2 }]
    const result = await StoreCallsSimulation.run({ seed: 1, daemons: [60], boundMs: 2_500, targets: 33, seconds: 20, lossShare: 0.005, storeFaults })
    const listings = countOf(result, 'steady: listing, others')
    expect(listings).to.be.within(1, 15)
  })

  it('come soon enough from a parted zone whose relays the store refuses, although these still answer the daemons of their zone', async () => {
    const isParted = ({ zone }: SimulatedMachine): boolean => zone === 'zone-1'
    for (const seed of [1, 2]) {
      const { longestConfigMs } = await StoreCallsSimulation.run({
        seed,
        daemons: [23, 23, 23, 22],
        targets: 33,
        seconds: 20,
        lossShare: 0.005,
        configAtMs: [11_130, 14_130, 17_130],
        partitions: [{ fromMs: 9_000, toMs: 20_000, includes: isParted }],
        storeFaults: [{ fault: 'refused', fromMs: 9_000, toMs: 20_000, includes: machine => isParted(machine) && machine.index < 2 }]
      })
      expect(longestConfigMs, `seed ${seed}`).to.be.at.most(MAX_CONFIG_MS)
    }
  })

  it('come from daemons that know of a newer configuration which they cannot fetch from others', async () => {
    const { longestConfigMs } = await StoreCallsSimulation.run({ ...CHANGES, daemons: [23], documentFaults: [{ fromMs: 5_000, toMs: 30_000, includes: ({ index }) => index >= 2 }] })
    expect(longestConfigMs).to.be.at.most(MAX_CONFIG_MS)
  })

  it('do not leave daemons behind when a large configuration changes several times a second, although slow links have to carry it to each of them', async () => {
    const configAtMs = Array.from({ length: 13 }, (_, index) => 9_000 + index * 330)
    const { longestConfigMs } = await StoreCallsSimulation.run({ seed: 1, daemons: [78], targets: 33, seconds: 20, lossShare: 0.005, configAtMs, configBytes: 272_000 })
    expect(longestConfigMs).to.be.at.most(MAX_CONFIG_MS)
  })

  it('do not vouch for an old configuration when the answers to both watches were lost between two reads of the listing', async () => {
    for (let fromMs = 9_000; fromMs < 9_800; fromMs += 100) {
      const storeFaults = [{ fault: 'silent' as const, fromMs, toMs: fromMs + 400, includes: ({ index, zone }: SimulatedMachine) => index === 0 && ['zone-0', 'zone-1'].includes(zone) }]
      const { longestConfigMs } = await StoreCallsSimulation.run({ seed: 1, daemons: [6, 6, 6, 6], targets: 33, seconds: 13, lossShare: 0.005, configAtMs: [fromMs + 200], storeFaults })
      expect(longestConfigMs, `silent from ${fromMs} ms`).to.be.at.most(MAX_CONFIG_MS)
    }
  })

  it('let all daemons find each other where the settings name no hosts', async () => {
    for (const seed of [1, 2, 3]) {
      for (const load of [{}, { outages: [{ fromMs: 3_000, toMs: 4_000, includes: () => true }] }]) {
        const { fewestKnown } = await StoreCallsSimulation.run({ seed, daemons: [6, 6, 6], targets: 33, seconds: 10, lossShare: 0.005, bootstrapHosts: [], ...load })
        expect(fewestKnown).to.equal(18)
      }
    }
  })

  it('are few, since one relay reads for the fleet', async () => {
    expectFewCalls(await StoreCallsSimulation.run(CHANGES), MAX_CALLS.quiet)
  })

  it('are few when all daemons are restarted at once, since others tell them', async () => {
    expectFewCalls(await StoreCallsSimulation.run({ ...CHANGES, ...LOADS['all daemons are restarted at once'] }), MAX_CALLS.restart)
  })

  it('go on within a second when the relay that reads for all is lost, even with both relays of its zone', async () => {
    const result = await StoreCallsSimulation.run({ ...CHANGES, outages: [{ fromMs: 11_500, toMs: 40_000, includes: ({ index, zone }) => index < 2 && zone === 'zone-0' }] })
    expect(result.longestReadGapMs).to.be.at.most(MAX_TAKEOVER_MS)
  })
})
