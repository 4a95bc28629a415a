import { expect } from 'chai'
import { ManualClock } from '../fakes/manualClock.js'
import { SeededRandom } from '../random/seededRandom.js'
import { ReadTurn, maxConfigAgeMs, maxListingAgeMs } from './readTurn.js'

const BOUND_MS = 2_000
/** Age by which every daemon reads: the read and the way to a target take the rest of the bound. */
const LAST_AGE_MS = 1_800
const DAEMONS = 60
const STEP_MS = 100

describe('ReadTurn', () => {
  const create = (clock: ManualClock, relayRank: number, random = SeededRandom.create(1), { isOverdue = false, isAwaitingPeers = false, isHearingRelay = false, zone = 'a', rankBehindRelays = 0, boundMs = BOUND_MS } = {}): ReadTurn =>
    ReadTurn.create({ clock, random, maxAgeMs: maxListingAgeMs, boundMs: () => boundMs, relayRank: () => relayRank, zones: () => ['c', 'a', 'b'], zone, isOverdue: () => isOverdue, isAwaitingPeers: () => isAwaitingPeers, isHearingRelay: () => isHearingRelay, rankBehindRelays: () => rankBehindRelays })

  it('lets all daemons of a zone read within a moment when they hear nothing from its relays, but not at once', async () => {
    const clock = ManualClock.create()
    const random = SeededRandom.create(1)
    const turns = Array.from({ length: DAEMONS }, () => create(clock, -1, random))
    for (const turn of turns) turn.isDue(0)
    const reading = new Set<ReadTurn>()
    let mostAtOnce = 0
    for (let atMs = STEP_MS; atMs <= LAST_AGE_MS; atMs += STEP_MS) {
      await clock.advanceMs(STEP_MS)
      const due = turns.filter(turn => !reading.has(turn) && turn.isDue(0))
      for (const turn of due) reading.add(turn)
      mostAtOnce = Math.max(mostAtOnce, due.length)
    }
    expect(reading.size).to.equal(DAEMONS)
    expect(mostAtOnce).to.be.below(DAEMONS / 2)
  })

  it('lets the first relay read whenever what it knows is old', async () => {
    const clock = ManualClock.create()
    await clock.advanceMs(1_000)
    const first = create(clock, 0)
    expect([first.isDue(700), first.isDue(200)]).to.deep.equal([false, true])
    expect(create(clock, 1).isDue(200)).to.equal(false)
  })

  it('orders the first relays of all zones, then the second ones, so that one reads for the fleet and another follows within 1 s', () => {
    const clock = ManualClock.create()
    const orders = [0, 1].flatMap(relayRank => ['a', 'b', 'c'].map(zone => create(clock, relayRank, undefined, { zone }).order))
    expect(orders).to.deep.equal([0, 1, 2, 3, 4, 5])
    expect(create(clock, -1).order).to.equal(undefined)
    expect(orders.map(order => maxListingAgeMs(order, BOUND_MS))).to.deep.equal([700, 950, 1_050, 1_150, 1_250, 1_350])
    expect(orders.map(order => maxConfigAgeMs(order, BOUND_MS))).to.deep.equal([0, 0, 1_050, 1_150, 1_250, 1_350])
  })

  for (const boundMs of [1_000, 2_000, 3_000]) {
    it(`lets the daemons of a zone take turns while its relays are heard but tell nothing new, each well before a bound of ${boundMs} ms`, async () => {
      const clock = ManualClock.create()
      const random = SeededRandom.create(1)
      const turns = Array.from({ length: DAEMONS }, (_, rankBehindRelays) => create(clock, -1, random, { isHearingRelay: true, rankBehindRelays, boundMs }))
      for (const turn of turns) turn.isDue(0)
      const agesMs = new Map<number, number>()
      for (let atMs = 0; atMs <= boundMs; atMs += 10) {
        for (const [rank, turn] of turns.entries()) if (!agesMs.has(rank) && turn.isDue(0)) agesMs.set(rank, atMs)
        await clock.advanceMs(10)
      }
      const [first = 0, second = 0, ...others] = agesMs.values()
      expect([agesMs.size, [...agesMs.keys()].slice(0, 2)]).to.deep.equal([DAEMONS, [0, 1]])
      expect(second - first).to.be.at.least(0.02 * boundMs)
      expect(Math.min(...others) - second).to.be.at.least(0.02 * boundMs)
      expect(Math.max(...others)).to.be.at.most(0.9 * boundMs)
    })
  }

  it('derives the ages from the bound', () => {
    expect([0, 1, undefined].map(order => maxListingAgeMs(order, 1_000))).to.deep.equal([350, 600, 800])
    expect([0, 1, 9, undefined].map(order => maxListingAgeMs(order, 3_000))).to.deep.equal([700, 950, 1_750, 2_400])
  })

  it('makes a daemon that has just started leave the store to relays for a moment, then read what only a lagging peer has told it', async () => {
    const clock = ManualClock.create()
    await clock.advanceMs(10_000)
    const turns = [create(clock, -1), create(clock, -1)]
    const awaiting = create(clock, -1, SeededRandom.create(1), { isAwaitingPeers: true })
    expect(turns.map(turn => turn.isDue(-Infinity))).to.deep.equal([false, false])
    await clock.advanceMs(600)
    expect([turns[0]?.isDue(clock.monotonicMs() - 5_000), turns[1]?.isDue(-Infinity)]).to.deep.equal([true, true])
    expect(awaiting.isDue(-Infinity)).to.equal(false)
  })
})
