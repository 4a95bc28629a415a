import { expect } from 'chai'
import fc from 'fast-check'
import { Registry } from 'prom-client'
import { SeededRandom } from '@lovagehoist/common'
import type { RouteConfig } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/fakes'
import { Admission } from './admission.js'
import type { AdmissionNeed } from './admissionTypes.js'
import { AdmissionMetrics } from './admissionMetrics.js'
import { FairQueue } from './fairQueue.js'

const SEED = 47
const RUN_MS = 100

const routeOf = (priority: RouteConfig['priority']): RouteConfig => ({
  id: priority,
  methods: ['GET'],
  path: '/x',
  service: 'burnbook',
  isIdempotent: true,
  keyOutage: 'refuse',
  keyLifetimeMs: 1_000,
  priority,
  timeoutMs: 10_000,
  maxRequestBytes: 1,
  heldAnswerBytes: 1
})

/** Admission in front of a service whose requests take 100 ms. */
class AdmissionBench {
  readonly clock = ManualClock.create()
  readonly started: string[] = []
  readonly ended: Array<{ readonly name: string, readonly reason: string, readonly atMs: number, readonly retryAfterMs: number }> = []
  readonly admission: Admission

  constructor (capacity: number) {
    const { clock } = this
    this.admission = Admission.create({ clock, random: SeededRandom.create(SEED), capacity: () => capacity, metrics: AdmissionMetrics.create(new Registry()) })
  }

  send (name: string, change: Partial<AdmissionNeed> & { readonly priority?: RouteConfig['priority'], readonly weight?: number } = {}): Promise<void> {
    const account = { id: name.split('-')[0] ?? '', limits: { maxInFlight: 1_000, weight: change.weight ?? 10 }, isListed: true }
    const deadlineAtMs = this.clock.monotonicMs() + 10_000
    const need = { route: routeOf(change.priority ?? 'normal'), account, maxQueued: 1_000, deadlineAtMs, gone: new AbortController().signal, ...change }
    const work = async (): Promise<void> => {
      this.started.push(name)
      await this.clock.sleepMs(RUN_MS)
    }
    return this.admission.admit(need, work).then(result => {
      const refusal = result.isErr() ? result.error : { reason: 'done', retryAfterMs: 0 }
      this.ended.push({ name, ...refusal, atMs: this.clock.monotonicMs() })
    })
  }

  /** Lets the service learn how long requests take. */
  async learn (): Promise<void> {
    const first = this.send('first')
    await this.clock.advanceMs(RUN_MS)
    await first
  }
}

describe('Admission', () => {
  it('runs payments first and background last', async () => {
    const bench = new AdmissionBench(1)
    const all = [bench.send('a-0'), bench.send('a-1', { priority: 'background' }), bench.send('a-2'), bench.send('a-3', { priority: 'payment' })]
    await bench.clock.advanceMs(1_000)
    await Promise.all(all)
    expect(bench.started).to.deep.equal(['a-0', 'a-3', 'a-2', 'a-1'])
  })

  it('does not let one account starve another', async () => {
    const bench = new AdmissionBench(1)
    const all = Array.from({ length: 30 }, async (_, index) => { await bench.send(`greedy-${index}`) })
    all.push(bench.send('small-0'), bench.send('small-1'))
    await bench.clock.advanceMs(400)
    expect(bench.started).to.include.members(['small-0', 'small-1'])
    await bench.clock.advanceMs(10_000)
    await Promise.all(all)
  })

  it('refuses at once what can not be finished, with a time to come back', async () => {
    const bench = new AdmissionBench(1)
    await bench.learn()
    const all = Array.from({ length: 40 }, async (_, index) => { await bench.send(`a-${index}`, { deadlineAtMs: bench.clock.monotonicMs() + 2_000 }) })
    await bench.clock.advanceMs(0)
    const refused = bench.ended.filter(({ reason }) => reason === 'too-late')
    expect(refused).to.have.length.within(30, 39)
    for (const { retryAfterMs } of refused) expect(retryAfterMs).to.be.within(500, 3 * 2_000)
    expect(new Set(refused.map(({ retryAfterMs }) => retryAfterMs)).size).to.be.above(10)
    await bench.clock.advanceMs(5_000)
    await Promise.all(all)
  })

  it('gives up a request that waits too long at that moment, not at its deadline', async () => {
    const bench = new AdmissionBench(1)
    const stuck = bench.admission.admit({ route: routeOf('normal'), account: { id: 's', limits: { maxInFlight: 9, weight: 1 }, isListed: true }, maxQueued: 9, deadlineAtMs: 100_000, gone: new AbortController().signal },
      async () => { await bench.clock.sleepMs(50_000) })
    const late = bench.send('late', { deadlineAtMs: 10_000 })
    await bench.clock.advanceMs(3_000)
    await late
    expect(bench.ended).to.deep.include({ name: 'late', reason: 'too-late', atMs: 3_000, retryAfterMs: bench.ended[0]?.retryAfterMs })
    await bench.clock.advanceMs(50_000)
    expect((await stuck).isOk()).to.equal(true)
  })

  it('gives the place of the last one to a payment when the queue is full', async () => {
    const bench = new AdmissionBench(1)
    const all = [bench.send('a-0'), bench.send('a-1', { maxQueued: 1 }), bench.send('b-0', { maxQueued: 1, priority: 'payment' }), bench.send('c-0', { maxQueued: 1 })]
    await bench.clock.advanceMs(1_000)
    await Promise.all(all)
    expect(bench.started).to.deep.equal(['a-0', 'b-0'])
    expect(bench.ended.map(({ name, reason }) => `${name} ${reason}`)).to.have.members(['a-0 done', 'a-1 displaced', 'b-0 done', 'c-0 queue-full'])
  })

  it('forgets callers that are gone and passes on errors of the work', async () => {
    const bench = new AdmissionBench(1)
    const gone = new AbortController()
    const all = [bench.send('a-0'), bench.send('b-0', { gone: gone.signal })]
    gone.abort()
    await bench.clock.advanceMs(1_000)
    await Promise.all(all)
    expect(bench.started).to.deep.equal(['a-0'])
    const need = { route: routeOf('normal'), account: { id: 's', limits: { maxInFlight: 1, weight: 1 }, isListed: true }, maxQueued: 9, deadlineAtMs: 100_000, gone: new AbortController().signal }
    const failed = await bench.admission.admit(need, async () => { throw new Error('broken') }).catch((error: Error) => error.message)
    expect(failed).to.equal('broken')
    expect((await bench.admission.admit(need, async () => {})).isOk()).to.equal(true)
  })
})

describe('FairQueue', () => {
  it('shares a backlog by weight', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 9 }), fc.integer({ min: 1, max: 9 }), (first, second) => {
      const queue = new FairQueue()
      const taken: string[] = []
      for (let index = 0; index < 200; index++) {
        for (const [accountId, weight] of [['a', first], ['b', second]] as const) {
          queue.enqueue(async () => { taken.push(accountId) }, { id: `${accountId}${index}`, priority: 1, accountId, weight })
        }
      }
      for (let count = 0; count < 100; count++) queue.dequeue()?.().catch(() => {})
      const share = taken.filter(accountId => accountId === 'a').length / 100
      expect(share).to.be.closeTo(first / (first + second), 0.03)
    }), { seed: SEED, numRuns: 40 })
  })
})
