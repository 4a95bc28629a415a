import { expect } from 'chai'
import fc from 'fast-check'
import { Invariants, createRegistry, silentLog } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/fakes'
import { GOSSIP_TOPICS } from '../wire/messages.js'
import { ByteBudget } from './byteBudget.js'

const LIMIT = 18_000

const create = (): { readonly clock: ManualClock, readonly budget: ByteBudget, readonly breaches: () => number } => {
  const clock = ManualClock.create()
  const invariants = Invariants.create({ clock, log: silentLog, registry: createRegistry({}) })
  return { clock, budget: ByteBudget.create({ bytesPerSecond: LIMIT, clock, invariants }), breaches: () => invariants.breaches().length }
}

describe('ByteBudget', () => {
  it('keeps every window within the budget when senders use their full allowance', async () => {
    await fc.assert(fc.asyncProperty(fc.array(fc.record({ topic: fc.constantFrom(...GOSSIP_TOPICS.slice(1)), waitMs: fc.integer({ min: 0, max: 3_000 }) }), { maxLength: 200 }), async steps => {
      const { clock, budget, breaches } = create()
      for (const { topic, waitMs } of steps) {
        await clock.advanceMs(waitMs)
        budget.spend(budget.allowance(topic, 100))
      }
      expect(breaches()).to.equal(0)
    }), { seed: 1, numRuns: 100 })
  })

  it('allows calls while the window has capacity, even if the bucket is empty', async () => {
    const { clock, budget, breaches } = create()
    budget.spend(4 * LIMIT)
    expect(budget.allowance('evidence', 100)).to.equal(0)
    expect(budget.fits(1_000, 0.9)).to.equal(true)
    while (budget.fits(1_000, 0.9)) budget.spend(1_000)
    expect(breaches()).to.equal(0)
    await clock.advanceMs(10_000)
    expect(budget.fits(1_000, 0.9)).to.equal(true)
  })

  it('reports an invariant breach when the budget is exceeded', () => {
    const { budget, breaches } = create()
    budget.spend(10 * LIMIT + 1)
    expect(breaches()).to.equal(1)
  })

  it('allows less for less important topics and for receivers without free budget', () => {
    const { budget } = create()
    const order = ['config', 'ejection', 'leaving', 'poison', 'evidence', 'load'] as const
    const allowed = order.map(topic => budget.allowance(topic, 100))
    expect(allowed).to.deep.equal([...allowed].sort((a, b) => b - a))
    expect(order.map(topic => budget.allowance(topic, 0))).to.deep.equal([1_024, 0, 0, 0, 0, 0])
  })
})
