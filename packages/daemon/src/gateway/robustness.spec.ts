import { EventEmitter } from 'node:events'
import { expect } from 'chai'
import { silentLog } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/testing'
import { EarlySignals } from './earlySignals.js'
import { runTask } from './runTask.js'

describe('background tasks', () => {
  it('run again after an unexpected error instead of staying away for the life of the process', async () => {
    const clock = ManualClock.create()
    const stop = new AbortController()
    let runs = 0
    const task = async (): Promise<void> => {
      if (++runs < 3) throw new Error('unexpected')
      await new Promise(() => {})
    }
    runTask(task, { clock, log: silentLog }, stop.signal).catch(() => {})
    await clock.advanceMs(2_500)
    expect(runs).to.equal(3)
  })

  it('end with their signal', async () => {
    const clock = ManualClock.create()
    const stop = new AbortController()
    let runs = 0
    const task = async (): Promise<void> => {
      runs++
      throw new Error('unexpected')
    }
    runTask(task, { clock, log: silentLog }, stop.signal).catch(() => {})
    await clock.advanceMs(100)
    stop.abort()
    await clock.advanceMs(5_000)
    expect(runs).to.equal(1)
  })
})

describe('EarlySignals', () => {
  it('drains a daemon that was asked to stop while it was starting, so that requests it has just accepted are answered', () => {
    const source = new EventEmitter()
    const signals = EarlySignals.create(source)
    let drains = 0
    source.emit('SIGTERM')
    signals.handle('SIGTERM', () => { drains++ })
    expect(drains).to.equal(1)
  })

  it('calls the handler of a signal for each one that arrives later, and for none of the other signal', () => {
    const source = new EventEmitter()
    const signals = EarlySignals.create(source)
    let [reloads, lateReloads, stops] = [0, 0, 0]
    signals.handle('SIGHUP', () => { reloads++ })
    for (const signal of ['SIGHUP', 'SIGTERM', 'SIGHUP']) source.emit(signal)
    signals.handle('SIGHUP', () => { lateReloads++ })
    signals.handle('SIGTERM', () => { stops++ })
    expect([reloads, lateReloads, stops]).to.deep.equal([2, 0, 1])
  })
})
