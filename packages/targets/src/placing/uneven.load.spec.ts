import { expect } from 'chai'
import { UnevenFleet } from '../testing/unevenFleet.js'
import type { UnevenLoad } from '../testing/unevenFleet.js'
import { summarizeFleet } from '../testing/unevenFigures.js'
import { SLOW_FROM_MS, SLOW_TO_MS, UNEVENNESS, UNEVEN_SERVICES } from '../testing/unevenLoads.js'

const SIZES = [36, 165] as const
const MAX_DELAY_MS = 2_000
/** Ratio to the mean work from which a response is slow. */
const SLOW_RATIO = 3
const ISOLATED = '0-1'
const SEEDS = [1, 2, 3]

/** Longest work relative to the mean, without the tail. */
const MAX_WORK_RATIO = 1.5

/** Time from the moment at which the first slow response of a target took longer than usual to the target being marked. */
const markDelayMs = (fleet: UnevenFleet, load: UnevenLoad, targetId: string): number => {
  const slowMs = SLOW_RATIO * load.meanWorkMs
  const firstSlowMs = (fleet.requests.find(request => request.targetId === targetId && request.atMs >= SLOW_FROM_MS && request.latencyMs >= slowMs)?.atMs ?? Infinity) + slowMs
  return (fleet.slowMarks.find(({ atMs, targetIds }) => atMs >= SLOW_FROM_MS && targetIds.includes(targetId))?.atMs ?? Infinity) - firstSlowMs
}

const medianOf = (values: readonly number[]): number => [...values].sort((a, b) => a - b)[values.length >> 1] ?? Infinity

describe('uneven targets and work (fleet in virtual time)', function () {
  this.timeout(120_000)

  for (const size of SIZES) {
    it(`does not take targets for slow because of a tail of long responses (${size} daemons)`, () => {
      const { slowMarks, targets } = UnevenFleet.run({ ...UNEVEN_SERVICES[size], seconds: 24 })
      const marked = slowMarks.reduce((sum, { targetIds }) => sum + targetIds.length, 0)
      expect(marked / slowMarks.length / targets.arrivals.size).to.be.below(0.005)
    })

    for (const slowdown of [5, 12]) {
      it(`marks a target that becomes ${slowdown} times slower within 2 s, and learns of its recovery within 2 s once its slots are free (${size} daemons)`, () => {
        const runs = SEEDS.map(seed => {
          const load: UnevenLoad = { ...UNEVEN_SERVICES[size], seed, seconds: 30, slowdownOf: (id, atMs) => id === ISOLATED && atMs >= SLOW_FROM_MS && atMs < SLOW_TO_MS ? slowdown : 1 }
          const fleet = UnevenFleet.run(load)
          const cleared = fleet.slowMarks.find(({ atMs, targetIds }) => atMs >= SLOW_TO_MS && !targetIds.includes(ISOLATED))
          return { markMs: markDelayMs(fleet, load, ISOLATED), clearMs: (cleared?.atMs ?? Infinity) - SLOW_TO_MS }
        })
        expect(medianOf(runs.map(({ markMs }) => markMs))).to.be.below(MAX_DELAY_MS)
        // Requests that began while the target was slow occupy its slots for some time after that; with the smaller slowdown they hardly do.
        const occupiedMs = slowdown > 5 ? MAX_WORK_RATIO * slowdown * UNEVEN_SERVICES[size].meanWorkMs : 0
        expect(medianOf(runs.map(({ clearMs }) => clearMs))).to.be.below(MAX_DELAY_MS + occupiedMs)
      })
    }

    it(`gives targets that join and are slow for 3 s little work until then, and their share within 4 s (${size} daemons)`, () => {
      const joins = (id: string): boolean => id.endsWith('-0')
      const base = UNEVEN_SERVICES[size]
      const fleet = UnevenFleet.run({ ...base, seconds: 24, requestsPerSecond: 1.6 * base.requestsPerSecond, joinsAtMs: id => joins(id) ? SLOW_FROM_MS : 0, slowdownOf: (id, atMs) => joins(id) && atMs < SLOW_FROM_MS + 3_000 ? 2 : 1 })
      const received = (isJoining: boolean, fromMs: number, toMs: number): number => {
        const targets = [...fleet.targets.arrivals].filter(([id]) => joins(id) === isJoining)
        return targets.reduce((sum, [, times]) => sum + times.filter(atMs => atMs >= SLOW_FROM_MS + fromMs && atMs < SLOW_FROM_MS + toMs).length, 0) / targets.length
      }
      expect(received(true, 0, 2_000) / received(false, 0, 2_000)).to.be.within(0.05, 0.6)
      expect(received(true, 3_500, 8_000) / received(false, 3_500, 8_000)).to.be.within(0.7, 1.6)
    })

    it(`opens few connections while zones swing out of phase near their capacity, and serves callers in time (${size} daemons)`, () => {
      const fleet = UnevenFleet.run({ ...UNEVENNESS.swingAtPeak(UNEVEN_SERVICES[size]), seconds: 26 })
      const { connectionsPerRequest, onTimeShare, crossZoneShare } = summarizeFleet(fleet, 10_000, 24_000)
      expect(connectionsPerRequest).to.be.below(0.18)
      expect(onTimeShare).to.be.above(0.95)
      expect(crossZoneShare).to.be.below(0.25)
    })

    it(`marks two fifths of the targets that become slower, most of them within 2 s, and sends them little (${size} daemons)`, () => {
      const load = { ...UNEVENNESS.slow(UNEVEN_SERVICES[size]), seconds: 24 }
      const fleet = UnevenFleet.run(load)
      const slow = [...fleet.targets.arrivals.keys()].filter(id => load.slowdownOf(id, SLOW_FROM_MS) > 1)
      const inTime = slow.filter(id => markDelayMs(fleet, load, id) < MAX_DELAY_MS)
      expect(inTime.length / slow.length).to.be.above(0.85)
      const late = fleet.requests.filter(({ atMs }) => atMs >= SLOW_FROM_MS + 3_000 && atMs < SLOW_TO_MS - 1_000)
      expect(late.filter(({ targetId }) => slow.includes(targetId)).length / late.length).to.be.below(0.15)
      expect(summarizeFleet(fleet, SLOW_FROM_MS + 3_000, SLOW_TO_MS - 1_000).onTimeShare).to.be.above(0.88)
    })
  }
})
