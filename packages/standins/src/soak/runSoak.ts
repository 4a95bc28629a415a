import { setMaxListeners } from 'node:events'
import type { JsonValue, Random } from '@lovagehoist/common'
import { Caller } from '../load/caller.js'
import { runOpenLoop } from '../load/openLoop.js'
import { measuredDocument } from '../measure/documents.js'
import { Fleet } from '../measure/fleet.js'
import { Balancer } from './balancer.js'
import { faults } from './faults.js'
import type { FaultWorld } from './faults.js'
import { FaultLoop } from './faultLoop.js'
import { countBy } from './groups.js'
import { findBreaches } from './soakOracle.js'
import type { SoakBreach } from './soakOracle.js'
import { DumpWatch } from './watch.js'
import { Workload } from './workload.js'

/** Arguments of a soak run. */
export interface SoakOptions {
  readonly seed: number
  readonly random: Random
  readonly durationMs: number
  readonly instances: number
  readonly perSecond: number
  readonly progress: (line: string) => void
}

/** Result of a soak run. */
export interface SoakSummary {
  readonly isClean: boolean
  readonly seed: number
  readonly repeatWith: string
  readonly requests: number
  readonly answered: number
  readonly notRun: number
  readonly mayHaveRun: number
  readonly broken: number
  /** Answers of the fleet itself, by reason. */
  readonly problems: Readonly<Record<string, number>>
  readonly faults: Readonly<Record<string, number>>
  readonly breaches: readonly SoakBreach[]
  readonly versionRegressions: number
  readonly invariantBreaches: readonly JsonValue[]
  /** Faults that were begun and ended, in order. */
  readonly trace: readonly string[]
}

const SLOTS = 6
/** Targets of each service, by deployment. */
const SERVICES: Readonly<Record<string, number>> = { burnbook: 8, sackpay: 16, kilndesk: 6, etlap: 9, beszerzes: 19, kiszallitas: 6 }
const FLOOR_SHARE = 0.6
const LOOK_MS = 2_000
const KEPT_BREACHES = 5

const planOf = (count: number, retryBudgetShare: number): Parameters<typeof measuredDocument>[0][string] =>
  ({ plannedTargets: count, slotsPerTarget: SLOTS, floorSlots: Math.floor(count * FLOOR_SHARE) * SLOTS, profile: 'fast', retryBudgetShare })

const documentOf = (random: Random): JsonValue =>
  measuredDocument(Object.fromEntries(Object.entries(SERVICES).map(([name, count]) => [name, planOf(count, 0.1 + random.next() / 10)])))

const createWorld = async (options: SoakOptions): Promise<FaultWorld> => {
  const fleet = await Fleet.create(options.seed, 4)
  fleet.useRelays()
  for (const [service, count] of Object.entries(SERVICES)) {
    for (let index = 0; index < count; index++) await fleet.addTarget(service, { slots: SLOTS })
  }
  await fleet.promote(documentOf(options.random))
  const daemons: FaultWorld['daemons'] = []
  const urls: FaultWorld['urls'] = new Map()
  const drain = { balancerLagMs: 500, longestExchangeMs: 15_000 }
  const world: FaultWorld = {
    fleet,
    random: options.random,
    targets: [...fleet.targets],
    daemons,
    urls,
    promote: async () => { await fleet.promote(documentOf(options.random)).catch(() => {}) },
    addDaemon: async () => {
      const daemon = await fleet.addDaemon({ drain })
      urls.set(daemon.id, `http://127.0.0.1:${(await daemon.ports).callers}`)
      daemons.push(daemon)
    }
  }
  for (let index = 0; index < options.instances; index++) await world.addDaemon()
  return world
}

const lookUntil = async (watch: DumpWatch, world: FaultWorld, signal: AbortSignal): Promise<void> => {
  while (!signal.aborted) {
    await world.fleet.clock.sleepMs(LOOK_MS, signal)
    await watch.look(id => world.daemons.some(daemon => daemon.id === id))
  }
}

const summarise = async (options: SoakOptions, world: FaultWorld, workload: Workload, watch: DumpWatch, loop: FaultLoop<FaultWorld>): Promise<SoakSummary> => {
  const { records } = workload
  const breaches = findBreaches(records, await world.fleet.journal())
  const watched = watch.result()
  return {
    isClean: breaches.length === 0 && watched.versionRegressions === 0 && watched.invariantBreaches.length === 0,
    seed: options.seed,
    repeatWith: `npm run soak -- --seed ${options.seed} --minutes ${options.durationMs / 60_000} --instances ${options.instances} --per-second ${options.perSecond}`,
    requests: records.length,
    answered: records.filter(record => record.verdict === 'ran').length,
    notRun: records.filter(record => record.verdict === 'not-run').length,
    mayHaveRun: records.filter(record => record.verdict === 'may-have-run').length,
    broken: records.filter(record => record.verdict === undefined).length,
    problems: countBy(records.map(record => record.problem).filter(problem => problem !== '')),
    faults: loop.counts,
    breaches: breaches.slice(0, KEPT_BREACHES),
    ...watched,
    trace: loop.trace
  }
}

/**
 * Runs real daemons before stand-ins under load and randomised faults.
 *
 * @param options - Seed, time and size.
 * @returns What was seen, with every broken promise.
 */
export const runSoak = async (options: SoakOptions): Promise<SoakSummary> => {
  const world = await createWorld(options)
  const { fleet } = world
  const { clock } = fleet
  const caller = Caller.create(clock)
  const watch = DumpWatch.create(fleet)
  const loop = FaultLoop.create({ world, faults, clock, random: options.random, progress: options.progress })
  const balancer = Balancer.create(world)
  const stop = new AbortController()
  setMaxListeners(0, stop.signal)
  try {
    const workload = Workload.create({
      clock,
      random: options.random,
      caller,
      services: Object.keys(SERVICES),
      urls: () => balancer.urls()
    })
    const background = [loop.run(stop.signal), lookUntil(watch, world, stop.signal), balancer.run(stop.signal)]
    await runOpenLoop({ clock, perSecond: options.perSecond, durationMs: options.durationMs }, async () => { await workload.sendOne() })
    stop.abort()
    await Promise.all(background)
    return await summarise(options, world, workload, watch, loop)
  } finally {
    await caller.close()
    await fleet.close()
  }
}
