import { expect } from 'chai'
import { runStopSoak } from './runStopSoak.js'

/** Start, stops and the last grace period take half a minute on a busy machine. */
const TEST_TIMEOUT_MS = 180_000

describe('gateway soak of planned stops (short)', () => {
  it('loses no request and ends no process by itself while instances are stopped and replaced', async () => {
    const { breaches, faults, requests } = await runStopSoak({ seed: 1, durationMs: 8_000, instances: 4, callers: 24, progress: () => {} })
    expect({ breaches, faults }).to.deep.equal({ breaches: [], faults: [] })
    expect(requests).to.be.greaterThan(0)
  }).timeout(TEST_TIMEOUT_MS)
})
