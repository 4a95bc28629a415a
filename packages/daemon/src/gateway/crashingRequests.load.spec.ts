import { expect } from 'chai'
import { CrashSimulation } from '../testing/crashSimulation.js'

const FLEET_SIZES = [8, 36, 80] as const
/** Retries that the platform's rules allow later than the stability window after the third crash. */
const ALLOWED_RETRIES = 3

describe('requests that crash targets, in a whole fleet', () => {
  for (const daemons of FLEET_SIZES) {
    it(`stops such a request everywhere, at ${daemons} daemons`, async () => {
      const { sentAfterThird, stopMs } = await CrashSimulation.run({ seed: 1, daemons, seconds: 8, repeatMs: 150 })
      expect(sentAfterThird).to.equal(0)
      expect(stopMs).to.be.below(1_000)
    })

    it(`does not forget crashes when relays restart, at ${daemons} daemons`, async () => {
      const { sentAfterThird } = await CrashSimulation.run({ seed: 2, daemons, seconds: 16, repeatMs: 150, relayRestartMs: 2_500 })
      expect(sentAfterThird).to.equal(0)
    })

    it(`does not forget crashes that restarted daemons saw, at ${daemons} daemons`, async () => {
      const isRepeating = (atMs: number): boolean => atMs < 4_000 || atMs > 10_000
      const { sentAfterThird } = await CrashSimulation.run({ seed: 3, daemons, seconds: 16, repeatMs: 150, restarts: { everyMs: 1_500, oneIn: 4 }, isRepeating })
      expect(sentAfterThird).to.equal(0)
    })

    it(`keeps what each side knows when a zone loses the others for a while, at ${daemons} daemons`, async () => {
      const isCut = (from: string, to: string, atMs: number): boolean => (from === 'c') !== (to === 'c') && atMs >= 300 && atMs < 8_000
      const { sentAfterThird } = await CrashSimulation.run({ seed: 4, daemons, seconds: 16, repeatMs: 150, isCut })
      expect(sentAfterThird).to.be.at.most(ALLOWED_RETRIES)
    })
  }
})
