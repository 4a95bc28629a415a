import { expect } from 'chai'
import { SeededRandom } from '@lovagehoist/common'
import type { PlatformError } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/fakes'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { PlatformMetrics } from './platformMetrics.js'
import { ServiceCallLimiter } from './serviceCallLimiter.js'

const down = async (): Promise<Result<number, PlatformError>> => err({ kind: 'unavailable', message: 'down' })
const up = async (): Promise<Result<number, PlatformError>> => ok(1)

const createLimiter = (seed: number, clock = ManualClock.create()): { readonly clock: ManualClock, readonly guard: ServiceCallLimiter } => ({
  clock,
  guard: ServiceCallLimiter.create({ service: 'table', clock, random: SeededRandom.create(seed), metrics: PlatformMetrics.create(), concurrency: 2, maxQueued: 3 })
})

describe('ServiceCallLimiter', () => {
  it('opens the circuit after failures and lets one probe through after the backoff', async () => {
    const { clock, guard } = createLimiter(1)
    let calls = 0
    const count = (answer: typeof down) => async () => { calls++; return await answer() }
    for (let index = 0; index < 10; index++) await guard.run('read', count(down))
    expect(calls).to.equal(3)
    await clock.advanceMs(2_000)
    await Promise.all([1, 2, 3].map(async () => await guard.run('read', count(down))))
    expect(calls).to.equal(4)
    await clock.advanceMs(20_000)
    await guard.run('read', count(up))
    await guard.run('read', count(up))
    expect(calls).to.equal(6)
  })

  it('does not count rejected calls as failures', async () => {
    const { guard } = createLimiter(1)
    let calls = 0
    for (let index = 0; index < 10; index++) await guard.run('read', async () => { calls++; return err({ kind: 'rejected', message: 'wrong' }) })
    expect(calls).to.equal(10)
  })

  it('rejects calls when the queue is full', async () => {
    const { guard } = createLimiter(1)
    const never = async (): Promise<Result<number, PlatformError>> => await new Promise(() => {})
    for (let index = 0; index < 5; index++) guard.run('read', never).catch(() => {})
    const refused = await guard.run('write', up)
    expect(refused.isErr() && refused.error.kind).to.equal('unavailable')
  })

  it('spreads the probes of 470 daemons during an outage', async () => {
    const clock = ManualClock.create()
    const guards = Array.from({ length: 470 }, (_, index) => createLimiter(index + 1, clock).guard)
    const perSecond = new Map<number, number>()
    const run = async (answer: typeof down): Promise<void> => {
      await Promise.all(guards.map(async guard => await guard.run('write', async () => {
        const second = Math.floor(clock.monotonicMs() / 1_000)
        perSecond.set(second, (perSecond.get(second) ?? 0) + 1)
        return await answer()
      })))
    }
    for (let step = 0; step < 120; step++) {
      await run(down)
      await clock.advanceMs(500)
    }
    const outage = [...perSecond].filter(([second]) => second >= 30).map(([, calls]) => calls)
    expect(Math.max(...outage)).to.be.below(150)
  })
})
