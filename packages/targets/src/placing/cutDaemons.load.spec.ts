import { expect } from 'chai'
import { SimulatedFleet } from '../testing/simulatedFleet.js'
import type { DaemonPosition, SimulatedZone } from '../testing/simulatedFleet.js'

const SEEDS = [1, 2, 3]
const SECONDS = 16
const CUT_FROM_MS = 5_000
const CUT_TO_MS = 12_000
/** Failing chance from which a target counts as probably failing. */
const SUSPECT_CHANCE = 0.25

const zonesOf = (daemons: readonly number[]): readonly SimulatedZone[] => daemons.map((count, zone) => ({ daemons: count, targets: [7, 6, 6][zone] ?? 0, requestsPerSecond: [28, 20, 27][zone] ?? 0 }))

/** Largest share of the choices in any second of the cut for which a healthy target counted as probably failing. */
const suspectedShare = (daemons: readonly number[], isIdempotent: boolean): number => Math.max(...SEEDS.map(seed => {
  const isCut = ({ zone, index }: DaemonPosition, atMs: number): boolean => zone === 0 && index < 2 / 3 * (daemons[0] ?? 0) && atMs >= CUT_FROM_MS && atMs < CUT_TO_MS
  const { chosenFailingChances } = SimulatedFleet.run({ seed, seconds: SECONDS, zones: zonesOf(daemons), isIdempotent, errorShare: 0.012, isCut })
  const choices = chosenFailingChances.filter(({ atMs }) => atMs >= CUT_FROM_MS && atMs < CUT_TO_MS)
  return choices.filter(({ failingChance }) => failingChance >= SUSPECT_CHANCE).length / choices.length
}))

describe('daemons that are cut off from all targets (fleet in virtual time)', () => {
  for (const daemons of [[3, 2, 3], [12, 12, 12], [27, 26, 27]]) {
    it(`do not make others take healthy targets for failing ones (${daemons.join(' + ')} daemons)`, () => {
      for (const isIdempotent of [false, true]) expect(suspectedShare(daemons, isIdempotent)).to.be.at.most(0.1)
    })
  }
})
