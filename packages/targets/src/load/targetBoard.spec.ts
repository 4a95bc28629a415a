import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import { UNKNOWN_CHANCE } from '../condition/failureEstimate.js'
import { TargetBoard } from './targetBoard.js'

const READING = { inProgress: 0, failingChance: 0.01, refusalShare: 0, latencyMs: 0 }

describe('target board', () => {
  let clock: ManualClock
  let board: TargetBoard

  beforeEach(() => {
    clock = ManualClock.create()
    board = TargetBoard.create(clock, id => id.startsWith('t') ? 's' : undefined)
  })

  it('trusts the successes that others had at a target it never used', () => {
    expect(board.conditionOf('t1').failingChance).to.equal(UNKNOWN_CHANCE)
    board.takeFleet([['t1', READING]])
    expect(board.conditionOf('t1').failingChance).to.be.closeTo(0.01, 0.001)
  })

  it('keeps its own sign of failure, whatever others see', () => {
    board.begin('t1', 's').end('failed', 1)
    board.takeFleet([['t1', READING]])
    expect(board.conditionOf('t1').failingChance).to.be.above(0.7)
  })

  it('takes a failure that comes sooner than work could end for more than a late one', () => {
    board.begin('early', 's').end('failed', 1)
    board.begin('late', 's').end('failed', 600)
    expect(board.conditionOf('early').failingChance).to.be.above(board.conditionOf('late').failingChance)
  })

  it('takes the latency of a service from the readings of the fleet', () => {
    for (let index = 0; index < 40; index++) board.takeFleet([['t1', { ...READING, latencyMs: 800 }], ['t2', { ...READING, latencyMs: 600 }], ['other', { ...READING, latencyMs: 9_000 }]])
    expect(board.latencyOf('s')).to.be.closeTo(700, 60)
  })

  it('counts a request that waits unusually long as a failure once, before it ends', () => {
    const open = board.begin('t1', 's')
    clock.jumpMs(2_500)
    board.markOverdue()
    board.markOverdue()
    expect(board.takeTallies()[0]?.[1]).to.include({ failed: 1, inProgress: 1 })
    open.end('failed', 2_600)
    expect(board.takeTallies()[0]?.[1]).to.include({ failed: 1, inProgress: 0 })
  })

  it('adds its own requests in progress to those of the others only once', () => {
    board.begin('t1', 's')
    board.takeTallies()
    board.takeFleet([['t1', { ...READING, inProgress: 3 }]])
    expect(board.conditionOf('t1').inProgress).to.equal(3)
    board.begin('t1', 's')
    expect(board.conditionOf('t1').inProgress).to.equal(4)
    clock.jumpMs(2_000)
    expect(board.conditionOf('t1').inProgress).to.equal(2)
  })
})
