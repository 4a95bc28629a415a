import { expect } from 'chai'
import { silentLog } from '@lovagehoist/common'
import type { AcceptedConfig, ConfigSource, EventConfig } from '@lovagehoist/common'
import { ManualClock, fakeTarget } from '@lovagehoist/common/fakes'
import { EventWarmer } from './eventWarmer.js'

const EPOCH_MS = 1_800_000_000_000
const MINUTE_MS = 60_000
/** The epoch of the test is 08:00 in UTC. */
const event: EventConfig = { id: 'e', services: ['burnbook'], startsAt: '08:10', timeZone: 'UTC', weekdays: [], leadMs: 2 * MINUTE_MS, durationMs: MINUTE_MS }

describe('EventWarmer', () => {
  it('opens connections in the time before an event only', async () => {
    const clock = ManualClock.create(EPOCH_MS)
    const warmed: Array<{ readonly atMs: number, readonly id: string, readonly connections: number }> = []
    let accept = (_config: AcceptedConfig): void => {}
    const config: ConfigSource = {
      current: () => undefined,
      onChange: listener => {
        accept = listener
        return () => {}
      }
    }
    const warmer = EventWarmer.create({
      clock,
      log: silentLog,
      config,
      sender: {
        send: async () => await Promise.reject(new Error('not used')),
        warm: async (target, connections) => { warmed.push({ atMs: clock.monotonicMs(), id: target.id, connections }) },
        closeIdleConnections: () => {}
      },
      plan: () => ({ targets: [fakeTarget('t1')], connectionsPerTarget: 3 })
    })
    accept({ version: 1, digest: '', document: { events: [event] } } as unknown as AcceptedConfig)
    const stop = new AbortController()
    const running = warmer.run(stop.signal)
    await clock.advanceMs(12 * MINUTE_MS)
    stop.abort()
    await running
    expect(warmed.length).to.be.above(0)
    expect(Math.min(...warmed.map(({ atMs }) => atMs))).to.equal(8 * MINUTE_MS)
    expect(Math.max(...warmed.map(({ atMs }) => atMs))).to.be.below(10 * MINUTE_MS)
    expect(warmed[0]).to.deep.equal({ atMs: 8 * MINUTE_MS, id: 't1', connections: 3 })
  })
})
