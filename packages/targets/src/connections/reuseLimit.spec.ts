import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import { ReuseLimit } from './reuseLimit.js'

describe('limit of reuse', () => {
  let clock: ManualClock
  let limit: ReuseLimit

  beforeEach(() => {
    clock = ManualClock.create()
    limit = ReuseLimit.create(clock)
  })

  it('falls below the rest after which connections were found forgotten', () => {
    expect(limit.limitMs).to.equal(30_000)
    expect(limit.noteReset(900, 4)).to.equal(true)
    expect(limit.limitMs).to.equal(450)
    expect(limit.noteReset(400, 4)).to.equal(true)
    expect(limit.limitMs).to.equal(200)
  })

  it('takes no reset in the middle of work for a forgotten connection', () => {
    expect(limit.noteReset(900, 200)).to.equal(false)
    expect(limit.noteReset(20, 4)).to.equal(false)
    expect(limit.limitMs).to.equal(30_000)
  })

  it('is as before when none has been found for a while', async () => {
    limit.noteReset(900, 4)
    await clock.advanceMs(9_000)
    expect(limit.limitMs).to.equal(450)
    await clock.advanceMs(1_500)
    expect(limit.limitMs).to.equal(30_000)
  })
})
