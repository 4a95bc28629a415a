import { expect } from 'chai'
import { admittedShare, drainTimeMs, shortageLevelOf } from './shortageLevel.js'
import type { ShortageRequest } from './shortageLevel.js'

const SERVICE_TIME_MS = 200
const request = (rank: number, change: Partial<ShortageRequest> = {}): ShortageRequest => ({ rank, ranks: 3, objectiveLeftMs: 1_000, isRetry: false, ...change })
const levelAt = (load: number, targets = 40, slots = 80): ReturnType<typeof shortageLevelOf> =>
  shortageLevelOf({ targets, slots, inProgress: load * slots, serviceTimeMs: SERVICE_TIME_MS, refusalShare: 0 }, SERVICE_TIME_MS)
const LOADS = Array.from({ length: 60 }, (_, index) => index / 10)

describe('shortage level', () => {
  it('refuses nothing while every request can have a slot, or while no slot is known', () => {
    for (const load of [0, 0.3, 0.9, 1]) expect([0, 1, 2].map(rank => admittedShare(levelAt(load), request(rank)))).to.deep.equal([1, 1, 1])
    expect(admittedShare(levelAt(5, 0, 0), request(2))).to.equal(1)
  })

  it('never admits a less urgent rank more than a more urgent one, nor a retry more than a first attempt', () => {
    for (const load of LOADS) {
      const shares = [0, 1, 2].map(rank => admittedShare(levelAt(load), request(rank)))
      expect(shares).to.deep.equal([...shares].sort((a, b) => b - a))
      for (const rank of [0, 1, 2]) expect(admittedShare(levelAt(load), request(rank, { isRetry: true }))).to.be.at.most(shares[rank] ?? 0)
    }
  })

  it('refuses the least urgent rank first and leaves every rank a share in the worst shortage', () => {
    expect(admittedShare(levelAt(2.5), request(2))).to.be.within(0.1, 0.9)
    expect(admittedShare(levelAt(2.5), request(0))).to.equal(1)
    for (const load of LOADS) expect(admittedShare(levelAt(load), request(2))).to.be.above(0)
  })

  it('falls gradually with the load, because a step would make daemons with old counts refuse and admit in turns', () => {
    for (const rank of [0, 1, 2]) {
      for (const load of LOADS) expect(admittedShare(levelAt(load), request(rank)) - admittedShare(levelAt(load + 0.1), request(rank))).to.be.within(0, 0.06)
    }
  })

  it('lets urgent requests return first', () => {
    const [first = 0, second = 0, third = 0] = [0, 1, 2].map(rank => drainTimeMs(levelAt(5), request(rank)))
    expect(first).to.be.below(second)
    expect(second).to.be.below(third)
  })
})
