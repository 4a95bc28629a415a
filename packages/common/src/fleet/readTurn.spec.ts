import { expect } from 'chai'
import { ManualClock } from '../fakes/manualClock.js'
import { SeededRandom } from '../random/seededRandom.js'
import { ReadTurn } from './readTurn.js'

const MAX_AGE_MS = { first: 400, second: 800, other: 1_000 }
const DAEMONS = 60
const STEP_MS = 100

describe('ReadTurn', () => {
  const create = (clock: ManualClock, relayRank: number, random = SeededRandom.create(1), isAwaitingPeers = false): ReadTurn =>
    ReadTurn.create({ clock, random, maxAgeMs: MAX_AGE_MS, relayRank: () => relayRank, zoneSize: () => DAEMONS, isAwaitingPeers: () => isAwaitingPeers })

  it('does not let all daemons of a zone call a store that is away', async () => {
    const clock = ManualClock.create()
    const random = SeededRandom.create(1)
    const turns = Array.from({ length: DAEMONS }, () => create(clock, -1, random))
    for (const turn of turns) turn.isDue(0)
    let calls = 0
    const seconds = 9
    for (let atMs = 0; atMs < seconds * 1_000; atMs += STEP_MS) {
      await clock.advanceMs(STEP_MS)
      calls += turns.filter(turn => turn.isDue(0)).length
    }
    expect(calls / seconds).to.be.within(1, 3)
  })

  it('lets the first relay read whenever what it knows is old', async () => {
    const clock = ManualClock.create()
    await clock.advanceMs(1_000)
    const first = create(clock, 0)
    expect([first.isDue(700), first.isDue(500)]).to.deep.equal([false, true])
    expect(create(clock, 1).isDue(500)).to.equal(false)
  })

  it('makes a daemon that has just started read at once what only a lagging peer has told it', async () => {
    const clock = ManualClock.create()
    await clock.advanceMs(10_000)
    expect(create(clock, -1).isDue(clock.monotonicMs() - 5_000)).to.equal(true)
    expect(create(clock, -1).isDue(-Infinity)).to.equal(true)
    expect(create(clock, -1, SeededRandom.create(1), true).isDue(-Infinity)).to.equal(false)
  })
})
