import { expect } from 'chai'
import fc from 'fast-check'
import { Registry } from 'prom-client'
import { Invariants, SeededRandom, createLog } from '@lovagehoist/common'
import type { AttemptReport, HealthView, OutcomeKind, PickCriteria, Target, TargetRating, TargetReservation } from '@lovagehoist/common'
import { ManualClock, fakeTarget } from '@lovagehoist/common/fakes'
import { PickMetrics } from './metrics/pickMetrics.js'
import { SharedPicker } from './sharedPicker.js'
import { SubsetView } from './subset/subsetView.js'

const SEED = 43
const HEALTHY: TargetRating = { status: 'healthy', weight: 1, idempotentOnly: false }
const EJECTED: TargetRating = { status: 'ejected', weight: 0, idempotentOnly: false }

const poolOf = (count: number): readonly Target[] =>
  Array.from({ length: count }, (_, index) => fakeTarget(`t${index}`, { availabilityZone: ['a', 'b', 'c'][index % 3] ?? 'a' }))

/** A picker whose targets, ratings and fleet size the test sets. */
class PickBench {
  readonly clock = ManualClock.create()
  readonly ratings = new Map<string, TargetRating>()
  readonly breaches: string[] = []
  readonly picker: SharedPicker

  constructor (public targets: readonly Target[], daemonCount = 1) {
    const { clock } = this
    const registry = new Registry()
    const log = createLog({ level: 'error', format: 'json', clock, write: () => {} })
    const directory = { targets: () => this.targets, find: () => undefined, markLeaving: () => {}, onChange: () => () => {} }
    const health: HealthView = { ratingOf: target => this.ratings.get(target.id) ?? HEALTHY, isQuarantined: () => false, isPoolShedding: () => false }
    const daemons = Array.from({ length: daemonCount }, (_, index) => ({ id: `d${index}`, availabilityZone: 'a' }))
    this.picker = SharedPicker.create({
      clock,
      random: SeededRandom.create(SEED),
      health,
      subsets: SubsetView.create({ selfId: 'd0', directory, daemons: () => daemons, connectionsPerTarget: () => 300 }),
      policy: 'shared',
      daemonCount: () => daemonCount,
      serviceConfig: () => undefined,
      invariants: Invariants.create({ clock, log, registry, onBreach: breach => { this.breaches.push(breach.name) } }),
      metrics: PickMetrics.create(registry)
    })
  }

  need (change: Partial<PickCriteria> = {}): PickCriteria {
    const deadlineAtMs = this.clock.monotonicMs() + 1_000
    return { service: 'burnbook', isIdempotent: true, triedTargetIds: new Set(), avoidedZones: new Set(), deadlineAtMs, ...change }
  }

  async take (change: Partial<PickCriteria> = {}): Promise<TargetReservation> {
    const picked = await this.picker.pick(this.need(change), new AbortController().signal)
    return picked._unsafeUnwrap()
  }

  report (target: Target, outcome: OutcomeKind): void {
    const report: AttemptReport = { target, outcome, routeId: 'r', verdict: 'ran', latencyMs: 1, fingerprint: '', isFreshConnection: false, isIdempotent: true }
    this.picker.record(report)
  }
}

describe('SharedPicker', () => {
  it('reaches every healthy target when those of the subset are sick', async () => {
    const bench = new PickBench(poolOf(8), 470)
    const used = new Set<string>()
    for (let round = 0; round < 8; round++) {
      const { target, release } = await bench.take()
      used.add(target.id)
      release()
      bench.ratings.set(target.id, EJECTED)
      await bench.clock.advanceMs(10_000)
    }
    expect([...used].sort()).to.deep.equal(poolOf(8).map(target => target.id))
    expect((await bench.picker.pick(bench.need(), new AbortController().signal))._unsafeUnwrapErr()).to.equal('no-target')
  })

  it('gives leaving targets nothing from the next pick on', async () => {
    const bench = new PickBench(poolOf(2))
    bench.targets = bench.targets.map(target => target.id === 't0' ? { ...target, isLeaving: true } : target)
    for (let round = 0; round < 6; round++) expect((await bench.take()).target.id).to.equal('t1')
  })

  it('gives a cold target a growing share', async () => {
    const bench = new PickBench([])
    const startedAtMs = bench.clock.wallMs()
    bench.targets = [fakeTarget('warm'), fakeTarget('cold', { startedAtMs })]
    const countCold = async (): Promise<number> => {
      let count = 0
      for (let round = 0; round < 400; round++) {
        const held = [await bench.take(), await bench.take()]
        count += held.filter(({ target }) => target.id === 'cold').length
        for (const { release } of held) release()
      }
      return count
    }
    const first = await countCold()
    await bench.clock.advanceMs(5_000)
    const half = await countCold()
    await bench.clock.advanceMs(5_000)
    const full = await countCold()
    expect([first < 120, half > 2 * first, full]).to.deep.equal([true, true, 400])
  })

  it('ends a wait for a slot at the deadline and when the caller leaves, and keeps no slot', async () => {
    const bench = new PickBench(poolOf(1))
    const held = []
    for (let slot = 0; slot < 7; slot++) held.push(await bench.take())
    const gone = new AbortController()
    const late = bench.picker.pick(bench.need(), new AbortController().signal)
    const left = bench.picker.pick(bench.need({ deadlineAtMs: 5_000 }), gone.signal)
    gone.abort()
    expect((await left)._unsafeUnwrapErr()).to.equal('deadline')
    await bench.clock.advanceMs(1_000)
    expect((await late)._unsafeUnwrapErr()).to.equal('deadline')
    for (const { release } of held) release()
    expect(bench.picker.dump()).to.have.nested.property('burnbook.slotsInUse', 0)
  })

  it('falls back to the even share when targets are full and grows again', async () => {
    const bench = new PickBench(poolOf(8), 40)
    const before = bench.picker.slotLimit('burnbook')
    const { target, release } = await bench.take()
    bench.report(target, 'shed')
    const after = bench.picker.slotLimit('burnbook')
    release()
    await bench.clock.advanceMs(20_000)
    bench.report(target, 'ok')
    const used = bench.picker.slotLimit('burnbook')
    for (let round = 0; round < 20; round++) bench.report(target, 'ok')
    const idle = bench.picker.slotLimit('burnbook')
    const held = [await bench.take()]
    for (let round = 0; round < 40; round++) bench.report(target, 'ok')
    expect(before).to.be.above(after)
    expect(after).to.be.within(48 / 40, 48 / 40 * 1.3)
    expect(idle).to.equal(used)
    expect(bench.picker.slotLimit('burnbook')).to.be.above(used)
    for (const { release: giveBack } of held) giveBack()
  })

  it('holds the share on average when it is below one slot', async () => {
    const bench = new PickBench(poolOf(8), 470)
    bench.report(fakeTarget('t0'), 'shed')
    let heldMs = 0
    for (let round = 0; round < 60; round++) {
      const picked = await bench.take({ deadlineAtMs: Infinity }).catch(() => undefined)
      if (picked === undefined) break
      await bench.clock.advanceMs(100)
      heldMs += 100
      picked.release()
      const state = { isFree: false }
      const next = bench.picker.pick(bench.need({ deadlineAtMs: Number.MAX_SAFE_INTEGER }), new AbortController().signal).then(result => { state.isFree = true; result._unsafeUnwrap().release() })
      while (!state.isFree) await bench.clock.advanceMs(25)
      await next
    }
    expect(heldMs / bench.clock.monotonicMs()).to.be.within(0.02, 0.3)
  })

  it('never loses or invents a slot, whatever happens', async () => {
    const steps = fc.array(fc.record({ action: fc.constantFrom('pick', 'release', 'shed', 'ok', 'abort', 'pass'), index: fc.nat({ max: 7 }) }), { maxLength: 60 })
    await fc.assert(fc.asyncProperty(steps, async actions => {
      const bench = new PickBench(poolOf(3), 2)
      const held: TargetReservation[] = []
      const running: Array<{ readonly gone: AbortController, readonly done: Promise<void> }> = []
      const handlers: Readonly<Record<string, (index: number) => void | Promise<void>>> = {
        pick: () => {
          const gone = new AbortController()
          const done = bench.picker.pick(bench.need(), gone.signal).then(result => { if (result.isOk()) held.push(result.value) })
          running.push({ gone, done })
        },
        release: index => { held.splice(index % Math.max(1, held.length), 1)[0]?.release() },
        shed: index => { bench.report(fakeTarget(`t${index % 3}`), 'shed') },
        ok: index => { bench.report(fakeTarget(`t${index % 3}`), 'ok') },
        abort: index => { running[index]?.gone.abort() },
        pass: async index => { await bench.clock.advanceMs(index * 40) }
      }
      for (const { action, index } of actions) await handlers[action]?.(index)
      await bench.clock.advanceMs(2_000)
      await Promise.all(running.map(async ({ done }) => { await done }))
      for (const { release } of held) { release(); release() }
      expect(JSON.stringify(bench.picker.dump())).to.not.match(/"slotsInUse":[^0]/)
      expect(bench.breaches).to.deep.equal([])
    }), { seed: SEED, numRuns: 60 })
  })
})
