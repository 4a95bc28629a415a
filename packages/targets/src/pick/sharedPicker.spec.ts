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

/** Test harness around a picker with configurable targets, ratings and fleet size. */
class PickerHarness {
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

  criteria (change: Partial<PickCriteria> = {}): PickCriteria {
    const deadlineAtMs = this.clock.monotonicMs() + 1_000
    return { service: 'burnbook', isIdempotent: true, triedTargetIds: new Set(), avoidedZones: new Set(), deadlineAtMs, ...change }
  }

  async pickTarget (change: Partial<PickCriteria> = {}): Promise<TargetReservation> {
    const picked = await this.picker.pick(this.criteria(change), new AbortController().signal)
    return picked._unsafeUnwrap()
  }

  report (target: Target, outcome: OutcomeKind): void {
    const report: AttemptReport = { target, outcome, routeId: 'r', verdict: 'ran', latencyMs: 1, fingerprint: '', isFreshConnection: false, isIdempotent: true }
    this.picker.record(report)
  }
}

describe('SharedPicker', () => {
  it('reaches every healthy target when those of the subset are ejected', async () => {
    const harness = new PickerHarness(poolOf(8), 470)
    const used = new Set<string>()
    for (let round = 0; round < 8; round++) {
      const { target, release } = await harness.pickTarget()
      used.add(target.id)
      release()
      harness.ratings.set(target.id, EJECTED)
      await harness.clock.advanceMs(10_000)
    }
    expect([...used].sort()).to.deep.equal(poolOf(8).map(target => target.id))
    expect((await harness.picker.pick(harness.criteria(), new AbortController().signal))._unsafeUnwrapErr()).to.equal('no-target')
  })

  it('gives leaving targets no requests from the next pick on', async () => {
    const harness = new PickerHarness(poolOf(2))
    harness.targets = harness.targets.map(target => target.id === 't0' ? { ...target, isLeaving: true } : target)
    for (let round = 0; round < 6; round++) expect((await harness.pickTarget()).target.id).to.equal('t1')
  })

  it('gives a cold target a growing share of requests', async () => {
    const harness = new PickerHarness([])
    const startedAtMs = harness.clock.wallMs()
    harness.targets = [fakeTarget('warm'), fakeTarget('cold', { startedAtMs })]
    const countCold = async (): Promise<number> => {
      let count = 0
      for (let round = 0; round < 400; round++) {
        const held = [await harness.pickTarget(), await harness.pickTarget()]
        count += held.filter(({ target }) => target.id === 'cold').length
        for (const { release } of held) release()
      }
      return count
    }
    const first = await countCold()
    await harness.clock.advanceMs(5_000)
    const half = await countCold()
    await harness.clock.advanceMs(5_000)
    const full = await countCold()
    expect([first < 120, half > 2 * first, full]).to.deep.equal([true, true, 400])
  })

  it('ends a wait for a slot at the deadline or when the caller disconnects, and holds no slot afterwards', async () => {
    const harness = new PickerHarness(poolOf(1))
    const held = []
    for (let slot = 0; slot < 7; slot++) held.push(await harness.pickTarget())
    const disconnected = new AbortController()
    const late = harness.picker.pick(harness.criteria(), new AbortController().signal)
    const left = harness.picker.pick(harness.criteria({ deadlineAtMs: 5_000 }), disconnected.signal)
    disconnected.abort()
    expect((await left)._unsafeUnwrapErr()).to.equal('deadline')
    await harness.clock.advanceMs(1_000)
    expect((await late)._unsafeUnwrapErr()).to.equal('deadline')
    for (const { release } of held) release()
    expect(harness.picker.dump()).to.have.nested.property('burnbook.slotsInUse', 0)
  })

  it('falls back to the even share when targets are full, and grows again', async () => {
    const harness = new PickerHarness(poolOf(8), 40)
    const before = harness.picker.slotLimit('burnbook')
    const { target, release } = await harness.pickTarget()
    harness.report(target, 'shed')
    const after = harness.picker.slotLimit('burnbook')
    release()
    await harness.clock.advanceMs(20_000)
    harness.report(target, 'ok')
    const used = harness.picker.slotLimit('burnbook')
    for (let round = 0; round < 20; round++) harness.report(target, 'ok')
    const idle = harness.picker.slotLimit('burnbook')
    const held = [await harness.pickTarget()]
    for (let round = 0; round < 40; round++) harness.report(target, 'ok')
    expect(before).to.be.above(after)
    expect(after).to.be.within(48 / 40, 48 / 40 * 1.3)
    expect(idle).to.equal(used)
    expect(harness.picker.slotLimit('burnbook')).to.be.above(used)
    for (const { release: releaseSlot } of held) releaseSlot()
  })

  it('holds a fractional share on average when it is below one slot', async () => {
    const harness = new PickerHarness(poolOf(8), 470)
    harness.report(fakeTarget('t0'), 'shed')
    let heldMs = 0
    for (let round = 0; round < 60; round++) {
      const picked = await harness.pickTarget({ deadlineAtMs: Infinity }).catch(() => undefined)
      if (picked === undefined) break
      await harness.clock.advanceMs(100)
      heldMs += 100
      picked.release()
      const state = { isFree: false }
      const next = harness.picker.pick(harness.criteria({ deadlineAtMs: Number.MAX_SAFE_INTEGER }), new AbortController().signal).then(result => { state.isFree = true; result._unsafeUnwrap().release() })
      while (!state.isFree) await harness.clock.advanceMs(25)
      await next
    }
    expect(heldMs / harness.clock.monotonicMs()).to.be.within(0.02, 0.3)
  })

  it('never loses or duplicates a slot under random sequences of events', async () => {
    const steps = fc.array(fc.record({ action: fc.constantFrom('pick', 'release', 'shed', 'ok', 'abort', 'pass'), index: fc.nat({ max: 7 }) }), { maxLength: 60 })
    await fc.assert(fc.asyncProperty(steps, async actions => {
      const harness = new PickerHarness(poolOf(3), 2)
      const held: TargetReservation[] = []
      const running: Array<{ readonly disconnected: AbortController, readonly done: Promise<void> }> = []
      const handlers: Readonly<Record<string, (index: number) => void | Promise<void>>> = {
        pick: () => {
          const disconnected = new AbortController()
          const done = harness.picker.pick(harness.criteria(), disconnected.signal).then(result => { if (result.isOk()) held.push(result.value) })
          running.push({ disconnected, done })
        },
        release: index => { held.splice(index % Math.max(1, held.length), 1)[0]?.release() },
        shed: index => { harness.report(fakeTarget(`t${index % 3}`), 'shed') },
        ok: index => { harness.report(fakeTarget(`t${index % 3}`), 'ok') },
        abort: index => { running[index]?.disconnected.abort() },
        pass: async index => { await harness.clock.advanceMs(index * 40) }
      }
      for (const { action, index } of actions) await handlers[action]?.(index)
      await harness.clock.advanceMs(2_000)
      await Promise.all(running.map(async ({ done }) => { await done }))
      for (const { release } of held) { release(); release() }
      expect(JSON.stringify(harness.picker.dump())).to.not.match(/"slotsInUse":[^0]/)
      expect(harness.breaches).to.deep.equal([])
    }), { seed: SEED, numRuns: 60 })
  })
})
