import { setMaxListeners } from 'node:events'
import type { JsonValue, Random } from '@lovagehoist/common'
import { Caller } from '../load/caller.js'
import { runOpenLoop } from '../load/openLoop.js'
import { measuredDocument } from '../measure/documents.js'
import { Fleet } from '../measure/fleet.js'
import { Balancer } from './balancer.js'
import { faults } from './faults.js'
import type { FaultContext } from './faults.js'
import { FaultLoop } from './faultLoop.js'
import { countBy } from './groups.js'
import { findBreaches } from './soakOracle.js'
import type { SoakBreach } from './soakOracle.js'
import { DumpMonitor } from './dumpMonitor.js'
import { Workload } from './workload.js'

/** Options of a soak run. */
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
  /** Number of responses that the fleet itself generated, by problem. */
  readonly problems: Readonly<Record<string, number>>
  readonly faults: Readonly<Record<string, number>>
  readonly breaches: readonly SoakBreach[]
  readonly versionRegressions: number
  readonly invariantBreaches: readonly JsonValue[]
  /** Starts and ends of faults, in order. */
  readonly trace: readonly string[]
}

const SLOTS = 6
/** Number of targets by service, as deployed. */
const TARGETS_BY_SERVICE: Readonly<Record<string, number>> = { burnbook: 8, sackpay: 16, kilndesk: 6, etlap: 9, beszerzes: 19, kiszallitas: 6 }
const SLOT_FLOOR_SHARE = 0.6
const DUMP_INTERVAL_MS = 2_000
const MAX_REPORTED_BREACHES = 5

const createServicePlan = (count: number, retryBudgetShare: number): Parameters<typeof measuredDocument>[0][string] =>
  ({ plannedTargets: count, slotsPerTarget: SLOTS, floorSlots: Math.floor(count * SLOT_FLOOR_SHARE) * SLOTS, profile: 'fast', retryBudgetShare })

const createDocument = (random: Random): JsonValue =>
  measuredDocument(Object.fromEntries(Object.entries(TARGETS_BY_SERVICE).map(([name, count]) => [name, createServicePlan(count, 0.1 + random.next() / 10)])))

const createContext = async (options: SoakOptions): Promise<FaultContext> => {
  const fleet = await Fleet.create(options.seed, 4)
  fleet.usePeerProxies()
  for (const [service, count] of Object.entries(TARGETS_BY_SERVICE)) {
    for (let index = 0; index < count; index++) await fleet.addTarget(service, { slots: SLOTS })
  }
  await fleet.promote(createDocument(options.random))
  const daemons: FaultContext['daemons'] = []
  const urls: FaultContext['urls'] = new Map()
  const drain = { balancerLagMs: 500, longestExchangeMs: 15_000 }
  const context: FaultContext = {
    fleet,
    random: options.random,
    targets: [...fleet.targets],
    daemons,
    urls,
    promote: async () => { await fleet.promote(createDocument(options.random)).catch(() => {}) },
    addDaemon: async () => {
      const daemon = await fleet.addDaemon({ drain })
      urls.set(daemon.id, `http://127.0.0.1:${(await daemon.ports).callers}`)
      daemons.push(daemon)
    }
  }
  for (let index = 0; index < options.instances; index++) await context.addDaemon()
  return context
}

const pollDumps = async (monitor: DumpMonitor, context: FaultContext, signal: AbortSignal): Promise<void> => {
  while (!signal.aborted) {
    await context.fleet.clock.sleepMs(DUMP_INTERVAL_MS, signal)
    await monitor.poll(id => context.daemons.some(daemon => daemon.id === id))
  }
}

const summarise = async (options: SoakOptions, context: FaultContext, workload: Workload, monitor: DumpMonitor, loop: FaultLoop<FaultContext>): Promise<SoakSummary> => {
  const { records } = workload
  const breaches = findBreaches(records, await context.fleet.journal())
  const findings = monitor.findings()
  return {
    isClean: breaches.length === 0 && findings.versionRegressions === 0 && findings.invariantBreaches.length === 0,
    seed: options.seed,
    repeatWith: `npm run soak -- --seed ${options.seed} --minutes ${options.durationMs / 60_000} --instances ${options.instances} --per-second ${options.perSecond}`,
    requests: records.length,
    answered: records.filter(record => record.verdict === 'ran').length,
    notRun: records.filter(record => record.verdict === 'not-run').length,
    mayHaveRun: records.filter(record => record.verdict === 'may-have-run').length,
    broken: records.filter(record => record.verdict === undefined).length,
    problems: countBy(records.map(record => record.problem).filter(problem => problem !== '')),
    faults: loop.counts,
    breaches: breaches.slice(0, MAX_REPORTED_BREACHES),
    ...findings,
    trace: loop.trace
  }
}

/**
 * Runs real daemons with stand-ins under load and random faults.
 *
 * @param options - Seed, duration and size.
 * @returns Counts of outcomes, and the first breaches of the fleet's guarantees.
 */
export const runSoak = async (options: SoakOptions): Promise<SoakSummary> => {
  const context = await createContext(options)
  const { fleet } = context
  const { clock } = fleet
  const caller = Caller.create(clock)
  const monitor = DumpMonitor.create(fleet)
  const loop = FaultLoop.create({ context, faults, clock, random: options.random, progress: options.progress })
  const balancer = Balancer.create(context)
  const stop = new AbortController()
  setMaxListeners(0, stop.signal)
  try {
    const workload = Workload.create({
      clock,
      random: options.random,
      caller,
      services: Object.keys(TARGETS_BY_SERVICE),
      urls: () => balancer.urls()
    })
    const background = [loop.run(stop.signal), pollDumps(monitor, context, stop.signal), balancer.run(stop.signal)]
    await runOpenLoop({ clock, perSecond: options.perSecond, durationMs: options.durationMs }, async () => { await workload.sendOne() })
    stop.abort()
    await Promise.all(background)
    return await summarise(options, context, workload, monitor, loop)
  } finally {
    await caller.close()
    await fleet.close()
  }
}
