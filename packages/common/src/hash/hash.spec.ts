import { expect } from 'chai'
import { rankByRendezvous } from './hash.js'

describe('rankByRendezvous', () => {
  it('moves only the keys of a removed candidate', () => {
    const names = Array.from({ length: 20 }, (_, index) => `daemon-${index}`)
    const remaining = names.filter(name => name !== 'daemon-7')
    const keys = Array.from({ length: 200 }, (_, index) => `target-${index}`)
    const moved = keys.filter(key => rankByRendezvous(key, names)[0] !== rankByRendezvous(key, remaining)[0])
    const owned = keys.filter(key => rankByRendezvous(key, names)[0] === 'daemon-7')
    expect(moved).to.deep.equal(owned)
    expect(owned).to.have.length.above(0)
  })
})
