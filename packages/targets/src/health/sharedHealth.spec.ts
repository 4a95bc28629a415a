import { setMaxListeners } from 'node:events'
import { Invariants, SeededRandom, createRegistry, silentLog } from '@lovagehoist/common'
import type { AcceptedConfig, Clock, ConfigSource, Target, TargetDirectory } from '@lovagehoist/common'
import { FakePeerNetwork, FakePlatform, ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { expect } from 'chai'
import { SharedHealth } from './sharedHealth.js'

const TARGETS = 8
const ZONES = ['a', 'b', 'c']
const PER_SECOND = 300
/** Tries a second at which eight targets of today are half used. */
const HALF_LOAD_PER_SECOND = 150
const STEP_MS = 20
const WARM_UP_MS = 8_000

const targets: readonly Target[] = Array.from({ length: TARGETS }, (_, index) => fakeTarget(`t${index}`, { availabilityZone: ZONES[index % 3] ?? '' }))
const service = { plannedTargets: TARGETS, slotsPerTarget: 6, floorSlots: 30, connectionsPerTarget: 300, coldStartMs: 1 }
const directory: TargetDirectory = { targets: () => targets, find: id => targets.find(target => target.id === id), markLeaving: () => {}, onChange: () => () => {} }

/** Share of tries that fail at a target for a daemon. */
type FailShare = (daemon: number, target: number) => number

/** How tries are spread. */
interface Traffic {
  readonly perSecond: number
  /** Share of tries that go to a target of the daemon's own zone, 0 to 1. */
  readonly ownZoneShare: number
}

const EVEN_TRAFFIC: Traffic = { perSecond: PER_SECOND, ownZoneShare: 0 }
const NEAR_TRAFFIC: Traffic = { perSecond: HALF_LOAD_PER_SECOND, ownZoneShare: 0.9 }

/** Daemons that share their health over fakes, under a steady load of simulated tries. */
class Bench {
  readonly clock = ManualClock.create()
  readonly breaches: string[] = []
  private readonly network = FakePeerNetwork.create(this.clock)
  private readonly platform = FakePlatform.create(this.clock)
  private readonly random: SeededRandom
  private readonly stopping = new AbortController()
  private due = 0
  readonly daemons: readonly SharedHealth[]
  /** Time of the last try at each target. */
  readonly lastAtMs = new Map<string, number>()

  constructor (seed: number, count: number, private readonly profile: 'fast' | 'careful', private readonly traffic: Traffic = EVEN_TRAFFIC) {
    this.random = SeededRandom.create(seed)
    setMaxListeners(0, this.stopping.signal)
    this.daemons = Array.from({ length: count }, (_, index) => this.start(index))
  }

  async run (durationMs: number, failShare: FailShare): Promise<void> {
    const endMs = this.clock.monotonicMs() + durationMs
    while (this.clock.monotonicMs() < endMs) {
      this.due += this.traffic.perSecond * STEP_MS / 1_000
      for (; this.due >= 1; this.due--) this.attempt(failShare)
      await this.clock.advanceMs(STEP_MS)
    }
  }

  out (): ReadonlyArray<readonly string[]> {
    return this.daemons.map(daemon => targets.filter(target => daemon.ratingOf(target).weight === 0).map(target => target.id))
  }

  stop (): void { this.stopping.abort() }

  private attempt (failShare: FailShare): void {
    const daemon = this.random.int(this.daemons.length)
    const health = this.daemons[daemon]
    const isNear = this.random.next() < this.traffic.ownZoneShare
    const reached = isNear ? targets.filter(target => target.availabilityZone === ZONES[daemon % 3]) : targets
    const usable = reached.filter(target => this.random.next() < (health?.ratingOf(target).weight ?? 0))
    const target = usable[this.random.int(Math.max(1, usable.length))]
    if (target === undefined || health === undefined) return
    const isFailed = this.random.next() < failShare(daemon, targets.indexOf(target))
    this.lastAtMs.set(target.id, this.clock.monotonicMs())
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
    for (const run of [health.runUpkeep(this.stopping.signal), health.runEvidence(this.stopping.signal)]) run.catch((error: unknown) => { this.breaches.push(String(error)) })
    return health
  }
}

/** Simulated time from the fault to the last try at the sick target, or the limit. */
const detect = async (seed: number, daemons: number, profile: 'fast' | 'careful', limitMs: number, traffic = EVEN_TRAFFIC): Promise<{ readonly ms: number, readonly out: readonly string[] }> => {
  const bench = new Bench(seed, daemons, profile, traffic)
  await bench.run(WARM_UP_MS, () => 0.01)
  const startMs = bench.clock.monotonicMs()
  await bench.run(limitMs, (_, target) => target === 0 ? 0.3 : 0.01)
  bench.stop()
  expect(bench.breaches).to.deep.equal([])
  return { ms: (bench.lastAtMs.get('t0') ?? 0) - startMs, out: [...new Set(bench.out().flat())] }
}

describe('SharedHealth', () => {
  for (const [profile, goalMs] of [['fast', 2_000], ['careful', 5_000]] as const) {
    it(`takes a target that fails 30% of its work out at 40 daemons within ${goalMs} ms (${profile})`, async () => {
      const found = await detect(1, 40, profile, goalMs + 1_500)
      expect(found.out).to.deep.equal(['t0'])
      expect(found.ms).to.be.below(goalMs)
    })
  }

  for (const [profile, goalMs] of [['fast', 2_000], ['careful', 5_000]] as const) {
    it(`does so when most work stays within the zone and half the slots are used (${profile})`, async () => {
      const found = await detect(1, 40, profile, goalMs + 1_500, NEAR_TRAFFIC)
      expect(found.out).to.deep.equal(['t0'])
      expect(found.ms).to.be.below(goalMs)
    })
  }

  it('takes nothing out under 1% of random errors with the careful profile', async () => {
    const bench = new Bench(2, 40, 'careful')
    await bench.run(12_000, () => 0.01)
    bench.stop()
    expect(bench.out().flat()).to.deep.equal([])
  })

  it('takes nothing out while the link between two zones is lost', async () => {
    const bench = new Bench(3, 9, 'careful')
    await bench.run(12_000, (daemon, target) => daemon % 3 === 0 && target % 3 === 1 ? 1 : 0.01)
    bench.stop()
    expect(bench.out().flat()).to.deep.equal([])
  })
})
