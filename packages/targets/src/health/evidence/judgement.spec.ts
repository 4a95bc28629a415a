import { SeededRandom } from '@lovagehoist/common'
import { expect } from 'chai'
import type { Counts } from './counts.js'
import { findSick } from './judgement.js'
import type { JudgementOptions, Observation } from './judgement.js'
import { PROFILES } from './profiles.js'

const TARGETS = ['t0', 't1', 't2', 't3', 't4', 't5', 't6', 't7']
const DAEMONS = 9
const ZONES = ['a', 'b', 'c']
const zoneOf = (index: number): string => `local/${ZONES[index % ZONES.length] ?? ''}`

type ShareOf = (daemon: number, target: number) => number

/** Draws what each daemon counts when tries go wrong with given shares. */
const observe = (seed: number, tries: number, shareOf: ShareOf, kind: 'failures' | 'slow' = 'failures'): readonly Observation[] => {
  const random = SeededRandom.create(seed)
  const draw = (share: number): Counts => {
    const bad = Array.from({ length: tries }, () => random.next()).filter(value => value < share).length
    return { tries, failures: 0, slow: 0, [kind]: bad }
  }
  return Array.from({ length: DAEMONS }, (_, daemon) => ({
    instanceId: `daemon-${daemon}`,
    availabilityZone: zoneOf(daemon),
    byTarget: new Map(TARGETS.map((id, target) => [id, draw(shareOf(daemon, target))]))
  }))
}

const options = (profile: 'fast' | 'careful'): JudgementOptions => ({
  profile: PROFILES[profile], zoneByTarget: new Map(TARGETS.map((id, index) => [id, zoneOf(index)])), outTargets: 0, daemons: DAEMONS, zones: ZONES.length
})

const namesOf = (observations: readonly Observation[], profile: 'fast' | 'careful'): readonly string[] => findSick(observations, options(profile)).map(({ targetId }) => targetId)

describe('findSick', () => {
  it('finds a target that fails 30% of its work, and two of them, in both profiles', () => {
    for (const profile of ['fast', 'careful'] as const) {
      expect(namesOf(observe(1, 20, (_, target) => target === 0 ? 0.3 : 0.01), profile)).to.deep.equal(['t0'])
      expect([...namesOf(observe(2, 20, (_, target) => target < 2 ? 0.3 : 0.01), profile)].sort()).to.deep.equal(['t0', 't1'])
      expect(namesOf(observe(3, 20, (_, target) => target === 0 ? 0.4 : 0.01, 'slow'), profile)).to.deep.equal(['t0'])
    }
  })

  it('finds nothing in 500 draws of noise with the careful profile', () => {
    const found = Array.from({ length: 500 }, (_, seed) => namesOf(observe(seed, 12, () => 0.01), 'careful')).flat()
    expect(found).to.deep.equal([])
  })

  it('takes failures that one daemon sees for its own path', () => {
    expect(namesOf(observe(4, 40, (daemon, target) => daemon === 3 && target === 0 ? 1 : 0.01), 'fast')).to.deep.equal([])
  })

  it('takes failures between two zones for the link', () => {
    const isLost = (daemon: number, target: number): boolean => daemon % 3 === 0 && target % 3 === 1
    expect(namesOf(observe(5, 40, (daemon, target) => isLost(daemon, target) ? 1 : 0.01), 'fast')).to.deep.equal([])
  })

  it('blames nobody when most of the pool looks sick or is out already', () => {
    const one = observe(7, 40, (_, target) => target === 0 ? 0.5 : 0.01)
    expect(findSick(one, { ...options('fast'), outTargets: 3 })).to.have.length(1)
    expect(findSick(one, { ...options('fast'), outTargets: TARGETS.length })).to.deep.equal([])
    expect(namesOf(observe(6, 40, (_, target) => target < 5 ? 0.6 : 0.01), 'fast')).to.deep.equal([])
  })
})
