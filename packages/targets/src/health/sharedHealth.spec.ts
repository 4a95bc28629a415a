import { setMaxListeners } from 'node:events'
import { Invariants, SeededRandom, createRegistry, silentLog } from '@lovagehoist/common'
import type { AcceptedConfig, Clock, ConfigSource, Target, TargetDirectory } from '@lovagehoist/common'
import { FakePeerNetwork, FakePlatform, ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { expect } from 'chai'
import { SharedHealth } from './sharedHealth.js'

const TARGETS = 8
const ZONES = ['a', 'b', 'c']
const ATTEMPTS_PER_SECOND = 300
/** Rate at which half of the slots of the eight targets are in use. */
const HALF_LOAD_ATTEMPTS_PER_SECOND = 150
const STEP_MS = 20
const WARM_UP_MS = 8_000

const targets: readonly Target[] = Array.from({ length: TARGETS }, (_, index) => fakeTarget(`t${index}`, { availabilityZone: ZONES[index % 3] ?? '' }))
const service = { plannedTargets: TARGETS, slotsPerTarget: 6, floorSlots: 30, connectionsPerTarget: 300, coldStartMs: 1 }
const directory: TargetDirectory = { targets: () => targets, find: id => targets.find(target => target.id === id), markLeaving: () => {}, onChange: () => () => {} }

/** Share of a daemon's attempts at a target that fail, 0 to 1. */
type FailureShare = (daemon: number, target: number) => number

/** Rate of attempts and their distribution over the targets. */
interface Traffic {
  readonly attemptsPerSecond: number
  /** Share of attempts that go to a target in the daemon's own zone, 0 to 1. */
  readonly ownZoneShare: number
}

const UNIFORM_TRAFFIC: Traffic = { attemptsPerSecond: ATTEMPTS_PER_SECOND, ownZoneShare: 0 }
const ZONE_LOCAL_TRAFFIC: Traffic = { attemptsPerSecond: HALF_LOAD_ATTEMPTS_PER_SECOND, ownZoneShare: 0.9 }

/** Daemons connected by a fake network and a fake platform, under a steady load of simulated attempts. */
class SimulatedDaemons {
  readonly clock = ManualClock.create()
  readonly breaches: string[] = []
  private readonly network = FakePeerNetwork.create(this.clock)
  private readonly platform = FakePlatform.create(this.clock)
  private readonly random: SeededRandom
  private readonly stopping = new AbortController()
  private pendingAttempts = 0
  readonly daemons: readonly SharedHealth[]
  /** Time of the last attempt at each target. */
  readonly lastAttemptMs = new Map<string, number>()

  constructor (seed: number, count: number, private readonly profile: 'fast' | 'careful', private readonly traffic: Traffic = UNIFORM_TRAFFIC) {
    this.random = SeededRandom.create(seed)
    setMaxListeners(0, this.stopping.signal)
    this.daemons = Array.from({ length: count }, (_, index) => this.start(index))
  }

  async run (durationMs: number, failureShare: FailureShare): Promise<void> {
    const endMs = this.clock.monotonicMs() + durationMs
    while (this.clock.monotonicMs() < endMs) {
      this.pendingAttempts += this.traffic.attemptsPerSecond * STEP_MS / 1_000
      for (; this.pendingAttempts >= 1; this.pendingAttempts--) this.attempt(failureShare)
      await this.clock.advanceMs(STEP_MS)
    }
  }

  ejectedIds (): ReadonlyArray<readonly string[]> {
    return this.daemons.map(daemon => targets.filter(target => daemon.ratingOf(target).weight === 0).map(target => target.id))
  }

  stop (): void { this.stopping.abort() }

  private attempt (failureShare: FailureShare): void {
    const daemon = this.random.int(this.daemons.length)
    const health = this.daemons[daemon]
    const isZoneLocal = this.random.next() < this.traffic.ownZoneShare
    const reachable = isZoneLocal ? targets.filter(target => target.availabilityZone === ZONES[daemon % 3]) : targets
    const usable = reachable.filter(target => this.random.next() < (health?.ratingOf(target).weight ?? 0))
    const target = usable[this.random.int(Math.max(1, usable.length))]
    if (target === undefined || health === undefined) return
    const isFailed = this.random.next() < failureShare(daemon, targets.indexOf(target))
    this.lastAttemptMs.set(target.id, this.clock.monotonicMs())
    health.record({
      target, routeId: 'read', outcome: isFailed ? 'server-error' : 'ok', verdict: 'ran', latencyMs: 5, fingerprint: String(this.random.next()), isFreshConnection: false, isIdempotent: true
    })
  }

  private start (index: number): SharedHealth {
    const clock: Clock = this.clock
    const bus = this.network.join({ instanceId: `daemon-${index}`, startId: 's', region: 'local', availabilityZone: ZONES[index % 3] ?? '' })
    const document = { services: { burnbook: { ...service, profile: this.profile } } }
    const config: ConfigSource = { current: () => ({ version: 1, digest: '', document }) as unknown as AcceptedConfig, onChange: () => () => {} }
    const registry = createRegistry({})
    const health = SharedHealth.create({
      clock,
      random: SeededRandom.create(index),
      log: silentLog,
      registry,
      invariants: Invariants.create({ clock, log: silentLog, registry, onBreach: breach => { this.breaches.push(breach.name) } }),
      table: this.platform.connect().platform.table,
      bus,
      config,
      directory,
      sender: { send: async () => await Promise.reject(new Error('not used')), warm: async () => {}, closeIdleConnections: () => {} }
    })
    for (const run of [health.runMaintenance(this.stopping.signal), health.runOutlierDetection(this.stopping.signal)]) run.catch((error: unknown) => { this.breaches.push(String(error)) })
    return health
  }
}

/** Measures the simulated time from the start of a fault to the last attempt at the faulty target; runs for `limitMs`. */
const measureDetection = async (seed: number, daemons: number, profile: 'fast' | 'careful', limitMs: number, traffic = UNIFORM_TRAFFIC): Promise<{ readonly ms: number, readonly ejectedIds: readonly string[] }> => {
  const fleet = new SimulatedDaemons(seed, daemons, profile, traffic)
  await fleet.run(WARM_UP_MS, () => 0.01)
  const startMs = fleet.clock.monotonicMs()
  await fleet.run(limitMs, (_, target) => target === 0 ? 0.3 : 0.01)
  fleet.stop()
  expect(fleet.breaches).to.deep.equal([])
  return { ms: (fleet.lastAttemptMs.get('t0') ?? 0) - startMs, ejectedIds: [...new Set(fleet.ejectedIds().flat())] }
}

describe('SharedHealth', () => {
  for (const [profile, goalMs] of [['fast', 2_000], ['careful', 5_000]] as const) {
    it(`ejects a target that fails 30% of its requests at all 40 daemons within ${goalMs} ms (${profile})`, async () => {
      const found = await measureDetection(1, 40, profile, goalMs + 1_500)
      expect(found.ejectedIds).to.deep.equal(['t0'])
      expect(found.ms).to.be.below(goalMs)
    })
  }

  for (const [profile, goalMs] of [['fast', 2_000], ['careful', 5_000]] as const) {
    it(`ejects such a target in time when most traffic stays within its zone and half of the slots are in use (${profile})`, async () => {
      const found = await measureDetection(1, 40, profile, goalMs + 1_500, ZONE_LOCAL_TRAFFIC)
      expect(found.ejectedIds).to.deep.equal(['t0'])
      expect(found.ms).to.be.below(goalMs)
    })
  }

  it('ejects nothing under 1% of random errors with the careful profile', async () => {
    const fleet = new SimulatedDaemons(2, 40, 'careful')
    await fleet.run(12_000, () => 0.01)
    fleet.stop()
    expect(fleet.ejectedIds().flat()).to.deep.equal([])
  })

  it('ejects nothing while the link between two zones is down', async () => {
    const fleet = new SimulatedDaemons(3, 9, 'careful')
    await fleet.run(12_000, (daemon, target) => daemon % 3 === 0 && target % 3 === 1 ? 1 : 0.01)
    fleet.stop()
    expect(fleet.ejectedIds().flat()).to.deep.equal([])
  })
})
