import { SeededRandom } from '@lovagehoist/common'
import { expect } from 'chai'
import type { OutcomeCounts } from './outcomeCounts.js'
import { findOutliers } from './findOutliers.js'
import type { DetectionOptions, Observation } from './findOutliers.js'
import { DETECTION_PROFILES } from './profiles.js'

const TARGETS = ['t0', 't1', 't2', 't3', 't4', 't5', 't6', 't7']
const DAEMONS = 9
const ZONES = ['a', 'b', 'c']
const zoneOf = (index: number): string => `local/${ZONES[index % ZONES.length] ?? ''}`

type ShareOf = (daemon: number, target: number) => number

/** Draws the counts of each daemon when attempts go wrong with the given shares. */
const observe = (seed: number, attempts: number, shareOf: ShareOf, kind: 'failures' | 'slow' = 'failures'): readonly Observation[] => {
  const random = SeededRandom.create(seed)
  const draw = (share: number): OutcomeCounts => {
    const bad = Array.from({ length: attempts }, () => random.next()).filter(value => value < share).length
    return { attempts, failures: 0, slow: 0, [kind]: bad }
  }
  return Array.from({ length: DAEMONS }, (_, daemon) => ({
    instanceId: `daemon-${daemon}`,
    availabilityZone: zoneOf(daemon),
    byTarget: new Map(TARGETS.map((id, target) => [id, draw(shareOf(daemon, target))]))
  }))
}

const options = (profile: 'fast' | 'careful'): DetectionOptions => ({
  profile: DETECTION_PROFILES[profile], zoneByTarget: new Map(TARGETS.map((id, index) => [id, zoneOf(index)])), ejectedTargets: 0, daemons: DAEMONS, zones: ZONES.length
})

const outlierIds = (observations: readonly Observation[], profile: 'fast' | 'careful'): readonly string[] => findOutliers(observations, options(profile)).map(({ targetId }) => targetId)

describe('findOutliers', () => {
  it('finds one or two targets that fail 30% of their requests, with both profiles', () => {
    for (const profile of ['fast', 'careful'] as const) {
      expect(outlierIds(observe(1, 20, (_, target) => target === 0 ? 0.3 : 0.01), profile)).to.deep.equal(['t0'])
      expect([...outlierIds(observe(2, 20, (_, target) => target < 2 ? 0.3 : 0.01), profile)].sort()).to.deep.equal(['t0', 't1'])
      expect(outlierIds(observe(3, 20, (_, target) => target === 0 ? 0.4 : 0.01, 'slow'), profile)).to.deep.equal(['t0'])
    }
  })

  it('finds no outlier in 500 draws of noise with the careful profile', () => {
    const found = Array.from({ length: 500 }, (_, seed) => outlierIds(observe(seed, 12, () => 0.01), 'careful')).flat()
    expect(found).to.deep.equal([])
  })

  it('attributes failures that only one daemon sees to the path of that daemon', () => {
    expect(outlierIds(observe(4, 40, (daemon, target) => daemon === 3 && target === 0 ? 1 : 0.01), 'fast')).to.deep.equal([])
  })

  it('attributes failures between two zones to the link between them', () => {
    const isCut = (daemon: number, target: number): boolean => daemon % 3 === 0 && target % 3 === 1
    expect(outlierIds(observe(5, 40, (daemon, target) => isCut(daemon, target) ? 1 : 0.01), 'fast')).to.deep.equal([])
  })

  it('finds no outlier when most of the pool looks bad or is ejected already', () => {
    const one = observe(7, 40, (_, target) => target === 0 ? 0.5 : 0.01)
    expect(findOutliers(one, { ...options('fast'), ejectedTargets: 3 })).to.have.length(1)
    expect(findOutliers(one, { ...options('fast'), ejectedTargets: TARGETS.length })).to.deep.equal([])
    expect(outlierIds(observe(6, 40, (_, target) => target < 5 ? 0.6 : 0.01), 'fast')).to.deep.equal([])
  })
})
