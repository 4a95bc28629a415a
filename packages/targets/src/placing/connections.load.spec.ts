import { expect } from 'chai'
import { SimulatedFleet } from '../testing/simulatedFleet.js'
import type { SimulatedZone } from '../testing/simulatedFleet.js'

const SECONDS = 17
/** Daemons that have recently started probe more. */
const WARM_UP_MS = 11_000
const WINDOW_MS = 2_000
/** Zones of fleets of 36, 108 and 293 daemons; of the larger ones only one. */
const FLEETS: ReadonlyArray<{ readonly daemons: number, readonly zones: readonly SimulatedZone[] }> = [
  { daemons: 36, zones: [6, 5, 5].map(targets => ({ daemons: 12, targets, requestsPerSecond: 21 })) },
  { daemons: 108, zones: [27].map(targets => ({ daemons: 36, targets, requestsPerSecond: 110 })) },
  { daemons: 293, zones: [57].map(targets => ({ daemons: 59, targets, requestsPerSecond: 119 })) }
]

describe('connections to targets (fleet in virtual time)', () => {
  for (const { daemons, zones } of FLEETS) {
    it(`are not opened for nearly each request by ${daemons} daemons of few requests each`, function () {
      this.timeout(120_000)
      const fleet = SimulatedFleet.run({ seed: 1, zones, isIdempotent: false, seconds: SECONDS, errorShare: 0.012 })
      const opened = fleet.connectedAtMs.filter(atMs => atMs >= WARM_UP_MS).length
      const requests = [...fleet.arrivals.values()].flat().filter(atMs => atMs >= WARM_UP_MS).length
      expect(opened / requests).to.be.at.most(0.25)
      expect(fleet.lowestUsedShare(WARM_UP_MS, SECONDS * 1_000 - WINDOW_MS / 2, WINDOW_MS)).to.be.at.least(0.9)
    })
  }
})
