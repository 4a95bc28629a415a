import { expect } from 'chai'
import fc from 'fast-check'
import { Invariants, SeededRandom, createRegistry, silentLog } from '@lovagehoist/common'
import { FakePlatform, ManualClock } from '@lovagehoist/common/fakes'
import { Lease } from './lease.js'

const TTL_MS = 10_000

const createRig = () => {
  const clock = ManualClock.create()
  const store = FakePlatform.create(clock)
  const open = (holder: string, seed: number) => {
    const { platform, faults } = store.connect()
    const invariants = Invariants.create({ clock, log: silentLog, registry: createRegistry({}) })
    return { lease: Lease.create({ name: 'sweep', holder, ttlMs: TTL_MS, table: platform.table, clock, random: SeededRandom.create(seed), invariants }), faults, platform }
  }
  return { clock, open }
}

describe('Lease', () => {
  it('discards the result of work when the lease expired during a pause of the process', async () => {
    const { clock, open } = createRig()
    const { lease } = open('one', 1)
    expect((await lease.acquire()).isOk()).to.equal(true)
    const result = await lease.run(async () => { clock.jumpMs(TTL_MS); return 'done' })
    expect(result.isErr() && result.error.kind).to.equal('lapsed')
    expect(lease.condition()).to.equal(undefined)
  })

  it('rejects the write of a former holder by the condition on the lease row', async () => {
    const { clock, open } = createRig()
    const [one, two] = [open('one', 1), open('two', 2)]
    await one.lease.acquire()
    const condition = one.lease.condition()
    await two.lease.acquire()
    await clock.advanceMs(TTL_MS * 1.25)
    expect((await two.lease.acquire()).isOk()).to.equal(true)
    const late = await one.platform.table.transact({ operationId: 'late', conditions: condition === undefined ? [] : [condition], writes: [{ type: 'put', table: 't', key: 'k', value: 1 }] })
    expect(late.isOk() && late.value.type).to.equal('conflict')
  })

  it('determines the outcome by reading the row when the response is lost', async () => {
    const { open } = createRig()
    const { lease, faults } = open('one', 1)
    faults.losesAnswers = true
    expect((await lease.acquire()).isOk()).to.equal(true)
    expect(lease.fence()).to.equal(1)
  })

  it('is never held by two processes, and its fencing token never decreases', async () => {
    const step = fc.record({ who: fc.nat({ max: 2 }), action: fc.constantFrom('acquire', 'acquire', 'release', 'lose', 'down', 'up'), waitMs: fc.integer({ min: 0, max: 15_000 }), isPause: fc.boolean() })
    await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 60 }), async steps => {
      const { clock, open } = createRig()
      const users = ['one', 'two', 'three'].map((holder, index) => open(holder, index + 1))
      let highest = 0
      for (const { who, action, waitMs, isPause } of steps) {
        if (isPause) clock.jumpMs(waitMs)
        else await clock.advanceMs(waitMs)
        const user = users[who]
        if (user === undefined) continue
        const { lease, faults } = user
        if (action === 'lose') faults.losesAnswers = true
        if (action === 'down') faults.isDown = true
        if (action === 'up') Object.assign(faults, { losesAnswers: false, isDown: false })
        if (action === 'release') await lease.release()
        const got = action === 'acquire' ? await lease.acquire() : undefined
        const fences = users.flatMap(({ lease }) => lease.fence() ?? [])
        expect(fences.length).to.be.at.most(1)
        if (got?.isOk() === true) {
          expect(got.value).to.be.at.least(highest)
          highest = got.value
        }
      }
    }), { seed: 5, numRuns: 300 })
  })
})
