import { expect } from 'chai'
import { createRegistry } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/fakes'
import { createEventLoopDelayTask } from './eventLoopDelay.js'

/** Guards against a process without processor time that looks like one that loses requests. */
describe('the delay of the event loop', () => {
  it('is what timers fire late', async () => {
    const clock = ManualClock.create()
    const registry = createRegistry({})
    const stopController = new AbortController()
    const done = createEventLoopDelayTask(clock, registry)(stopController.signal)
    await clock.advanceMs(500)
    clock.jumpMs(250 + 800)
    await clock.advanceMs(0)
    stopController.abort()
    await done
    const text = await registry.metrics()
    expect(text).to.match(/^lovagehoist_event_loop_delay_seconds_count 3$/m)
    expect(text).to.match(/^lovagehoist_event_loop_delay_seconds_bucket\{le="0.005"\} 2$/m)
    expect(text).to.match(/^lovagehoist_event_loop_delay_seconds_bucket\{le="0.5"\} 2$/m)
    expect(text).to.match(/^lovagehoist_event_loop_delay_seconds_sum 0.8$/m)
  })
})
