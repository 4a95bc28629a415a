import { expect } from 'chai'
import { runGatewaySoak } from './runGatewaySoak.js'

/** Guarantees with a time limit, which a busy test machine may miss by itself; manual soak runs check them. */
const TIMED_GUARANTEES = new Set(['run-after-drain', 'config-late', 'not-recovered'])

/** Start, end of the faults and recovery take half a minute on a busy machine. */
const TEST_TIMEOUT_MS = 180_000

describe('gateway soak (short)', () => {
  it('violates no guarantee with real processes under faults injected from outside', async () => {
    const { breaches, requests } = await runGatewaySoak({ seed: 3, durationMs: 6_000, instances: 3, callers: 12, progress: () => {} })
    expect(breaches.filter(({ kind }) => !TIMED_GUARANTEES.has(kind))).to.deep.equal([])
    expect(requests).to.be.greaterThan(0)
  }).timeout(TEST_TIMEOUT_MS)
})
