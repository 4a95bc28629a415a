import { expect } from 'chai'
import { SeededRandom } from '@lovagehoist/common'
import type { Random } from '@lovagehoist/common'
import { FailureEstimator } from '../condition/failureEstimator.js'
import { ManualClock, expectSnapshot } from '@lovagehoist/common/testing'
import { placeRequest } from './placement.js'
import type { Candidate } from './candidate.js'

/** Balancing policy that the simulated daemons use. */
type Policy = 'random' | 'two-choices-own' | 'two-choices-fleet' | 'expected-time-own' | 'expected-time-fleet'

/** Simulated load on one service. */
interface Load {
  readonly daemons: number
  readonly targets: number
  readonly slots: number
  readonly requestsPerSecond: number
  readonly meanWorkMs: number
  /** Number of targets that immediately fail three quarters of their requests after the first second. */
  readonly failing: number
  readonly seconds: number
  /** Age of the daemons' information about each other. */
  readonly informationAgeMs: number
}

interface SimulationResult {
  /** Share of requests answered within the latency objective. */
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

const SEEDS = [1, 2, 3, 4, 5]
const OBJECTIVE_MS = 1_000
const TIME_LIMIT_MS = 6_000
const FAILING_SHARE = 0.75
const FAILING_FROM_MS = 1_000

/** Simulates a load under one policy in virtual time. */
class Simulation {
  private readonly clock = ManualClock.create()
  private readonly random: Random
  private readonly events: Event[] = []
  private readonly targets: Target[]
  private readonly estimators: readonly FailureEstimator[]
  private sharedLoad: number[]
  private requestCount = 0
  private inObjective = 0
  private failed = 0

  constructor (private readonly load: Load, private readonly policy: Policy, seed: number) {
    this.random = SeededRandom.create(seed)
    this.targets = Array.from({ length: load.targets }, () => ({ running: 0, waiting: [], byDaemon: Array<number>(load.daemons).fill(0) }))
    this.sharedLoad = Array<number>(load.targets).fill(0)
    const isShared = policy === 'expected-time-fleet' || policy === 'two-choices-fleet'
    const shared = FailureEstimator.create(this.clock)
    this.estimators = Array.from({ length: load.daemons }, () => isShared ? shared : FailureEstimator.create(this.clock))
  }

  run (): SimulationResult {
    this.at(0, () => { this.arrive() })
    this.at(0, () => { this.shareLoad() })
    for (let event = this.next(); event !== undefined && event.atMs < this.load.seconds * 1_000; event = this.next()) {
      this.clock.jumpMs(event.atMs - this.clock.monotonicMs())
      event.run()
    }
    return { inObjective: this.inObjective / this.requestCount, failed: this.failed / this.requestCount }
  }

  private next (): Event | undefined {
    let first = 0
    for (let index = 1; index < this.events.length; index++) if ((this.events[index]?.atMs ?? 0) < (this.events[first]?.atMs ?? 0)) first = index
    return this.events.splice(first, 1)[0]
  }

  private at (delayMs: number, run: () => void): void {
    this.events.push({ atMs: this.clock.monotonicMs() + delayMs, run })
  }

  private shareLoad (): void {
    this.sharedLoad = this.targets.map(({ running, waiting }) => running + waiting.length)
    this.at(this.load.informationAgeMs, () => { this.shareLoad() })
  }

  private arrive (): void {
    const { requestsPerSecond, daemons } = this.load
    this.at(-Math.log(1 - this.random.next()) * 1_000 / requestsPerSecond, () => { this.arrive() })
    const daemon = this.random.int(daemons)
    const chosen = this.choose(daemon)
    if (this.isCounted(this.clock.monotonicMs())) this.requestCount++
    if (chosen !== undefined) this.send(daemon, chosen)
  }

  /** Whether a request counts: not during the warm-up until shortly after the failures begin, and not if it can't end before the simulation does. */
  private isCounted (atMs: number): boolean {
    return atMs > FAILING_FROM_MS * 2 && atMs < this.load.seconds * 1_000 - OBJECTIVE_MS
  }

  private choose (daemon: number): number | undefined {
    const indices = this.targets.map((_, index) => index)
    const own = (index: number): number => this.targets[index]?.byDaemon[daemon] ?? 0
    const fleet = (index: number): number => Math.max(own(index), this.sharedLoad[index] ?? 0)
    const two = (count: (index: number) => number): number => {
      const [a, b] = [this.random.int(indices.length), this.random.int(indices.length)]
      return count(a) <= count(b) ? a : b
    }
    const choosers: Readonly<Record<Policy, () => number | undefined>> = {
      random: () => this.random.int(indices.length),
      'two-choices-own': () => two(own),
      'two-choices-fleet': () => two(fleet),
      'expected-time-own': () => this.placeByCount(daemon, own),
      'expected-time-fleet': () => this.placeByCount(daemon, fleet)
    }
    return choosers[this.policy]()
  }

  private placeByCount (daemon: number, count: (index: number) => number): number | undefined {
    const { slots, meanWorkMs } = this.load
    const candidates = this.targets.map((_, index): Candidate => ({
      targetId: String(index),
      slots,
      inProgress: count(index),
      failingChance: this.estimators[daemon]?.failingChance(String(index)) ?? 0.06,
      refusalShare: 0,
      serviceTimeMs: meanWorkMs,
      isOwnZone: true,
      isConnected: true,
      idleMs: 0,
      isNew: false
    }))
    const placement = placeRequest(candidates, { remainingMs: TIME_LIMIT_MS, hasHigherPriorityTraffic: false }, this.random)
    return placement.type === 'placed' ? Number(placement.targetId) : undefined
  }

  private send (daemon: number, index: number): void {
    const target = this.targets[index]
    if (target === undefined) return
    const nowMs = this.clock.monotonicMs()
    if (index < this.load.failing && nowMs > FAILING_FROM_MS && this.random.next() < FAILING_SHARE) {
      if (this.isCounted(nowMs)) this.failed++
      this.estimators[daemon]?.recordOutcomes(String(index), { succeeded: 0, failed: 0, failedLate: 0, failedEarly: 1 })
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
      this.estimators[next.daemon]?.recordOutcomes(String(index), { succeeded: 1, failed: 0, failedLate: 0, failedEarly: 0 })
      const nowMs = this.clock.monotonicMs()
      if (this.isCounted(next.sentAtMs) && nowMs - next.sentAtMs <= OBJECTIVE_MS) this.inObjective++
      this.startNext(index)
    })
  }
}

/** A service of today's size at 0.9 of its capacity, with few requests per daemon. */
const BUSY: Load = { daemons: 36, targets: 16, slots: 6, requestsPerSecond: 180, meanWorkMs: 480, failing: 0, seconds: 30, informationAgeMs: 150 }
/** The same service at a third of its capacity, with three partially failing targets. */
const PARTIALLY_FAILING: Load = { ...BUSY, requestsPerSecond: 63, failing: 3 }

/** Rounds shares to thousandths for a readable snapshot. */
const rounded = (shares: Readonly<Record<string, number | undefined>>): Readonly<Record<string, number>> =>
  Object.fromEntries(Object.entries(shares).map(([policy, share]) => [policy, Math.round((share ?? 0) * 1_000) / 1_000]))

/** Simulates a load with several seeds and averages the results. */
const simulate = (load: Load, policy: Policy): SimulationResult => {
  const results = SEEDS.map(seed => new Simulation(load, policy, seed).run())
  const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  return { inObjective: mean(results.map(({ inObjective }) => inObjective)), failed: mean(results.map(({ failed }) => failed)) }
}

describe('placement under load (simulation in virtual time)', () => {
  it('meets the latency objective near full capacity when daemons share their load', function () {
    const results = (['random', 'two-choices-own', 'two-choices-fleet', 'expected-time-own', 'expected-time-fleet'] as const)
      .map(policy => [policy, simulate(BUSY, policy).inObjective] as const)
    const shareOf = Object.fromEntries(results)
    expect(shareOf['expected-time-fleet']).to.be.above(0.95)
    expect(shareOf['expected-time-fleet']).to.be.above((shareOf['expected-time-own'] ?? 1) + 0.1)
    expect(shareOf['expected-time-fleet']).to.be.above(shareOf.random ?? 1)
    expectSnapshot(this, rounded(shareOf))
  })

  it('loses few requests to partially failing targets when daemons share their outcomes', function () {
    const failedOf = Object.fromEntries((['random', 'two-choices-own', 'expected-time-own', 'expected-time-fleet'] as const).map(policy => [policy, simulate(PARTIALLY_FAILING, policy).failed]))
    expect(failedOf['expected-time-fleet']).to.be.below(0.02)
    expect(failedOf['expected-time-fleet']).to.be.below((failedOf['expected-time-own'] ?? 0) / 2)
    expectSnapshot(this, rounded(failedOf))
  })
})
