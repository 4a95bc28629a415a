import { expect } from 'chai'
import type { Candidate } from './candidate.js'
import { describeRoom } from './describeRoom.js'

const candidate = (change: Partial<Candidate> = {}): Candidate => ({
  targetId: 't', slots: 2, inProgress: 1, failingChance: 0, refusalShare: 0, serviceTimeMs: 200, isOwnZone: true, isConnected: true, idleMs: 0, isNew: false, ...change
})

describe('describeRoom', () => {
  it('sums up slots and requests in progress, and averages refusals', () => {
    expect(describeRoom([candidate(), candidate({ slots: 4, inProgress: 7, refusalShare: 0.5 })], 200))
      .to.deep.equal({ targets: 2, slots: 6, inProgress: 8, serviceTimeMs: 200, refusalShare: 0.25 })
  })

  it('counts slow and failing targets in part together with what waits there, so that they cause no refusals while others have free slots', () => {
    const sound = Array.from({ length: 6 }, () => candidate({ inProgress: 0 }))
    const slow = Array.from({ length: 4 }, () => candidate({ inProgress: 10, serviceTimeMs: 1_600 }))
    const failing = Array.from({ length: 4 }, () => candidate({ inProgress: 10, failingChance: 0.95 }))
    for (const bad of [slow, failing]) {
      const { slots, inProgress } = describeRoom([...sound, ...bad], 200)
      expect(inProgress / slots).to.be.below(1)
    }
  })

  it('knows no slots without targets', () => {
    expect(describeRoom([], 200)).to.deep.equal({ targets: 0, slots: 0, inProgress: 0, serviceTimeMs: 200, refusalShare: 0 })
  })
})
