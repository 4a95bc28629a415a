import { expect } from 'chai'
import { ExchangeSimulation } from '../testing/exchangeSimulation.js'

/** Daemons by zone, targets, and requests per second of the whole fleet. */
const FLEETS = [
  { daemons: [12, 12, 12], targets: 30, requestsPerSecond: 100 },
  { daemons: [36, 36, 36], targets: 144, requestsPerSecond: 580 },
  { daemons: [63, 58, 56, 60, 56], targets: 480, requestsPerSecond: 950 }
] as const
const SECONDS = 1.5
const MAX_PACKET_BYTES = 1_300

describe('exchange between daemons (fleet in virtual time)', () => {
  for (const fleet of FLEETS) {
    it(`costs a daemon no more with many others than with few (${fleet.daemons.join(' + ')} daemons)`, async () => {
      const { memberReceivesPerSecond, relaySendsPerSecond, longestBytes, failureDelayMs, longestSilenceMs } = await ExchangeSimulation.run({ seed: 1, errorShare: 0.03, seconds: SECONDS, ...fleet })
      expect(memberReceivesPerSecond).to.be.at.most(40)
      expect(relaySendsPerSecond).to.be.at.most(1_500)
      expect(longestBytes).to.be.at.most(MAX_PACKET_BYTES)
      expect(failureDelayMs).to.be.at.most(150)
      expect(longestSilenceMs).to.be.at.most(500)
    })
  }
})
