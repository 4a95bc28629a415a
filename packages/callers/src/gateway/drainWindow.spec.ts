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
})
