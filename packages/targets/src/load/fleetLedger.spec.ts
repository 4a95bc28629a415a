import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import type { TargetCounters } from '@lovagehoist/common'
import { UNKNOWN_CHANCE } from '../condition/failureEstimate.js'
import { FleetLedger } from './fleetLedger.js'

const tally = (change: Partial<TargetCounters>): TargetCounters => ({ inProgress: 0, succeeded: 0, failed: 0, failedEarly: 0, refused: 0, latencySquares: 0, ...change })

const chanceOf = (ledger: FleetLedger, targetId: string): number | undefined =>
  ledger.readings().find(([id]) => id === targetId)?.[1].failingChance

describe('fleet ledger', () => {
  it('counts a target that first appears in a later full report', () => {
    const ledger = FleetLedger.create(ManualClock.create())
    ledger.takeZone('b relay', [], true)
    ledger.takeZone('b relay', [['t1', tally({ failedEarly: 1, inProgress: 1 })]], true)
    expect(chanceOf(ledger, 't1')).to.be.above(0.7)
  })

  it('does not count what a daemon did before it was first heard', () => {
    const ledger = FleetLedger.create(ManualClock.create())
    ledger.takeDaemon('d1', [['t1', tally({ failed: 9, inProgress: 1 })]], true)
    expect(chanceOf(ledger, 't1')).to.equal(UNKNOWN_CHANCE)
  })

  it('counts all that a young daemon did, also before its first report to this relay', () => {
    const ledger = FleetLedger.create(ManualClock.create())
    ledger.takeDaemon('d1', [['t1', tally({ failedEarly: 1, inProgress: 1 })]], true, 2_000)
    expect(chanceOf(ledger, 't1')).to.be.above(0.7)
  })

  it('takes successes of one zone for what they are although the other zones know nothing', () => {
    const ledger = FleetLedger.create(ManualClock.create())
    ledger.takeDaemon('d1', [], true)
    ledger.takeDaemon('d1', [['t1', tally({ succeeded: 4 })]], false)
    expect(chanceOf(ledger, 't1')).to.be.below(UNKNOWN_CHANCE / 3)
  })

  it('keeps the sign of failure that one zone has', () => {
    const ledger = FleetLedger.create(ManualClock.create())
    ledger.takeDaemon('d1', [], true)
    ledger.takeZone('b relay', [], true)
    ledger.takeDaemon('d1', [['t1', tally({ succeeded: 4 })]], false)
    ledger.takeZone('b relay', [['t1', tally({ failedEarly: 2 })]], false)
    expect(chanceOf(ledger, 't1')).to.be.above(0.8)
  })

  it('does not let quick answers hide how long slots are held', () => {
    const ledger = FleetLedger.create(ManualClock.create())
    ledger.takeDaemon('d1', [], true)
    let squares = 0
    for (let index = 1; index <= 40; index++) {
      squares += index % 2 === 0 ? 3 ** 2 : 640 ** 2
      ledger.takeDaemon('d1', [['t1', tally({ succeeded: index, latencySquares: squares })]], false)
    }
    expect(ledger.readings()[0]?.[1].latencyMs).to.be.within(400, 520)
  })

  it('adds the requests in progress of daemons and zones, and forgets silent ones', () => {
    const clock = ManualClock.create()
    const ledger = FleetLedger.create(clock)
    ledger.takeDaemon('d1', [['t1', tally({ inProgress: 2 })]], true)
    ledger.takeZone('b relay', [['t1', tally({ inProgress: 3 })]], true)
    expect(ledger.readings()[0]?.[1].inProgress).to.equal(5)
    clock.jumpMs(3_000)
    ledger.takeZone('b relay', [['t1', tally({ inProgress: 3 })]], true)
    expect(ledger.readings()[0]?.[1].inProgress).to.equal(3)
  })

  it('reports sums of its zone only', () => {
    const ledger = FleetLedger.create(ManualClock.create())
    ledger.takeDaemon('d1', [], true)
    ledger.takeDaemon('d2', [], true)
    ledger.takeDaemon('d1', [['t1', tally({ succeeded: 2, inProgress: 1 })]], false)
    ledger.takeDaemon('d2', [['t1', tally({ succeeded: 3 })]], false)
    ledger.takeZone('b relay', [['t1', tally({ succeeded: 7 })]], true)
    expect(ledger.zoneTallies()).to.deep.equal([['t1', tally({ succeeded: 5, inProgress: 1 })]])
  })
})
