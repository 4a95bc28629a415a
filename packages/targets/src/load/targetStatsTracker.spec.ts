import { expect } from 'chai'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { PRIOR_CHANCE } from '../condition/failureEstimate.js'
import { TargetStatsTracker } from './targetStatsTracker.js'

const FLEET_STATS = { inProgress: 0, failingChance: 0.01, refusalShare: 0, latencyMs: 0, idleMs: 0 }

describe('TargetStatsTracker', () => {
  let clock: ManualClock
  let tracker: TargetStatsTracker

  beforeEach(() => {
    clock = ManualClock.create()
    tracker = TargetStatsTracker.create(clock, id => id.startsWith('t') ? 's' : undefined)
  })

  it('trusts successes reported by others for a target it never used', () => {
    expect(tracker.estimate('t1').failingChance).to.equal(PRIOR_CHANCE)
    tracker.applyFleetStats([['t1', FLEET_STATS]])
    expect(tracker.estimate('t1').failingChance).to.be.closeTo(0.01, 0.001)
  })

  it('does not take a busy target for an empty one because the views of a large fleet have not mentioned it for a while', () => {
    tracker.applyFleetStats([['t1', { ...FLEET_STATS, inProgress: 4 }]])
    for (let passedMs = 0; passedMs < 4_000; passedMs += 200) {
      clock.jumpMs(200)
      tracker.applyFleetStats([['t2', FLEET_STATS]])
    }
    expect(tracker.estimate('t1').inProgress).to.equal(4)
    clock.jumpMs(1_600)
    expect(tracker.estimate('t1').inProgress).to.equal(0)
  })

  it('keeps its own evidence of failure whatever others report', () => {
    tracker.startAttempt('t1', 's').end('failed', 1)
    tracker.applyFleetStats([['t1', FLEET_STATS]])
    expect(tracker.estimate('t1').failingChance).to.be.above(0.7)
  })

  it('treats a failure before the work could have finished as stronger evidence than a late one', () => {
    tracker.startAttempt('early', 's').end('failed', 1)
    tracker.startAttempt('late', 's').end('failed', 600)
    expect(tracker.estimate('early').failingChance).to.be.above(tracker.estimate('late').failingChance)
  })

  it('does not take a target for a failing one after a single late failure', () => {
    tracker.startAttempt('t1', 's').end('failed', 600)
    expect(tracker.estimate('t1').failingChance).to.be.below(0.4)
    for (let failure = 0; failure < 3; failure++) tracker.startAttempt('t1', 's').end('failed', 600)
    expect(tracker.estimate('t1').failingChance).to.be.above(0.7)
  })

  it('takes the latency of a service from the fleet stats', () => {
    for (let index = 0; index < 40; index++) tracker.applyFleetStats([['t1', { ...FLEET_STATS, latencyMs: 800 }], ['t2', { ...FLEET_STATS, latencyMs: 600 }], ['other', { ...FLEET_STATS, latencyMs: 9_000 }]])
    expect(tracker.serviceLatencyMs('s')).to.be.closeTo(700, 60)
  })

  it('counts an overdue request as a failure once, before it ends', () => {
    const open = tracker.startAttempt('t1', 's')
    clock.jumpMs(2_500)
    tracker.markOverdue()
    tracker.markOverdue()
    expect(tracker.collectCounters()[0]?.[1]).to.include({ failed: 1, inProgress: 1 })
    open.end('failed', 2_600)
    expect(tracker.collectCounters()[0]?.[1]).to.include({ failed: 1, inProgress: 0 })
  })

  it('does not count a changed estimate as use of an idle target', () => {
    const entry = { target: { ...fakeTarget('t1'), coldForMs: 0 }, warmAtMs: 0, firstSeenAtMs: 0 }
    tracker.startAttempt('t1', 's').end('failed', 1)
    clock.jumpMs(3_000)
    tracker.applyFleetStats([['t1', { ...FLEET_STATS, failingChance: 0.4, idleMs: 2_900 }]])
    expect(tracker.describeCandidate(entry, 'a', true).idleMs).to.equal(2_900)
  })

  it('counts its own requests in progress only once when adding those of others', () => {
    tracker.startAttempt('t1', 's')
    tracker.collectCounters()
    tracker.applyFleetStats([['t1', { ...FLEET_STATS, inProgress: 3 }]])
    expect(tracker.estimate('t1').inProgress).to.equal(3)
    tracker.startAttempt('t1', 's')
    expect(tracker.estimate('t1').inProgress).to.equal(4)
    clock.jumpMs(2_000)
    expect(tracker.estimate('t1').inProgress).to.equal(2)
  })
})
