import { expect } from 'chai'
import { runFuzz } from './runFuzz.js'

const STEPS = 1_500

describe('the request path under random actions', () => {
  for (const seed of [1, 2]) {
    it(`keeps its promises (seed ${seed})`, async () => {
      const summary = await runFuzz({ seed, steps: STEPS })
      expect(summary.breaches).to.deep.equal([])
      expect(summary.requests).to.be.greaterThan(STEPS / 2)
    })
  }
})
