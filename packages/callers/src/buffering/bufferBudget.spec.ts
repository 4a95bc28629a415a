import { expect } from 'chai'
import fc from 'fast-check'
import { BufferBudget, bufferCapacityOf } from './bufferBudget.js'
import type { BufferRefusal } from './bufferBudget.js'
import type { BufferHold } from './bufferHold.js'

const CAPACITY = 1_048_576
const SEED = 5

interface Breach {
  readonly name: string
}

const createBudget = (breaches: Breach[] = []): BufferBudget =>
  BufferBudget.create({ capacityBytes: CAPACITY, invariants: { check: (name, holds) => { if (!holds) breaches.push({ name }) } } })

/** Claims room for a body and records how the claim was settled. */
const claim = (hold: BufferHold, bytes: number, priority = 1): { result: BufferRefusal | 'granted' | 'waiting', withdraw: () => void } => {
  const state: ReturnType<typeof claim> = { result: 'waiting', withdraw: () => {} }
  state.withdraw = hold.claimBody({ bytes, bodyBytes: bytes, priority, settle: refusal => { state.result = refusal ?? 'granted' } })
  return state
}

describe('BufferBudget', () => {
  it('grants small bodies ahead of a large one that does not fit, and by priority before size', () => {
    const budget = createBudget()
    const [first, second] = [budget.open(), budget.open()]
    claim(first, CAPACITY / 2)
    second.addResponse(CAPACITY / 2)
    const large = claim(budget.open(), CAPACITY * 3 / 4)
    const small = claim(budget.open(), 1_000)
    const urgent = claim(budget.open(), CAPACITY / 4 - 500, 0)
    first.close()
    expect([large.result, small.result, urgent.result]).to.deep.equal(['waiting', 'granted', 'granted'])
    second.close()
    expect(large.result).to.equal('waiting')
  })

  it('grants nothing to a less urgent body that an urgent one has taken the room of', () => {
    const budget = createBudget()
    const first = budget.open()
    claim(first, CAPACITY * 3 / 4)
    const [less, more] = [claim(budget.open(), CAPACITY / 2, 2), claim(budget.open(), CAPACITY / 2, 0)]
    first.close()
    expect([less.result, more.result]).to.deep.equal(['waiting', 'granted'])
  })

  it('refuses what never fits at once, and the largest and least valuable ones when too many wait', () => {
    const budget = createBudget()
    expect(claim(budget.open(), CAPACITY * 3 / 4 + 1).result).to.equal('too-large')
    budget.add('body', CAPACITY)
    const claims = [[100, 2], [900, 1], [300, 1], [200, 0], [500, 2]].map(([bytes, priority]) => claim(budget.open(), bytes ?? 0, priority))
    expect(claims.map(({ result }) => result)).to.deep.equal(['waiting', 'waiting', 'waiting', 'waiting', 'no-room'])
    expect(claim(budget.open(), 50, 0).result).to.equal('waiting')
    expect(claims[0]?.result).to.equal('no-room')
    expect([budget.waitingCount, budget.refusedFor('no-room'), budget.refusedFor('too-large')]).to.deep.equal([4, 2, 1])
  })

  it('keeps room for the usual bodies, whatever callers leave unread and however slowly large bodies arrive', () => {
    const budget = createBudget()
    expect(budget.open().tryReserveResponse(CAPACITY / 2)).to.equal(true)
    expect(budget.open().tryReserveResponse(1)).to.equal(false)
    expect(claim(budget.open(), CAPACITY / 4).result).to.equal('granted')
    expect(claim(budget.open(), CAPACITY / 8).result).to.equal('waiting')
    expect([1, 2, 3, 4].map(() => claim(budget.open(), CAPACITY / 16).result)).to.deep.equal(['granted', 'granted', 'granted', 'granted'])
  })

  it('reads no more of responses than fits, in the order in which their readers asked, and counts a read until its bytes arrive', () => {
    const budget = createBudget()
    const holds = Array.from({ length: 20 }, () => budget.open())
    const reads: number[] = []
    for (const [index, hold] of holds.entries()) hold.awaitReadRoom(() => { reads.push(index) })
    expect([reads.length, budget.heldFor('response'), budget.waitingReadCount]).to.deep.equal([16, CAPACITY, 4])
    holds[0]?.addResponse(1_000)
    expect([reads.length, budget.heldFor('response')]).to.deep.equal([16, CAPACITY - 65_536 + 1_000])
    holds[0]?.releaseResponse(1_000)
    holds[17]?.close()
    holds[1]?.close()
    expect([reads.slice(16), budget.waitingReadCount]).to.deep.equal([[16, 18], 1])
    for (const hold of holds) hold.close()
    expect([budget.heldFor('response'), budget.waitingReadCount]).to.deep.equal([0, 0])
  })

  it('grants reads one after another when each of them releases its bytes at once', () => {
    const budget = createBudget()
    const filling = budget.open()
    filling.addResponse(CAPACITY)
    const count = 20_000
    let reads = 0
    for (let index = 0; index < count; index++) {
      const hold = budget.open()
      hold.awaitReadRoom(() => {
        reads++
        hold.close()
      })
    }
    filling.close()
    expect([reads, budget.heldFor('response')]).to.deep.equal([count, 0])
  })

  it('reports a corrupt count and starts again at zero', () => {
    const breaches: Breach[] = []
    const budget = createBudget(breaches)
    budget.release('body', 10)
    expect([budget.heldFor('body'), breaches.map(({ name }) => name)]).to.deep.equal([0, ['buffer-budget']])
  })

  it('holds nothing once all requests have ended, in whatever order they reserve, release and end', () => {
    const step = fc.record({ request: fc.nat(5), action: fc.constantFrom('body', 'response', 'add', 'read', 'shrink', 'release', 'withdraw', 'close'), bytes: fc.integer({ min: 0, max: CAPACITY }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
      const breaches: Breach[] = []
      const budget = createBudget(breaches)
      const holds = Array.from({ length: 6 }, () => budget.open())
      const withdrawals = new Map<number, () => void>()
      for (const { request, action, bytes } of steps) {
        const hold = holds[request] as BufferHold
        if (action === 'body') withdrawals.set(request, claim(hold, bytes, request % 3).withdraw)
        if (action === 'response') hold.tryReserveResponse(bytes)
        if (action === 'read') hold.awaitReadRoom(() => {})
        if (action === 'add') hold.addResponse(bytes % 65_536)
        if (action === 'shrink') hold.shrinkBody(bytes)
        if (action === 'release') hold.releaseResponse(bytes)
        if (action === 'withdraw') withdrawals.get(request)?.()
        if (action === 'close') hold.close()
        expect(budget.heldFor('body')).to.equal(holds.reduce((sum, one) => sum + one.heldFor('body'), 0)).and.to.be.at.most(CAPACITY)
        expect(budget.heldFor('response')).to.equal(holds.reduce((sum, one) => sum + one.heldFor('response'), 0))
      }
      for (const hold of holds) hold.close()
      expect([budget.heldFor('body'), budget.heldFor('response'), budget.waitingCount, budget.waitingReadCount, breaches.length]).to.deep.equal([0, 0, 0, 0, 0])
    }), { seed: SEED, numRuns: 500 })
  })
})

describe('bufferCapacityOf', () => {
  it('leaves the process its own memory on the smallest and the largest machines', () => {
    expect([100, 202, 602].map(memoryMb => bufferCapacityOf(memoryMb) / 1_048_576)).to.deep.equal([8, 26, 226])
  })
})
