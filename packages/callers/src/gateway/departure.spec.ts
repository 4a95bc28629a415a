import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import { Departure } from './departure.js'

describe('departure', () => {
  let clock: ManualClock
  let departure: Departure

  beforeEach(() => {
    clock = ManualClock.create()
    departure = Departure.create(clock)
  })

  it('takes requests until the balancer has noticed, and none that could be cut', async () => {
    await clock.advanceMs(60_000)
    expect(departure.isTaking).to.equal(true)
    departure.begin(6_000)
    await clock.advanceMs(2_800)
    expect(departure.isTaking).to.equal(true)
    await clock.advanceMs(200)
    expect(departure.isTaking).to.equal(false)
  })

  it('leaves half of a short grace time to what is in progress', async () => {
    departure.begin(3_000)
    await clock.advanceMs(1_600)
    expect(departure.isTaking).to.equal(false)
  })
})
