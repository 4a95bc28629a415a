import { expect } from 'chai'
import { ManualClock } from '@lovagehoist/common/testing'
import { StartGate } from './startGate.js'

describe('start gate', () => {
  const GONE = new AbortController().signal
  let clock: ManualClock
  let isOpen: boolean
  let gate: StartGate
  let passedAtMs: number[]

  const pass = (leftMs: number, gone = GONE): void => {
    gate.pass(leftMs, gone).then(() => { passedAtMs.push(clock.monotonicMs()) }).catch(() => {})
  }

  beforeEach(() => {
    clock = ManualClock.create()
    isOpen = false
    passedAtMs = []
    gate = StartGate.create({ clock, isOpen: () => isOpen })
  })

  it('holds requests of the first moments until the daemon can serve', async () => {
    pass(6_000)
    await clock.advanceMs(200)
    expect(passedAtMs).to.deep.equal([])
    isOpen = true
    await clock.advanceMs(20)
    expect(passedAtMs).to.deep.equal([210])
  })

  it('holds nothing for longer than a start takes, and nothing later', async () => {
    pass(60_000)
    await clock.advanceMs(1_600)
    expect(passedAtMs).to.deep.equal([1_000])
    pass(60_000)
    await clock.advanceMs(0)
    expect(passedAtMs).to.have.length(2)
  })

  it('holds a request with little time only for a part of it, and none whose caller left', async () => {
    pass(400)
    pass(6_000, AbortSignal.abort())
    await clock.advanceMs(120)
    expect(passedAtMs).to.have.length(2)
  })
})
