import { expect } from 'chai'
import { SystemClock } from './systemClock.js'

describe('SystemClock', () => {
  it('does not run a timer at once whose time is longer than the system can wait', async () => {
    const clock = SystemClock.create()
    let runs = 0
    const cancels = [2 ** 31, 1e12, Infinity].map(durationMs => clock.after(durationMs, () => { runs++ }))
    await clock.sleepMs(20)
    for (const cancel of cancels) cancel()
    expect(runs).to.equal(0)
  })
})
