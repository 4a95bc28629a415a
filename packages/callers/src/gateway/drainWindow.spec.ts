import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import { DrainWindow } from './drainWindow.js'

describe('DrainWindow', () => {
  let clock: ManualClock
  let drainWindow: DrainWindow

  beforeEach(() => {
    clock = ManualClock.create()
    drainWindow = DrainWindow.create(clock)
  })

  it('accepts requests until the load balancer has reacted, and none afterwards that could be cut off', async () => {
    await clock.advanceMs(60_000)
    expect(drainWindow.isAccepting).to.equal(true)
    drainWindow.begin(6_000)
    await clock.advanceMs(2_800)
    expect(drainWindow.isAccepting).to.equal(true)
    await clock.advanceMs(200)
    expect(drainWindow.isAccepting).to.equal(false)
  })

  it('reserves half of a short grace period for requests in progress', async () => {
    drainWindow.begin(3_000)
    await clock.advanceMs(1_600)
    expect(drainWindow.isAccepting).to.equal(false)
  })

  it('lets requests be passed on as long as they can be expected to end before they are cut off', async () => {
    const needs = (usualMs: number, isIdempotent: boolean, deadlineInMs = 10_000) => ({ usualMs, isIdempotent, deadlineAtMs: clock.monotonicMs() + deadlineInMs })
    const canFinish = (usualMs: number) => [true, false].map(isIdempotent => drainWindow.canFinish(needs(usualMs, isIdempotent)))
    drainWindow.begin(6_000)
    expect([canFinish(300), canFinish(2_000), canFinish(3_000)]).to.deep.equal([[true, true], [true, true], [false, false]])
    await clock.advanceMs(3_300)
    expect([canFinish(200), canFinish(300), canFinish(600)]).to.deep.equal([[true, true], [true, false], [false, false]])
    expect(drainWindow.canFinish(needs(600, false, 1_800))).to.equal(true)
    await clock.advanceMs(1_850)
    expect(canFinish(10)).to.deep.equal([true, false])
  })

  it('tells the moment from which a request that is still read cannot be passed on, also if it was read before the shutdown', async () => {
    const toldAtMs: number[] = []
    const needs = { usualMs: 300, isIdempotent: false, deadlineAtMs: 100_000 }
    drainWindow.watch(needs, () => { toldAtMs.push(clock.monotonicMs()) })
    drainWindow.watch(needs, () => { toldAtMs.push(-1) })()
    await clock.advanceMs(1_000)
    drainWindow.begin(6_000)
    drainWindow.watch(needs, () => { toldAtMs.push(clock.monotonicMs()) })
    await clock.advanceMs(6_000)
    expect(toldAtMs).to.deep.equal([3_900, 3_900])
  })
})
