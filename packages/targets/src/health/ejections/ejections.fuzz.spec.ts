import { Invariants, SeededRandom, createRegistry, silentLog, withTimeout } from '@lovagehoist/common'
import type { Clock, Member, PeerBus, Platform, PlatformResult, Target } from '@lovagehoist/common'
import { FakePeerNetwork, FakePlatform, ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import { expect } from 'chai'
import fc from 'fast-check'
import { err } from 'neverthrow'
import { Ejections, computeCapacity } from './ejections.js'
import type { EjectionRequest } from './ejections.js'

const SERVICE = 'burnbook'
const TARGETS = 8
const SLOTS = 6

/** Pauses a process: while it is paused, its calls and handlers don't return. */
class ProcessPause {
  isPaused = false
  private resumeCallbacks: Array<() => void> = []

  resume (): void {
    this.isPaused = false
    for (const callback of this.resumeCallbacks.splice(0)) callback()
  }

  async waitWhilePaused<T> (work: Promise<T>): Promise<T> {
    const value = await work
    while (this.isPaused) await new Promise<void>(resolve => { this.resumeCallbacks.push(resolve) })
    return value
  }
}

const CALL_TIMEOUT_MS = 1_000

/** Table client of a process that can be paused. A call times out after `CALL_TIMEOUT_MS`; a write that timed out may still take effect later. */
const pausableTable = (platform: Platform, pause: ProcessPause, clock: Clock): Platform['table'] => {
  const limited = async <T>(kind: 'unavailable' | 'unknown', work: PlatformResult<T>): PlatformResult<T> => {
    const timed = await pause.waitWhilePaused(withTimeout(clock, CALL_TIMEOUT_MS, work))
    return timed.type === 'done' ? timed.value : err({ kind, message: 'timeout' })
  }
  return {
    get: async (...args) => await limited('unavailable', platform.table.get(...args)),
    list: async (...args) => await limited('unavailable', platform.table.list(...args)),
    transact: async transaction => await limited('unknown', platform.table.transact(transaction))
  }
}

const pausableBus = (bus: PeerBus, pause: ProcessPause, clock: Clock): PeerBus => ({
  ...bus,
  self: bus.self,
  members: (): readonly Member[] => bus.members(),
  call: async (id, method, params, timeoutMs) => {
    const timed = await pause.waitWhilePaused(withTimeout(clock, timeoutMs, bus.call(id, method, params, timeoutMs)))
    return timed.type === 'done' ? timed.value : err({ kind: 'unreachable', message: 'timeout' })
  },
  handle: (method, handler) => { bus.handle(method, async (params, from) => await pause.waitWhilePaused(handler(params, from))) }
})

/** Ejections of one daemon process, with its own clock, table client and list of targets. */
interface Process {
  readonly pause: ProcessPause
  readonly ejections: Ejections
  readonly faults: ReturnType<FakePlatform['connect']>['faults']
  targets: readonly Target[]
  isTicking: boolean
}

/** Daemons under test, and the check of their common invariant. */
class SimulatedFleet {
  readonly clock = ManualClock.create()
  readonly platform = FakePlatform.create(this.clock)
  readonly network = FakePeerNetwork.create(this.clock)
  readonly breaches: string[] = []
  readonly processes: Process[] = []
  readonly leavingIds = new Set<string>()
  private startCount = 0
  /** Largest number of targets that were ejected at once; shows that a run ejected any at all. */
  maxEjected = 0

  constructor (readonly floorSlots: number, daemons: number) {
    for (let index = 0; index < daemons; index++) this.processes.push(this.start(index))
  }

  start (index: number): Process {
    const startId = `start-${this.startCount++}`
    const pause = new ProcessPause()
    const clock = this.skewedClock(this.startCount)
    const { platform, faults } = this.platform.connect()
    const bus = this.network.join({ instanceId: `daemon-${index}`, startId, region: 'local', availabilityZone: 'a' })
    const process: { value?: Process } = {}
    const invariants = Invariants.create({ clock, log: silentLog, registry: createRegistry({}), onBreach: breach => { this.breaches.push(breach.name) } })
    const ejections = Ejections.create({
      table: pausableTable(platform, pause, clock),
      bus: pausableBus(bus, pause, clock),
      clock,
      random: SeededRandom.create(this.startCount),
      invariants,
      services: () => [SERVICE],
      capacity: () => computeCapacity(process.value?.targets ?? [], { floorSlots: this.floorSlots, coldStartMs: 0, wallMs: clock.wallMs() })
    })
    process.value = { pause, ejections, faults, targets: this.listTargets(), isTicking: false }
    return process.value
  }

  restart (index: number): void {
    const old = this.processes[index]
    if (old !== undefined) old.pause.isPaused = true
    this.processes[index] = this.start(index)
  }

  /** Starts a round of maintenance in every running process, then advances the clock. */
  async advance (durationMs: number): Promise<void> {
    for (const process of this.running()) this.tick(process)
    await this.clock.advanceMs(0)
    this.checkFloor()
    await this.clock.advanceMs(durationMs)
    this.checkFloor()
  }

  run (index: number, act: (ejections: Ejections) => Promise<unknown>): void {
    const process = this.processes[index % this.processes.length]
    if (process !== undefined && !process.pause.isPaused) act(process.ejections).catch((error: unknown) => { this.breaches.push(String(error)) })
  }

  /** Checks that, after all ejections by any running daemon, the live targets known to any of them still keep the floor. */
  checkFloor (): void {
    const running = this.running()
    const liveIdsOf = ({ targets }: Process): readonly string[] => targets.filter(target => !target.isLeaving).map(target => target.id)
    const ejectedIdsOf = (process: Process): readonly string[] => liveIdsOf(process).filter(id => process.ejections.view(SERVICE).statuses.has(id))
    const liveIds = new Set(running.flatMap(liveIdsOf))
    const ejectedIds = [...new Set(running.flatMap(ejectedIdsOf))]
    this.maxEjected = Math.max(this.maxEjected, ejectedIds.length)
    const remainingSlots = (liveIds.size - ejectedIds.length) * SLOTS
    if (ejectedIds.length > 0) expect(remainingSlots, `ejected: ${ejectedIds.join(' ')}`).to.be.at.least(this.floorSlots)
    expect(this.breaches).to.deep.equal([])
  }

  running (): readonly Process[] {
    return this.processes.filter(process => !process.pause.isPaused)
  }

  private tick (process: Process): void {
    process.targets = this.listTargets()
    if (process.isTicking) return
    process.isTicking = true
    process.ejections.maintain().then(() => { process.isTicking = false }, (error: unknown) => { this.breaches.push(String(error)) })
  }

  private listTargets (): readonly Target[] {
    return Array.from({ length: TARGETS }, (_, index) => fakeTarget(`t${index}`, { isLeaving: this.leavingIds.has(`t${index}`), slots: SLOTS }))
  }

  /** Clock whose monotonic origin and wall-clock time differ between processes. */
  private skewedClock (start: number): Clock {
    const { clock } = this
    return { ...clock, monotonicMs: () => clock.monotonicMs() + start * 1_000_003, wallMs: () => clock.wallMs() + (start % 3 - 1) * 3_000 }
  }
}

type Step = (fleet: SimulatedFleet) => Promise<void>

const createRequest = (target: number): EjectionRequest => ({ targetId: `t${target}`, severity: target / TARGETS, reason: 'server-error', holdMs: 10_000, maxHoldMs: 300_000 })

const command = (name: string, step: Step): fc.AsyncCommand<object, SimulatedFleet> => ({
  check: () => true,
  run: async (_model, fleet) => {
    await step(fleet)
    await fleet.clock.advanceMs(0)
    fleet.checkFloor()
  },
  toString: () => name
})

const ejectAll = async (fleet: SimulatedFleet): Promise<void> => {
  fleet.processes.forEach((_, d) => { fleet.run(d, async ejections => await ejections.eject(SERVICE, createRequest(d))) })
}

const daemon = fc.nat(4)
const target = fc.nat(TARGETS - 1)
const delays = [0, 0, 300, 5_000]

const commands: Array<fc.Arbitrary<fc.AsyncCommand<object, SimulatedFleet>>> = [
  fc.tuple(daemon, target).map(([d, t]) => command(`eject(${d},${t})`, async fleet => { fleet.run(d, async ejections => await ejections.eject(SERVICE, createRequest(t))) })),
  fc.constant(0).map(() => command('ejectAll', ejectAll)),
  fc.tuple(daemon, target, fc.constantFrom('trial' as const, 'released' as const)).map(([d, t, stage]) =>
    command(`move(${d},${t},${stage})`, async fleet => { fleet.run(d, async ejections => await ejections.moveToStage(SERVICE, `t${t}`, stage)) })),
  fc.constantFrom(10, 1_000, 1_000, 9_000, 9_000, 31_000, 7_300_000).map(ms => command(`advance(${ms})`, async fleet => { await fleet.advance(ms) })),
  daemon.map(d => command(`pause(${d})`, async fleet => { const process = fleet.processes[d]; if (process !== undefined) process.pause.isPaused = true })),
  daemon.map(d => command(`resume(${d})`, async fleet => { fleet.processes[d]?.pause.resume() })),
  daemon.map(d => command(`restart(${d})`, async fleet => { if (d < fleet.processes.length) fleet.restart(d) })),
  fc.tuple(daemon, daemon, fc.boolean()).map(([a, b, isCut]) => command(`link(${a},${b},${isCut})`, async fleet => { fleet.network.setLink(`daemon-${a}`, `daemon-${b}`, isCut) })),
  fc.boolean().map(isDown => command(`down(${isDown})`, async fleet => { for (const process of fleet.processes) process.faults.isDown = isDown })),
  fc.tuple(daemon, fc.boolean()).map(([d, isDown]) => command(`down(${d},${isDown})`, async fleet => { const process = fleet.processes[d]; if (process !== undefined) process.faults.isDown = isDown })),
  fc.tuple(daemon, fc.boolean()).map(([d, loses]) => command(`lose(${d},${loses})`, async fleet => { const process = fleet.processes[d]; if (process !== undefined) process.faults.losesAnswers = loses })),
  fc.tuple(daemon, fc.boolean()).map(([d, isStale]) => command(`stale(${d},${isStale})`, async fleet => { const process = fleet.processes[d]; if (process !== undefined) process.faults.isReplicaStale = isStale })),
  fc.tuple(daemon, fc.constantFrom(...delays)).map(([d, ms]) => command(`delay(${d},${ms})`, async fleet => { const process = fleet.processes[d]; if (process !== undefined) process.faults.delayMs = ms })),
  fc.constant(0).map(() => command('syncReplica', async fleet => { fleet.platform.table.syncReplica() })),
  target.map(t => command(`leave(${t})`, async fleet => { fleet.leavingIds.add(`t${t}`) })),
  target.map(t => command(`join(${t})`, async fleet => { fleet.leavingIds.delete(`t${t}`) }))
]

const makeTableUnavailable = async (fleet: SimulatedFleet): Promise<void> => {
  for (const process of fleet.processes) process.faults.isDown = true
}

const advance = (durationMs: number): Step => async fleet => { await fleet.advance(durationMs) }

const markLeaving = (id: string): Step => async fleet => { fleet.leavingIds.add(id) }

const replay = async (fleet: SimulatedFleet, steps: readonly Step[]): Promise<void> => {
  for (const step of steps) {
    await step(fleet)
    await fleet.clock.advanceMs(0)
    fleet.checkFloor()
  }
}

describe('Ejections under faults', () => {
  it('expire with the allowance even if the target is leaving (regression: seed 1)', async () => {
    await replay(new SimulatedFleet(12, 3), [ejectAll, advance(9_000), makeTableUnavailable, ejectAll, markLeaving('t0'), advance(7_300_000)])
  })

  it('keep the capacity floor under pauses, restarts, partitions, stale reads and concurrent edits', async () => {
    let maxEjected = 0
    let runs = 0
    const property = fc.asyncProperty(fc.constantFrom(12, 24, 30, 36, 42), fc.integer({ min: 3, max: 5 }), fc.commands(commands, { maxCommands: 80, size: 'max' }), async (floorSlots, daemons, steps) => {
      const fleet = new SimulatedFleet(floorSlots, daemons)
      runs++
      await fc.asyncModelRun(() => ({ model: {}, real: fleet }), steps)
      maxEjected = Math.max(maxEjected, fleet.maxEjected)
    })
    await fc.assert(property, { seed: Number(process.env.FUZZ_SEED ?? 5), numRuns: Number(process.env.FUZZ_RUNS ?? 60) })
    expect(maxEjected, `targets ejected at once in ${runs} runs`).to.be.at.least(4)
  })
})
