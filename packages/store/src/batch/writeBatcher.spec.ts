import { expect } from 'chai'
import fc from 'fast-check'
import { SeededRandom } from '@lovagehoist/common'
import type { TableService, TableTransaction } from '@lovagehoist/common'
import { FakePlatform, ManualClock } from '@lovagehoist/common/fakes'
import { WriteBatcher } from './writeBatcher.js'

const MAX_DELAY_MS = 20

const claim = (key: string, version: number, id: string): TableTransaction => ({
  operationId: id, conditions: [{ table: 'claims', key, version }], writes: [{ type: 'put', table: 'claims', key, value: id }]
})

const createRig = () => {
  const clock = ManualClock.create()
  const { platform, faults } = FakePlatform.create(clock).connect()
  let writes = 0
  const table: TableService = { ...platform.table, transact: async transaction => { writes++; return await platform.table.transact(transaction) } }
  const batcher = WriteBatcher.create({ table, clock, random: SeededRandom.create(1), maxDelayMs: MAX_DELAY_MS, maxTransactions: 50 })
  return { clock, faults, table, batcher, writes: () => writes }
}

describe('WriteBatcher', () => {
  it('writes independent transactions in one batch', async () => {
    const { clock, batcher, writes } = createRig()
    const running = Array.from({ length: 30 }, async (_, index) => await batcher.transact(claim(`key-${index}`, 0, `id-${index}`)))
    await clock.advanceMs(MAX_DELAY_MS)
    const outcomes = await Promise.all(running)
    expect([writes(), outcomes.every(outcome => outcome.isOk() && outcome.value.type === 'applied' && outcome.value.rows.length === 1)]).to.deep.equal([1, true])
  })

  it('applies exactly the transactions reported as applied, and one of those that require the same row to be absent', async () => {
    const wanted = fc.array(fc.record({ key: fc.constantFrom('a', 'b', 'c', 'd'), version: fc.nat({ max: 2 }) }), { maxLength: 12 })
    await fc.assert(fc.asyncProperty(wanted, async claims => {
      const joint = createRig()
      const running = claims.map(async ({ key, version }, index) => await joint.batcher.transact(claim(key, version, `id-${index}`)))
      await joint.clock.advanceMs(MAX_DELAY_MS * 20)
      const together = (await Promise.all(running)).map(outcome => outcome.isOk() ? outcome.value.type : outcome.error.kind)
      const applied = new Set(together.flatMap((type, index) => type === 'applied' ? [`id-${index}`] : []))
      const rows = (await joint.table.list('claims', '')).unwrapOr([])
      for (const row of rows) expect(applied.has(String(row.value))).to.equal(true)
      expect(rows.reduce((sum, row) => sum + row.version, 0)).to.equal(applied.size)
      expect(applied.size).to.be.at.least(new Set(claims.filter(({ version }) => version === 0).map(({ key }) => key)).size)
    }), { seed: 3, numRuns: 300 })
  })

  it('reports an unknown outcome to every transaction of a batch when the response is lost', async () => {
    const { clock, batcher, faults } = createRig()
    faults.losesAnswers = true
    const running = ['a', 'b'].map(async key => await batcher.transact(claim(key, 0, key)))
    await clock.advanceMs(MAX_DELAY_MS)
    expect((await Promise.all(running)).map(outcome => outcome.isErr() && outcome.error.kind)).to.deep.equal(['unknown', 'unknown'])
  })
})
