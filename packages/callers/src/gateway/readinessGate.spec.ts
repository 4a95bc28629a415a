import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import { ReadinessGate } from './readinessGate.js'

describe('ReadinessGate', () => {
  const GONE = new AbortController().signal
  let clock: ManualClock
  let isReady: boolean
  let gate: ReadinessGate
  let passedAtMs: number[]

  const sendThrough = (remainingMs: number, disconnectSignal = GONE): void => {
    gate.waitUntilReady(remainingMs, disconnectSignal).then(() => { passedAtMs.push(clock.monotonicMs()) }).catch(() => {})
  }

  beforeEach(() => {
    clock = ManualClock.create()
    isReady = false
    passedAtMs = []
    gate = ReadinessGate.create({ clock, isReady: () => isReady })
  })

  it('delays requests during startup until the daemon is ready', async () => {
    sendThrough(6_000)
    await clock.advanceMs(200)
    expect(passedAtMs).to.deep.equal([])
    isReady = true
    await clock.advanceMs(20)
    expect(passedAtMs).to.deep.equal([210])
  })

  it('delays no request beyond the startup time, and none that arrives later', async () => {
    sendThrough(60_000)
    await clock.advanceMs(1_600)
    expect(passedAtMs).to.deep.equal([1_000])
    sendThrough(60_000)
    await clock.advanceMs(0)
    expect(passedAtMs).to.have.length(2)
  })

  it('delays a request only for a share of its remaining time, and not at all once its caller has disconnected', async () => {
    sendThrough(400)
    sendThrough(6_000, AbortSignal.abort())
    await clock.advanceMs(120)
    expect(passedAtMs).to.have.length(2)
  })
})
