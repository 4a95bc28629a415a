import { expect } from 'chai'
import { runFuzz } from './runFuzz.js'

const STEPS = 1_500

describe('request path under random steps', () => {
  for (const seed of [1, 2]) {
    it(`violates no guarantee (seed ${seed})`, async () => {
      const summary = await runFuzz({ seed, steps: STEPS })
      expect(summary.breaches).to.deep.equal([])
      expect(summary.requests).to.be.greaterThan(STEPS / 2)
    })
  }
})
