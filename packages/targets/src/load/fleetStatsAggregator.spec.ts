import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import type { TargetCounters } from '@lovagehoist/common'
import { PRIOR_CHANCE } from '../condition/failureEstimate.js'
import { FleetStatsAggregator } from './fleetStatsAggregator.js'

const countersOf = (change: Partial<TargetCounters>): TargetCounters => ({ inProgress: 0, succeeded: 0, failed: 0, failedLate: 0, failedEarly: 0, refused: 0, latencySquares: 0, ...change })

const chanceOf = (aggregator: FleetStatsAggregator, targetId: string): number | undefined =>
  aggregator.targetStats().find(([id]) => id === targetId)?.[1].failingChance

describe('FleetStatsAggregator', () => {
  it('counts a target that first appears in a later full report', () => {
    const aggregator = FleetStatsAggregator.create(ManualClock.create())
    aggregator.applyZoneReport('b relay', [], true)
    aggregator.applyZoneReport('b relay', [['t1', countersOf({ failedEarly: 1, inProgress: 1 })]], true)
    expect(chanceOf(aggregator, 't1')).to.be.above(0.7)
  })

  it('ignores outcomes from before the first report of a daemon', () => {
    const aggregator = FleetStatsAggregator.create(ManualClock.create())
    aggregator.applyDaemonReport('d1', [['t1', countersOf({ failed: 9, inProgress: 1 })]], true)
    expect(chanceOf(aggregator, 't1')).to.equal(PRIOR_CHANCE)
  })

  it('counts all outcomes of a recently started daemon, including those before its first report to this relay', () => {
    const aggregator = FleetStatsAggregator.create(ManualClock.create())
    aggregator.applyDaemonReport('d1', [['t1', countersOf({ failedEarly: 1, inProgress: 1 })]], true, 2_000)
    expect(chanceOf(aggregator, 't1')).to.be.above(0.7)
  })

  it('does not dilute successes seen by one zone when the other zones have no outcomes', () => {
    const aggregator = FleetStatsAggregator.create(ManualClock.create())
    aggregator.applyDaemonReport('d1', [], true)
    aggregator.applyDaemonReport('d1', [['t1', countersOf({ succeeded: 4 })]], false)
    expect(chanceOf(aggregator, 't1')).to.be.below(PRIOR_CHANCE / 3)
  })

  it('keeps the evidence of failure from a single zone', () => {
    const aggregator = FleetStatsAggregator.create(ManualClock.create())
    aggregator.applyDaemonReport('d1', [], true)
    aggregator.applyZoneReport('b relay', [], true)
    aggregator.applyDaemonReport('d1', [['t1', countersOf({ succeeded: 4 })]], false)
    aggregator.applyZoneReport('b relay', [['t1', countersOf({ failedEarly: 2 })]], false)
    expect(chanceOf(aggregator, 't1')).to.be.above(0.8)
  })

  it('does not let fast responses hide how long slots are occupied', () => {
    const aggregator = FleetStatsAggregator.create(ManualClock.create())
    aggregator.applyDaemonReport('d1', [], true)
    let squares = 0
    for (let index = 1; index <= 40; index++) {
      squares += index % 2 === 0 ? 3 ** 2 : 640 ** 2
      aggregator.applyDaemonReport('d1', [['t1', countersOf({ succeeded: index, latencySquares: squares })]], false)
    }
    expect(aggregator.targetStats()[0]?.[1].latencyMs).to.be.within(400, 520)
  })

  it('adds up the requests in progress of daemons and zones, and drops sources that stopped reporting', () => {
    const clock = ManualClock.create()
    const aggregator = FleetStatsAggregator.create(clock)
    aggregator.applyDaemonReport('d1', [['t1', countersOf({ inProgress: 2 })]], true)
    aggregator.applyZoneReport('b relay', [['t1', countersOf({ inProgress: 3 })]], true)
    expect(aggregator.targetStats()[0]?.[1].inProgress).to.equal(5)
    clock.jumpMs(3_000)
    aggregator.applyZoneReport('b relay', [['t1', countersOf({ inProgress: 3 })]], true)
    expect(aggregator.targetStats()[0]?.[1].inProgress).to.equal(3)
  })

  it('measures idle time from the last request sent, not from the last change of the estimate', () => {
    const clock = ManualClock.create()
    const aggregator = FleetStatsAggregator.create(clock)
    aggregator.applyDaemonReport('d1', [], true)
    aggregator.applyDaemonReport('d1', [['t1', countersOf({ inProgress: 1 })]], false)
    clock.jumpMs(500)
    aggregator.applyDaemonReport('d1', [['t1', countersOf({ failed: 1 })]], false)
    clock.jumpMs(700)
    expect(aggregator.targetStats()[0]?.[1].idleMs).to.equal(1_200)
  })

  it('reports the first request to an idle target as urgent, so that other daemons do not probe it too', () => {
    const clock = ManualClock.create()
    const aggregator = FleetStatsAggregator.create(clock)
    aggregator.applyDaemonReport('d1', [], true)
    expect(aggregator.applyDaemonReport('d1', [['t1', countersOf({ inProgress: 1 })]], false)).to.equal(true)
    expect(aggregator.applyDaemonReport('d1', [['t1', countersOf({ inProgress: 2 })]], false)).to.equal(false)
    clock.jumpMs(1_500)
    expect(aggregator.applyDaemonReport('d1', [['t1', countersOf({ inProgress: 3 })]], false)).to.equal(true)
  })

  it('reports sums of its own zone only', () => {
    const aggregator = FleetStatsAggregator.create(ManualClock.create())
    aggregator.applyDaemonReport('d1', [], true)
    aggregator.applyDaemonReport('d2', [], true)
    aggregator.applyDaemonReport('d1', [['t1', countersOf({ succeeded: 2, inProgress: 1 })]], false)
    aggregator.applyDaemonReport('d2', [['t1', countersOf({ succeeded: 3 })]], false)
    aggregator.applyZoneReport('b relay', [['t1', countersOf({ succeeded: 7 })]], true)
    expect(aggregator.ownZoneCounters()).to.deep.equal([['t1', countersOf({ succeeded: 5, inProgress: 1 })]])
  })
})
