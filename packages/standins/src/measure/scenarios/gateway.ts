import { SeededRandom } from '@lovagehoist/common'
import { runOpenLoop } from '../../load/openLoop.js'
import { SoakCaller } from '../../soak/gateway/soakCaller.js'
import { SoakFleet } from '../../soak/gateway/soakFleet.js'
import { cpuSecondsOf, residentMbOf } from '../processUsage.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'

const TARGETS_OF_SERVICE = 15
const MS_PER_SECOND = 1_000
/** Time after which startup and the first reads of the store are over. */
const WARM_UP_MS = 5_000
const POLL_INTERVAL_MS = 20
/** Requests per second and daemon under load, as in the users' deployments. */
const REQUESTS_PER_DAEMON = 3
const ROUNDING_FACTOR = 10_000

const round = (value: number): number => Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR

const waitUntilReady = async (fleet: SoakFleet): Promise<number> => {
  const startedAtMs = fleet.clock.monotonicMs()
  while (fleet.instances.some(({ isReady }) => !isReady)) {
    await Promise.all(fleet.instances.map(async instance => { await fleet.updateReadiness(instance) }))
    await fleet.clock.sleepMs(POLL_INTERVAL_MS)
  }
  return fleet.clock.monotonicMs() - startedAtMs
}

interface DaemonUsage {
  /** CPU of one daemon as a fraction of a core. */
  readonly cpuShare: number
  readonly storeCallsPerSecond: number
}

/** Measures CPU and store calls per daemon while `work` runs. */
const measureUsage = async (fleet: SoakFleet, work: () => Promise<void>): Promise<DaemonUsage> => {
  const daemons = fleet.instances.map(({ process: daemon }) => daemon)
  const calls = (): number => [...fleet.store.callsByPath.values()].reduce((sum, count) => sum + count, 0)
  const before = { cpuSeconds: await cpuSecondsOf(daemons), calls: calls(), atMs: fleet.clock.monotonicMs() }
  await work()
  const daemonSeconds = daemons.length * (fleet.clock.monotonicMs() - before.atMs) / MS_PER_SECOND
  return { cpuShare: round((await cpuSecondsOf(daemons) - before.cpuSeconds) / daemonSeconds), storeCallsPerSecond: round((calls() - before.calls) / daemonSeconds) }
}

const sendLoad = async (fleet: SoakFleet, seed: number, durationMs: number): Promise<number> => {
  const callers = fleet.instances.flatMap(() => Array.from({ length: REQUESTS_PER_DAEMON }, (_, index) => SoakCaller.create(fleet, SeededRandom.create(seed + index))))
  const perSecond = REQUESTS_PER_DAEMON * fleet.instances.length
  await runOpenLoop({ clock: fleet.clock, perSecond, durationMs }, async index => { await callers[index % callers.length]?.sendOne() })
  await Promise.all(callers.map(async caller => { await caller.disconnect() }))
  return callers.flatMap(({ calls }) => calls).filter(({ status }) => status === 200).length
}

const run = async ({ seed, variant, instances, durationMs }: ScenarioArguments): Promise<Figures> => {
  const fleet = await SoakFleet.create(SeededRandom.create(seed), { instances, targetsPerService: TARGETS_OF_SERVICE })
  try {
    const readyMs = await waitUntilReady(fleet)
    await fleet.clock.sleepMs(WARM_UP_MS)
    const idle = await measureUsage(fleet, async () => { await fleet.clock.sleepMs(durationMs) })
    let requests = 0
    const loaded = await measureUsage(fleet, async () => { requests = await sendLoad(fleet, seed, durationMs) })
    return {
      scenario: 'gateway',
      variant,
      seed,
      instances,
      targets: fleet.targets.length,
      requests,
      wrongAnswers: null,
      duplicateRuns: null,
      falseNotRun: null,
      floorBreaches: null,
      invariantBreaches: null,
      readyMs: Math.round(readyMs),
      residentMb: round(await residentMbOf(fleet.instances.map(({ process: daemon }) => daemon))),
      idleCpuShare: idle.cpuShare,
      idleStoreCallsPerSecond: idle.storeCallsPerSecond,
      loadedCpuShare: loaded.cpuShare,
      loadedStoreCallsPerSecond: loaded.storeCallsPerSecond
    }
  } finally {
    await fleet.close()
  }
}

/** Measures the cost of a gateway daemon when idle and under a light load. */
export const gateway: Scenario = {
  name: 'gateway',
  summary: 'startup time, memory, CPU time and store calls of real gateway daemons, idle and at 3 requests per second each',
  defaultInstances: 12,
  defaultSeconds: 20,
  run
}
