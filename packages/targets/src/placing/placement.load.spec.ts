import { expect } from 'chai'
import { SeededRandom } from '@lovagehoist/common'
import type { Random } from '@lovagehoist/common'
import { ConditionBook } from '../condition/conditionBook.js'
import { ManualClock, expectSnapshot } from '@lovagehoist/common/testing'
import { place } from './placement.js'
import type { Candidate } from './placement.js'

/** How daemons choose in the model. */
type Policy = 'random' | 'two-choices-own' | 'two-choices-fleet' | 'expected-time-own' | 'expected-time-fleet'

/** A load on one service. */
interface Load {
  readonly daemons: number
  readonly targets: number
  readonly slots: number
  readonly requestsPerSecond: number
  readonly meanWorkMs: number
  /** Targets that fail three quarters of their requests at once, from the first second on. */
  readonly failing: number
  readonly seconds: number
  /** Age of what daemons know of each other. */
  readonly viewMs: number
}

interface Served {
  /** Share answered well within the objective. */
  readonly inObjective: number
  readonly failed: number
}

interface Target {
  running: number
  waiting: Array<{ readonly daemon: number, readonly sentAtMs: number }>
  readonly byDaemon: number[]
}

interface Event {
  readonly atMs: number
  readonly run: () => void
}

const OBJECTIVE_MS = 1_000
const LEFT_MS = 6_000
const FAILING_SHARE = 0.75
const FAILING_FROM_MS = 1_000

/** Plays a load with one policy; all in virtual time. */
class Model {
  private readonly clock = ManualClock.create()
  private readonly random: Random = SeededRandom.create(5)
  private readonly events: Event[] = []
  private readonly targets: Target[]
  private readonly books: readonly ConditionBook[]
  private view: number[]
  private asked = 0
  private inObjective = 0
  private failed = 0

  constructor (private readonly load: Load, private readonly policy: Policy) {
    this.targets = Array.from({ length: load.targets }, () => ({ running: 0, waiting: [], byDaemon: Array<number>(load.daemons).fill(0) }))
    this.view = Array<number>(load.targets).fill(0)
    const isShared = policy === 'expected-time-fleet' || policy === 'two-choices-fleet'
    const shared = ConditionBook.create(this.clock)
    this.books = Array.from({ length: load.daemons }, () => isShared ? shared : ConditionBook.create(this.clock))
  }

  play (): Served {
    this.at(0, () => { this.arrive() })
    this.at(0, () => { this.refresh() })
    for (let event = this.next(); event !== undefined && event.atMs < this.load.seconds * 1_000; event = this.next()) {
      this.clock.jumpMs(event.atMs - this.clock.monotonicMs())
      event.run()
    }
    return { inObjective: this.inObjective / this.asked, failed: this.failed / this.asked }
  }

  private next (): Event | undefined {
    let first = 0
    for (let index = 1; index < this.events.length; index++) if ((this.events[index]?.atMs ?? 0) < (this.events[first]?.atMs ?? 0)) first = index
    return this.events.splice(first, 1)[0]
  }

  private at (delayMs: number, run: () => void): void {
    this.events.push({ atMs: this.clock.monotonicMs() + delayMs, run })
  }

  private refresh (): void {
    this.view = this.targets.map(({ running, waiting }) => running + waiting.length)
    this.at(this.load.viewMs, () => { this.refresh() })
  }

  private arrive (): void {
    const { requestsPerSecond, daemons } = this.load
    this.at(-Math.log(1 - this.random.next()) * 1_000 / requestsPerSecond, () => { this.arrive() })
    const daemon = this.random.int(daemons)
    const chosen = this.choose(daemon)
    if (this.isCounted(this.clock.monotonicMs())) this.asked++
    if (chosen !== undefined) this.send(daemon, chosen)
  }

  /** Whether a request counts: not while the failing targets begin, and not when its end is not played any more. */
  private isCounted (atMs: number): boolean {
    return atMs > FAILING_FROM_MS * 2 && atMs < this.load.seconds * 1_000 - OBJECTIVE_MS
  }

  private choose (daemon: number): number | undefined {
    const indices = this.targets.map((_, index) => index)
    const own = (index: number): number => this.targets[index]?.byDaemon[daemon] ?? 0
    const fleet = (index: number): number => Math.max(own(index), this.view[index] ?? 0)
    const two = (count: (index: number) => number): number => {
      const [a, b] = [this.random.int(indices.length), this.random.int(indices.length)]
      return count(a) <= count(b) ? a : b
    }
    const choosers: Readonly<Record<Policy, () => number | undefined>> = {
      random: () => this.random.int(indices.length),
      'two-choices-own': () => two(own),
      'two-choices-fleet': () => two(fleet),
      'expected-time-own': () => this.placeBy(daemon, own),
      'expected-time-fleet': () => this.placeBy(daemon, fleet)
    }
    return choosers[this.policy]()
  }

  private placeBy (daemon: number, count: (index: number) => number): number | undefined {
    const { slots, meanWorkMs } = this.load
    const candidates = this.targets.map((_, index): Candidate => ({
      targetId: String(index),
      slots,
      inProgress: count(index),
      failingChance: this.books[daemon]?.chance(String(index)) ?? 0.06,
      refusalShare: 0,
      serviceTimeMs: meanWorkMs,
      isOwnZone: true,
      isConnected: true,
      idleMs: 0,
      isNew: false
    }))
    const placement = place(candidates, { leftMs: LEFT_MS, yieldsSlots: false }, this.random)
    return placement.type === 'placed' ? Number(placement.targetId) : undefined
  }

  private send (daemon: number, index: number): void {
    const target = this.targets[index]
    if (target === undefined) return
    const nowMs = this.clock.monotonicMs()
    if (index < this.load.failing && nowMs > FAILING_FROM_MS && this.random.next() < FAILING_SHARE) {
      if (this.isCounted(nowMs)) this.failed++
      this.books[daemon]?.observe(String(index), { succeeded: 0, failed: 0, failedEarly: 1 })
      return
    }
    target.byDaemon[daemon] = (target.byDaemon[daemon] ?? 0) + 1
    target.waiting.push({ daemon, sentAtMs: nowMs })
    this.startNext(index)
  }

  private startNext (index: number): void {
    const target = this.targets[index]
    const next = target === undefined || target.running >= this.load.slots ? undefined : target.waiting.shift()
    if (target === undefined || next === undefined) return
    target.running++
    const workMs = this.load.meanWorkMs * (0.5 + this.random.next())
    this.at(workMs, () => {
      target.running--
      target.byDaemon[next.daemon] = (target.byDaemon[next.daemon] ?? 1) - 1
      this.books[next.daemon]?.observe(String(index), { succeeded: 1, failed: 0, failedEarly: 0 })
      const nowMs = this.clock.monotonicMs()
      if (this.isCounted(next.sentAtMs) && nowMs - next.sentAtMs <= OBJECTIVE_MS) this.inObjective++
      this.startNext(index)
    })
  }
}

/** One service of the size of today, at 0.9 of its capacity: few requests of each daemon. */
const BUSY: Load = { daemons: 36, targets: 16, slots: 6, requestsPerSecond: 180, meanWorkMs: 480, failing: 0, seconds: 30, viewMs: 150 }
/** The same at a third of its capacity, with three targets that fail partially. */
const GRAY: Load = { ...BUSY, requestsPerSecond: 63, failing: 3 }

/** Shares in thousandths, so that a snapshot can be read. */
const rounded = (shares: Readonly<Record<string, number | undefined>>): Readonly<Record<string, number>> =>
  Object.fromEntries(Object.entries(shares).map(([policy, share]) => [policy, Math.round((share ?? 0) * 1_000) / 1_000]))

const played = (load: Load, policy: Policy): Served => new Model(load, policy).play()

describe('placing under load (a model in virtual time)', () => {
  it('answers within the objective what the slots can carry when daemons know the load of all', function () {
    const served = (['random', 'two-choices-own', 'two-choices-fleet', 'expected-time-own', 'expected-time-fleet'] as const)
      .map(policy => [policy, played(BUSY, policy).inObjective] as const)
    const shareOf = Object.fromEntries(served)
    expect(shareOf['expected-time-fleet']).to.be.above(0.95)
    expect(shareOf['expected-time-fleet']).to.be.above((shareOf['expected-time-own'] ?? 1) + 0.1)
    expect(shareOf['expected-time-fleet']).to.be.above(shareOf.random ?? 1)
    expectSnapshot(this, rounded(shareOf))
  })

  it('loses few requests to targets that fail partially when daemons share their outcomes', function () {
    const failedOf = Object.fromEntries((['random', 'two-choices-own', 'expected-time-own', 'expected-time-fleet'] as const).map(policy => [policy, played(GRAY, policy).failed]))
    expect(failedOf['expected-time-fleet']).to.be.below(0.02)
    expect(failedOf['expected-time-fleet']).to.be.below((failedOf['expected-time-own'] ?? 0) / 2)
    expectSnapshot(this, rounded(failedOf))
  })
})
