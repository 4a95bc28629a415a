import { expect } from 'chai'
import { SimulatedFleet } from '../testing/simulatedFleet.js'
import type { DaemonPosition, SimulatedZone, SimulationOptions } from '../testing/simulatedFleet.js'

const SEEDS = [1, 2, 3]
const SECONDS = 24
const NAMED_FROM_MS = 4_000
/** Time after the first naming from which the platform's rules bound the requests. */
const STABILITY_WINDOW_MS = 3_000
const COUNTED_FROM_MS = NAMED_FROM_MS + STABILITY_WINDOW_MS

const ORDERS: readonly SimulatedZone[] = [
  { daemons: 16, targets: 7, requestsPerSecond: 28 },
  { daemons: 12, targets: 6, requestsPerSecond: 20 },
  { daemons: 16, targets: 6, requestsPerSecond: 27 }
]
const ORDERS_AT_8 = ORDERS.map((zone, index) => ({ ...zone, daemons: [3, 2, 3][index] ?? 0 }))
const ORDERS_AT_36 = ORDERS.map(zone => ({ ...zone, daemons: 12 }))
const ORDERS_AT_80 = ORDERS.map((zone, index) => ({ ...zone, daemons: [27, 26, 27][index] ?? 0 }))
/** As busy for each daemon as the users' sites. */
const ORDERS_AT_80_BUSY = ORDERS_AT_80.map(zone => ({ ...zone, requestsPerSecond: 2 * zone.requestsPerSecond }))
const TARGET_IDS = ORDERS.flatMap(({ targets }, zone) => Array.from({ length: targets }, (_, index) => `${zone}-${index}`))
const SOME_IDS = ['0-0', '1-1', '2-2']

const limitsOf = (ids: readonly string[], perSecond: number) => (targetId: string, atMs: number): number | undefined =>
  atMs >= NAMED_FROM_MS && ids.includes(targetId) ? perSecond : undefined

const run = (seed: number, change: Partial<SimulationOptions>): SimulatedFleet =>
  SimulatedFleet.run({ seed, seconds: SECONDS, zones: ORDERS, isIdempotent: false, errorShare: 0.012, ...change })

const worstWindowShare = (ids: readonly string[], perSecond: number, change: Partial<SimulationOptions> = {}): number =>
  Math.max(...SEEDS.map(seed => run(seed, { limitOf: limitsOf(ids, perSecond), ...change }).worstWindowShare(perSecond, COUNTED_FROM_MS, SECONDS * 1_000, ids)))

describe('limits of targets (fleet in virtual time)', () => {
  for (const [daemons, zones] of [[8, ORDERS_AT_8], [36, ORDERS_AT_36], [80, ORDERS_AT_80]] as const) {
    it(`keeps the sum of ${daemons} daemons within the limits that some targets name`, () => {
      for (const perSecond of [1.3, 2.8]) expect(worstWindowShare(SOME_IDS, perSecond, { zones }), `${perSecond} a second`).to.be.at.most(1)
    })

    it(`keeps the sum of ${daemons} daemons within the limits that all targets name`, () => {
      expect(worstWindowShare(TARGET_IDS, 1.3, { zones })).to.be.at.most(1)
    })
  }

  it('keeps the limits when the first daemons of each zone are lost', () => {
    const isRunning = ({ index }: DaemonPosition, atMs: number): boolean => atMs < 10_000 || index >= 2
    expect(worstWindowShare(TARGET_IDS, 1.3, { isRunning })).to.be.at.most(1)
  })

  it('keeps the limits when half of the daemons restart', () => {
    expect(worstWindowShare(TARGET_IDS, 1.3, { restartAtMs: 10_000, isRestarting: ({ index }) => index % 2 === 0 })).to.be.at.most(1)
  })

  it('keeps the limits when callers move to another zone', () => {
    const servingZone = (callerZone: number, atMs: number): number => atMs < 10_000 ? callerZone : 0
    expect(worstWindowShare(TARGET_IDS, 1.3, { servingZone })).to.be.at.most(1)
  })

  it('serves at least nine tenths of what demand and limits of all targets allow', () => {
    for (const zones of [ORDERS_AT_8, ORDERS_AT_36, ORDERS_AT_80_BUSY]) {
      for (const perSecond of [1.3, 2.8]) {
        const served = SEEDS.map(seed => run(seed, { zones, limitOf: limitsOf(TARGET_IDS, perSecond) }).servedAtMs.filter(atMs => atMs >= COUNTED_FROM_MS).length)
        const allowed = TARGET_IDS.length * perSecond * (SECONDS - COUNTED_FROM_MS / 1_000)
        expect(Math.min(...served) / allowed, `${zones[0]?.daemons ?? 0} daemons in a zone, ${perSecond} a second`).to.be.at.least(0.9)
      }
    }
  })

  it('keeps sending single requests to targets whose limit is zero', () => {
    const fleet = run(1, { limitOf: limitsOf(SOME_IDS, 0) })
    for (const id of SOME_IDS) expect(fleet.arrivals.get(id)?.some(atMs => atMs >= COUNTED_FROM_MS)).to.equal(true)
    expect(fleet.worstWindowShare(0, COUNTED_FROM_MS, SECONDS * 1_000, SOME_IDS)).to.be.at.most(1)
  })

  it('uses targets fully again within seconds after they stopped naming a limit', () => {
    const liftedAtMs = 12_000
    const limitOf = (targetId: string, atMs: number): number | undefined => atMs < liftedAtMs ? limitsOf(TARGET_IDS, 1.3)(targetId, atMs) : undefined
    const served = run(1, { limitOf }).servedAtMs.filter(atMs => atMs >= liftedAtMs + 3_000 && atMs < liftedAtMs + 8_000).length
    expect(served / 5 / ORDERS.reduce((sum, { requestsPerSecond }) => sum + requestsPerSecond, 0)).to.be.at.least(0.9)
  })
})
