import { expect } from 'chai'
import { fakeTarget } from '@lovagehoist/common/testing'
import { computeCapacity } from '../ejections/capacity.js'
import { AVOIDED_WEIGHT, RETAINED_WEIGHT, chooseAvoidedTargets } from './avoidance.js'

const ids = ['t0', 't1', 't2', 't3', 't4', 't5']
const counts = (badIds: readonly string[]) => ids.map(targetId => {
  const long = { attempts: 40, failures: badIds.includes(targetId) ? 30 : 0, slow: 0 }
  return { targetId, fence: 0, long, short: long }
})
const capacity = (floorSlots: number) => computeCapacity(ids.map(id => fakeTarget(id)), { floorSlots, coldStartMs: 0, wallMs: 0 })
const weights = (floorSlots: number, badIds: readonly string[]): readonly number[] =>
  [...chooseAvoidedTargets({ counts: counts(badIds), capacity: capacity(floorSlots), ejectedSlots: 0, retained: new Set(), ejectedIds: new Set() }).values()].map(({ weight }) => weight)

describe('chooseAvoidedTargets', () => {
  it('lowers the weight of bad targets, and lowers it less when the floor would be crossed', () => {
    expect(weights(24, ['t0', 't1'])).to.deep.equal([AVOIDED_WEIGHT, AVOIDED_WEIGHT])
    expect(weights(30, ['t0', 't1'])).to.deep.equal([AVOIDED_WEIGHT, RETAINED_WEIGHT])
  })

  it('avoids nothing when most of the pool is bad', () => {
    expect(weights(0, ['t0', 't1', 't2', 't3'])).to.deep.equal([])
  })
})
