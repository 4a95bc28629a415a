import { expect } from 'chai'
import fc from 'fast-check'
import { planSubsets, rankRemaining } from './planSubsets.js'
import type { PlannedDaemon, PlannedTarget } from './planSubsets.js'
import { computeSubsetLimits } from './subsetLimits.js'

const SEED = 41
const ZONES = ['a', 'b', 'c']

const zoneOf = (index: number): string => ZONES[index % ZONES.length] ?? 'a'
const daemonsOf = (count: number): readonly PlannedDaemon[] =>
  Array.from({ length: count }, (_, index) => ({ id: `daemon-${index}`, availabilityZone: zoneOf(index) }))
const targetsOf = (slots: readonly number[]): readonly PlannedTarget[] =>
  slots.map((count, index) => ({ id: `target-${index}`, availabilityZone: zoneOf(index), slots: count }))

const sizes = fc.record({
  daemons: fc.integer({ min: 1, max: 60 }),
  slots: fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 1, maxLength: 24 }),
  size: fc.integer({ min: 1, max: 12 })
})

const countUse = (plan: ReadonlyMap<string, readonly PlannedTarget[]>): ReadonlyMap<string, number> => {
  const uses = new Map<string, number>()
  for (const { id } of [...plan.values()].flat()) uses.set(id, (uses.get(id) ?? 0) + 1)
  return uses
}

describe('planSubsets', () => {
  it('gives each daemon a full subset without duplicates', () => {
    fc.assert(fc.property(sizes, ({ daemons, slots, size }) => {
      const plan = planSubsets({ service: 's', daemons: daemonsOf(daemons), targets: targetsOf(slots), size })
      for (const subset of plan.values()) {
        expect(subset).to.have.length(Math.min(size, slots.length))
        expect(new Set(subset)).to.have.property('size', subset.length)
      }
    }), { seed: SEED, numRuns: 100 })
  })

  it('assigns first choices in proportion to slots', () => {
    fc.assert(fc.property(sizes, ({ daemons, slots }) => {
      const targets = targetsOf(slots)
      const uses = countUse(planSubsets({ service: 's', daemons: daemonsOf(daemons), targets, size: 1 }))
      const slotSum = slots.reduce((sum, count) => sum + count, 0)
      for (const target of targets) expect(uses.get(target.id) ?? 0).to.be.at.most(Math.ceil(daemons * target.slots / slotSum))
    }), { seed: SEED, numRuns: 100 })
  })

  it('moves few assignments when a daemon or a target is replaced', () => {
    const daemons = daemonsOf(40)
    const targets = targetsOf(Array.from({ length: 20 }, () => 6))
    const pairsOf = (plan: ReadonlyMap<string, readonly PlannedTarget[]>): ReadonlySet<string> =>
      new Set([...plan].flatMap(([id, subset]) => subset.map(target => `${id} ${target.id}`)))
    const before = pairsOf(planSubsets({ service: 's', daemons, targets, size: 6 }))
    const movedBy = (change: Partial<{ daemons: readonly PlannedDaemon[], targets: readonly PlannedTarget[] }>): number => {
      const after = pairsOf(planSubsets({ service: 's', daemons, targets, size: 6, ...change }))
      return [...before].filter(pair => !after.has(pair)).length
    }
    for (let index = 0; index < 10; index++) {
      const otherDaemons = daemons.map((daemon, at) => at === index ? { ...daemon, id: `new-${index}` } : daemon)
      const otherTargets = targets.map((target, at) => at === index ? { ...target, id: `new-${index}` } : target)
      // A full reshuffle would move 168 of the 240 pairs; the replaced daemon has 6 and the replaced target 12.
      expect(movedBy({ daemons: otherDaemons })).to.be.within(1, 60)
      expect(movedBy({ targets: otherTargets })).to.be.within(12, 72)
    }
  })

  it('covers all zones, also after one is lost, and starts in the own zone', () => {
    const daemons = daemonsOf(39)
    const targets = targetsOf(Array.from({ length: 21 }, () => 6))
    const plan = planSubsets({ service: 's', daemons, targets, size: 6 })
    const zonesOf = (subset: readonly PlannedTarget[]): number => new Set(subset.map(target => target.availabilityZone)).size
    for (const { id, availabilityZone } of daemons) {
      const subset = plan.get(id) ?? []
      expect(subset[0]?.availabilityZone).to.equal(availabilityZone)
      expect(zonesOf(subset)).to.equal(3)
    }
    const left = targets.filter(target => target.availabilityZone !== 'a')
    for (const subset of planSubsets({ service: 's', daemons, targets: left, size: 6 }).values()) expect(zonesOf(subset)).to.equal(2)
  })

  it('lets every daemon reach every target of a small pool', () => {
    const targets = targetsOf([6, 6, 6, 6, 6, 6, 6, 6])
    const plan = planSubsets({ service: 's', daemons: daemonsOf(470), targets, size: 2 })
    for (const [id, subset] of plan) {
      const all = [...subset, ...rankRemaining({ service: 's', targets }, id, subset)]
      expect(new Set(all)).to.have.property('size', 8)
    }
  })

  it('keeps the connections of the whole fleet within the limit of a target', () => {
    fc.assert(fc.property(fc.record({
      daemons: fc.integer({ min: 1, max: 470 }), targets: fc.integer({ min: 2, max: 40 }), connectionsPerTarget: fc.integer({ min: 300, max: 400 })
    }), input => {
      const { size, maxInFlightPerTarget } = computeSubsetLimits(input)
      const planned = input.daemons * size * maxInFlightPerTarget / input.targets
      expect(planned).to.be.at.most(Math.max(input.connectionsPerTarget / 2, input.daemons / input.targets))
    }), { seed: SEED, numRuns: 200 })
  })
})
