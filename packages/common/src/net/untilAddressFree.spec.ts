import { expect } from 'chai'
import { silentLog } from '../log/log.js'
import { ManualClock } from '../fakes/manualClock.js'
import { addressWaitMs, untilAddressFree } from './untilAddressFree.js'

const inUse = (): Error => Object.assign(new Error('in use'), { code: 'EADDRINUSE' })

describe('untilAddressFree', () => {
  const waitFor = async (graceMs: number, freeAtMs: number): Promise<string> => {
    const clock = ManualClock.create()
    const listen = async (): Promise<string> => {
      if (clock.monotonicMs() < freeAtMs) throw inUse()
      return 'listening'
    }
    const listening = untilAddressFree(listen, { clock, log: silentLog, stopSignal: new AbortController().signal, maxWaitMs: addressWaitMs(graceMs) }).then(result => result ?? 'stopped', (error: unknown) => String(error))
    await clock.advanceMs(60_000)
    return await listening
  }

  it('waits for an earlier process that takes the whole of a long grace period to leave', async () => {
    expect(await waitFor(30_000, 30_000)).to.equal('listening')
  })

  it('gives up an address that does not become free', async () => {
    expect(await waitFor(6_000, Infinity)).to.equal('Error: in use')
  })
})
