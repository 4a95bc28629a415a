import { expect } from 'chai'
import fc from 'fast-check'
import { Registry } from 'prom-client'
import { SeededRandom } from '@lovagehoist/common'
import type { RouteConfig } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/fakes'
import { Admission } from './admission.js'
import type { AdmissionRequest } from './admissionTypes.js'
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

/** Admission control in front of a service whose requests take 100 ms. */
class AdmissionHarness {
  readonly clock = ManualClock.create()
  readonly started: string[] = []
  readonly ended: Array<{ readonly name: string, readonly reason: string, readonly atMs: number, readonly retryAfterMs: number }> = []
  readonly admission: Admission

  constructor (capacity: number) {
    const { clock } = this
    this.admission = Admission.create({ clock, random: SeededRandom.create(SEED), capacity: () => capacity, metrics: AdmissionMetrics.create(new Registry()) })
  }

  send (name: string, change: Partial<AdmissionRequest> & { readonly priority?: RouteConfig['priority'], readonly weight?: number } = {}): Promise<void> {
    const account = { id: name.split('-')[0] ?? '', limits: { maxInFlight: 1_000, weight: change.weight ?? 10 }, isListed: true }
    const deadlineAtMs = this.clock.monotonicMs() + 10_000
    const request = { route: routeOf(change.priority ?? 'normal'), account, maxQueued: 1_000, deadlineAtMs, disconnectSignal: new AbortController().signal, ...change }
    const work = async (): Promise<void> => {
      this.started.push(name)
      await this.clock.sleepMs(RUN_MS)
    }
    return this.admission.admit(request, work).then(result => {
      const refusal = result.isErr() ? result.error : { reason: 'done', retryAfterMs: 0 }
      this.ended.push({ name, ...refusal, atMs: this.clock.monotonicMs() })
    })
  }

  /** Runs one request, so that the queue has a measured execution time. */
  async measureRunTime (): Promise<void> {
    const first = this.send('first')
    await this.clock.advanceMs(RUN_MS)
    await first
  }
}

describe('Admission', () => {
  it('runs payments first and background requests last', async () => {
    const harness = new AdmissionHarness(1)
    const all = [harness.send('a-0'), harness.send('a-1', { priority: 'background' }), harness.send('a-2'), harness.send('a-3', { priority: 'payment' })]
    await harness.clock.advanceMs(1_000)
    await Promise.all(all)
    expect(harness.started).to.deep.equal(['a-0', 'a-3', 'a-2', 'a-1'])
  })

  it('does not let one account starve another', async () => {
    const harness = new AdmissionHarness(1)
    const all = Array.from({ length: 30 }, async (_, index) => { await harness.send(`greedy-${index}`) })
    all.push(harness.send('small-0'), harness.send('small-1'))
    await harness.clock.advanceMs(400)
    expect(harness.started).to.include.members(['small-0', 'small-1'])
    await harness.clock.advanceMs(10_000)
    await Promise.all(all)
  })

  it('refuses requests that would miss their deadline immediately, with a jittered Retry-After delay', async () => {
    const harness = new AdmissionHarness(1)
    await harness.measureRunTime()
    const all = Array.from({ length: 40 }, async (_, index) => { await harness.send(`a-${index}`, { deadlineAtMs: harness.clock.monotonicMs() + 2_000 }) })
    await harness.clock.advanceMs(0)
    const refused = harness.ended.filter(({ reason }) => reason === 'too-late')
    expect(refused).to.have.length.within(30, 39)
    for (const { retryAfterMs } of refused) expect(retryAfterMs).to.be.within(500, 3 * 2_000)
    expect(new Set(refused.map(({ retryAfterMs }) => retryAfterMs)).size).to.be.above(10)
    await harness.clock.advanceMs(5_000)
    await Promise.all(all)
  })

  it('refuses a queued request once it can no longer finish in time, not only at its deadline', async () => {
    const harness = new AdmissionHarness(1)
    const stuck = harness.admission.admit({ route: routeOf('normal'), account: { id: 's', limits: { maxInFlight: 9, weight: 1 }, isListed: true }, maxQueued: 9, deadlineAtMs: 100_000, disconnectSignal: new AbortController().signal },
      async () => { await harness.clock.sleepMs(50_000) })
    const late = harness.send('late', { deadlineAtMs: 10_000 })
    await harness.clock.advanceMs(3_000)
    await late
    expect(harness.ended).to.deep.include({ name: 'late', reason: 'too-late', atMs: 3_000, retryAfterMs: harness.ended[0]?.retryAfterMs })
    await harness.clock.advanceMs(50_000)
    expect((await stuck).isOk()).to.equal(true)
  })

  it('evicts the last request of a full queue in favour of a payment', async () => {
    const harness = new AdmissionHarness(1)
    const all = [harness.send('a-0'), harness.send('a-1', { maxQueued: 1 }), harness.send('b-0', { maxQueued: 1, priority: 'payment' }), harness.send('c-0', { maxQueued: 1 })]
    await harness.clock.advanceMs(1_000)
    await Promise.all(all)
    expect(harness.started).to.deep.equal(['a-0', 'b-0'])
    expect(harness.ended.map(({ name, reason }) => `${name} ${reason}`)).to.have.members(['a-0 done', 'a-1 displaced', 'b-0 done', 'c-0 queue-full'])
  })

  it('drops requests of disconnected callers and rethrows errors of the work', async () => {
    const harness = new AdmissionHarness(1)
    const caller = new AbortController()
    const all = [harness.send('a-0'), harness.send('b-0', { disconnectSignal: caller.signal })]
    caller.abort()
    await harness.clock.advanceMs(1_000)
    await Promise.all(all)
    expect(harness.started).to.deep.equal(['a-0'])
    const request = { route: routeOf('normal'), account: { id: 's', limits: { maxInFlight: 1, weight: 1 }, isListed: true }, maxQueued: 9, deadlineAtMs: 100_000, disconnectSignal: new AbortController().signal }
    const failed = await harness.admission.admit(request, async () => { throw new Error('broken') }).catch((error: Error) => error.message)
    expect(failed).to.equal('broken')
    expect((await harness.admission.admit(request, async () => {})).isOk()).to.equal(true)
  })
})

describe('FairQueue', () => {
  it('divides a backlog between accounts by weight', () => {
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
