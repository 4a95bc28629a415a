import { expect } from 'chai'
import { SeededRandom } from '@lovagehoist/common'
import { PRIOR_CHANCE } from '../condition/failureEstimate.js'
import { placeRequest } from './placement.js'
import type { Candidate, PlacementRequest } from './candidate.js'

const candidate = (targetId: string, change: Partial<Candidate> = {}): Candidate => ({
  targetId,
  slots: 6,
  inProgress: 0,
  failingChance: 0.03,
  refusalShare: 0,
  serviceTimeMs: 500,
  isOwnZone: true,
  isConnected: true,
  idleMs: 100,
  isNew: false,
  ...change
})

const REQUEST: PlacementRequest = { remainingMs: 6_000, hasHigherPriorityTraffic: false }
const DRAWS = 400

const shares = (candidates: readonly Candidate[], request = REQUEST): Readonly<Record<string, number>> => {
  const random = SeededRandom.create(7)
  const counts: Record<string, number> = {}
  for (let draw = 0; draw < DRAWS; draw++) {
    const placement = placeRequest(candidates, request, random)
    const name = placement.type === 'placed' ? placement.targetId : placement.type
    counts[name] = (counts[name] ?? 0) + 1
  }
  return counts
}

describe('placement', () => {
  it('draws evenly between equal targets', () => {
    const { a = 0, b = 0 } = shares([candidate('a'), candidate('b')])
    expect(a).to.be.within(DRAWS * 0.4, DRAWS * 0.6)
    expect(a + b).to.equal(DRAWS)
  })

  it('avoids a target after one failure even if it is idle', () => {
    expect(shares([candidate('a', { failingChance: 0.8 }), candidate('b', { inProgress: 4 })])).to.deep.equal({ b: DRAWS })
  })

  it('uses other zones only when the targets of the own zone are nearly full', () => {
    expect(shares([candidate('near', { inProgress: 3 }), candidate('far', { isOwnZone: false })])).to.deep.equal({ near: DRAWS })
    expect(shares([candidate('near', { inProgress: 6 }), candidate('far', { isOwnZone: false })]).far).to.be.above(DRAWS * 0.8)
    expect(shares([candidate('near', { inProgress: 9 }), candidate('far', { isOwnZone: false })])).to.deep.equal({ far: DRAWS })
  })

  it('waits for a healthy target rather than use a failing one', () => {
    const healthy = candidate('healthy', { inProgress: 16 })
    expect(shares([healthy, candidate('failing', { failingChance: 0.95 })], { remainingMs: 2_500, hasHigherPriorityTraffic: false })).to.deep.equal({ healthy: DRAWS })
  })

  it('assumes a short service time for a short deadline rather than use a failing target', () => {
    const healthy = candidate('healthy', { inProgress: 8, serviceTimeMs: 880 })
    expect(shares([healthy, candidate('failing', { failingChance: 0.95, serviceTimeMs: 880 })], { remainingMs: 900, hasHigherPriorityTraffic: false })).to.deep.equal({ healthy: DRAWS })
  })

  it('probes unused targets while the daemon has recently started', () => {
    const pool = [candidate('a'), candidate('unused', { failingChance: PRIOR_CHANCE, idleMs: 1_000, isConnected: false, isOwnZone: false })]
    expect(shares(pool, { ...REQUEST, isRecentlyStarted: true }).unused).to.be.above(DRAWS * 0.05)
    expect(shares(pool).unused).to.equal(undefined)
  })

  it('spreads simultaneous choices of daemons over targets of similar cost', () => {
    const { a = 0, b = 0 } = shares([candidate('a', { inProgress: 1 }), candidate('b', { inProgress: 2 })])
    expect(b).to.be.within(DRAWS * 0.1, a)
  })

  it('refuses a request that could not be answered in time', () => {
    expect(placeRequest([candidate('a', { inProgress: 30 })], { remainingMs: 1_000, hasHigherPriorityTraffic: false }, SeededRandom.create(1))).to.include({ type: 'too-late' })
    for (const remainingMs of [0.9, 0, -40]) expect(placeRequest([candidate('a')], { remainingMs, hasHigherPriorityTraffic: false }, SeededRandom.create(1))).to.include({ type: 'too-late' })
  })

  it('reserves a slot of each target for higher-priority requests', () => {
    const last = candidate('a', { inProgress: 5 })
    const wait = (hasHigherPriorityTraffic: boolean): number => {
      const placement = placeRequest([last], { remainingMs: 6_000, hasHigherPriorityTraffic }, SeededRandom.create(1))
      return placement.type === 'placed' ? placement.waitMs : -1
    }
    expect(wait(false)).to.equal(0)
    expect(wait(true)).to.be.above(0)
  })

  it('gives a new target some of the first few dozen requests, but not all of them', () => {
    const { fresh = 0 } = shares([candidate('a'), candidate('fresh', { isNew: true, serviceTimeMs: 1_000, failingChance: PRIOR_CHANCE, isConnected: false, idleMs: 200 })])
    expect(fresh).to.be.within(DRAWS * 0.02, DRAWS * 0.25)
  })

  it('uses a small part of the requests for new targets however many there are', () => {
    const fresh = Array.from({ length: 12 }, (_, index) => candidate(`fresh-${index}`, { isNew: true, failingChance: PRIOR_CHANCE, isConnected: false, idleMs: 200 }))
    const { a = 0, ...others } = shares([candidate('a'), ...fresh])
    expect(a).to.be.above(DRAWS * 0.75)
    expect(Object.keys(others)).to.have.length.above(6)
  })

  it('probes idle targets of the own zone with a small share of the requests at first, then with the next request', () => {
    const sharesWithIdle = (idleMs: number): number => shares([candidate('a', { inProgress: 1 }), candidate('idle', { failingChance: PRIOR_CHANCE, idleMs })]).idle ?? 0
    expect(sharesWithIdle(400)).to.equal(0)
    expect(sharesWithIdle(700)).to.be.within(DRAWS * 0.05, DRAWS * 0.25)
    expect(sharesWithIdle(1_500)).to.equal(DRAWS)
  })

  it('leaves idle targets of other zones to the daemons there until these have had time to use them', () => {
    const sharesWithIdle = (idleMs: number): number => shares([candidate('a', { inProgress: 1 }), candidate('far', { failingChance: PRIOR_CHANCE, isOwnZone: false, idleMs })]).far ?? 0
    expect(sharesWithIdle(1_000)).to.equal(0)
    expect(sharesWithIdle(2_000)).to.equal(DRAWS)
  })

  it('tries a probably failing target again after a pause, earlier with requests that can be retried', () => {
    const sharesWithIdle = (idleMs: number, request: Partial<PlacementRequest> = {}): number =>
      shares([candidate('a'), candidate('suspect', { failingChance: 0.9, idleMs })], { ...REQUEST, ...request }).suspect ?? 0
    expect(sharesWithIdle(1_600)).to.equal(0)
    expect(sharesWithIdle(3_500)).to.equal(DRAWS)
    expect(sharesWithIdle(900, { isIdempotent: true })).to.equal(0)
    expect(sharesWithIdle(1_600, { isIdempotent: true })).to.be.above(DRAWS * 0.1)
  })

  it('risks requests that can not be retried at probably failing targets only while too few targets are in use, at the healthiest', () => {
    const used = (count: number): readonly Candidate[] => Array.from({ length: count }, (_, index) => candidate(`used-${index}`))
    const suspects = [candidate('worse', { failingChance: 0.9, idleMs: 4_000 }), candidate('better', { failingChance: 0.5, idleMs: 4_000 })]
    expect(shares([...used(14), ...suspects])).to.not.include.any.keys('worse', 'better')
    const few = shares([...used(4), ...suspects])
    expect(few).to.deep.equal({ better: DRAWS })
  })

  it('risks them at targets of its zone when too few of these are in use, although those of other zones seem to be', () => {
    const used = Array.from({ length: 4 }, (_, index) => candidate(`used-${index}`))
    const elsewhere = Array.from({ length: 40 }, (_, index) => candidate(`elsewhere-${index}`, { isOwnZone: false }))
    const suspects = Array.from({ length: 4 }, (_, index) => candidate(`suspect-${index}`, { failingChance: 0.5, idleMs: 4_000 }))
    const tried = Object.entries(shares([...used, ...elsewhere, ...suspects])).filter(([id]) => id.startsWith('suspect')).reduce((sum, [, count]) => sum + count, 0)
    expect(tried).to.equal(DRAWS)
  })

  it('tries a probably failing target with one request at a time, and not with retries', () => {
    const suspect = candidate('suspect', { failingChance: 0.9, idleMs: 2_500 })
    expect(shares([candidate('a'), { ...suspect, inProgress: 1 }])).to.deep.equal({ a: DRAWS })
    expect(shares([candidate('a'), suspect], { ...REQUEST, isRetry: true })).to.deep.equal({ a: DRAWS })
  })

  it('does not probe recently used targets of unknown health while healthy ones have free slots', () => {
    expect(shares([candidate('a', { inProgress: 1 }), candidate('late', { failingChance: PRIOR_CHANCE, idleMs: 500 })])).to.deep.equal({ a: DRAWS })
  })

  it('uses all healthy targets while a large part of the service fails', () => {
    const failing = ['s1', 's2', 's3'].map(id => candidate(id, { failingChance: 0.9 }))
    const { idle = 0 } = shares([candidate('a', { inProgress: 1 }), candidate('idle', { failingChance: PRIOR_CHANCE, idleMs: 1_500 }), ...failing])
    expect(idle).to.be.above(DRAWS * 0.05)
  })
})
