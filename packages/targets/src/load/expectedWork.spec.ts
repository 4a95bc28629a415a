import { expect } from 'chai'
import { slowChanceAt, updateSlowness } from '../condition/slownessEstimate.js'
import { ExpectedWork } from './expectedWork.js'

describe('ExpectedWork', () => {
  it('is not changed by a minority of slow targets or of long responses', () => {
    const work = ExpectedWork.create()
    for (const [id, latencyMs] of [['a', 300], ['b', 320], ['c', 3_800], ['d', 280], ['e', 900]] as const) work.recordTarget('s', id, latencyMs, 0, 0)
    expect(work.serviceLatencyMs('s')).to.equal(320)
    for (let response = 0; response < 100; response++) work.recordResponse('s', 'route', response % 33 === 0 ? 2_240 : 320)
    expect(work.expectedMs('s', 'route')).to.be.within(300, 420)
  })

  it('tells the classes of a service apart, and takes an unknown one for the mean', () => {
    const work = ExpectedWork.create()
    work.recordTarget('s', 'a', 400, 0, 0)
    for (let response = 0; response < 40; response++) {
      work.recordResponse('s', 'long', 1_200)
      work.recordResponse('s', 'short', 100)
    }
    expect(work.expectedMs('s', 'long')).to.be.closeTo(1_200, 100)
    expect(work.expectedMs('s', 'short')).to.be.closeTo(100, 20)
    expect(work.expectedMs('s', 'other')).to.equal(400)
  })

  it('takes no target for slow when most of them are', () => {
    const work = ExpectedWork.create()
    for (const id of ['a', 'b', 'c']) work.recordTarget('s', id, 400, 0.9, 0)
    expect(work.isSlowAsWhole('s')).to.equal(true)
    work.recordTarget('s', 'a', 400, 0.1, 0)
    work.recordTarget('s', 'b', 400, 0.1, 0)
    expect(work.isSlowAsWhole('s')).to.equal(false)
  })
})

describe('slowness estimate', () => {
  it('needs two overruns to mark a target and two prompt responses to clear it', () => {
    const once = updateSlowness(undefined, { prompt: 0, overrun: 1 }, 0)
    expect(slowChanceAt(once, 0)).to.be.below(0.5)
    const marked = updateSlowness(once, { prompt: 0, overrun: 2 }, 0)
    expect(slowChanceAt(marked, 0)).to.be.above(0.9)
    expect(slowChanceAt(updateSlowness(marked, { prompt: 1, overrun: 0 }, 0), 0)).to.be.within(0.5, 0.9)
    expect(slowChanceAt(updateSlowness(marked, { prompt: 2, overrun: 0 }, 0), 0)).to.be.below(0.5)
  })
})
