import { SeededRandom } from '@lovagehoist/common'
import { runOpenLoop } from '../../load/openLoop.js'
import { SoakCaller } from '../../soak/gateway/soakCaller.js'
import { SoakFleet } from '../../soak/gateway/soakFleet.js'
import { cpuSecondsOf, residentMbOf } from '../processUsage.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'

const TARGETS_OF_SERVICE = 15
const MS_PER_SECOND = 1_000
/** Start and first reads are over after this. */
const WARM_MS = 5_000
const LOOK_MS = 20
/** Requests each daemon gets in a second under load, as on the users' sites. */
const PER_DAEMON = 3
const ROUND = 10_000

const rounded = (value: number): number => Math.round(value * ROUND) / ROUND

const untilReady = async (fleet: SoakFleet): Promise<number> => {
  const startedAtMs = fleet.clock.monotonicMs()
  while (fleet.instances.some(({ isReady }) => !isReady)) {
    await Promise.all(fleet.instances.map(async instance => { await fleet.askReady(instance) }))
    await fleet.clock.sleepMs(LOOK_MS)
  }
  return fleet.clock.monotonicMs() - startedAtMs
}

interface Usage {
  /** Processor time of one daemon in a second, in cores. */
  readonly cpuShare: number
  readonly storeCallsPerSecond: number
}

/** Processor time and store calls for each daemon while something is done. */
const usageOf = async (fleet: SoakFleet, work: () => Promise<void>): Promise<Usage> => {
  const daemons = fleet.instances.map(({ process: running }) => running)
  const calls = (): number => [...fleet.store.calls.values()].reduce((sum, count) => sum + count, 0)
  const before = { cpuSeconds: await cpuSecondsOf(daemons), calls: calls(), atMs: fleet.clock.monotonicMs() }
  await work()
  const perDaemon = daemons.length * (fleet.clock.monotonicMs() - before.atMs) / MS_PER_SECOND
  return { cpuShare: rounded((await cpuSecondsOf(daemons) - before.cpuSeconds) / perDaemon), storeCallsPerSecond: rounded((calls() - before.calls) / perDaemon) }
}

const underLoad = async (fleet: SoakFleet, seed: number, durationMs: number): Promise<number> => {
  const callers = fleet.instances.flatMap(() => Array.from({ length: PER_DAEMON }, (_, index) => SoakCaller.create(fleet, SeededRandom.create(seed + index))))
  const perSecond = PER_DAEMON * fleet.instances.length
  await runOpenLoop({ clock: fleet.clock, perSecond, durationMs }, async index => { await callers[index % callers.length]?.sendOne() })
  await Promise.all(callers.map(async caller => { await caller.hangUp() }))
  return callers.flatMap(({ calls }) => calls).filter(({ status }) => status === 200).length
}

const run = async ({ seed, variant, instances, durationMs }: ScenarioArguments): Promise<Figures> => {
  const fleet = await SoakFleet.create(SeededRandom.create(seed), { instances, targetsOfService: TARGETS_OF_SERVICE })
  try {
    const readyMs = await untilReady(fleet)
    await fleet.clock.sleepMs(WARM_MS)
    const idle = await usageOf(fleet, async () => { await fleet.clock.sleepMs(durationMs) })
    let requests = 0
    const loaded = await usageOf(fleet, async () => { requests = await underLoad(fleet, seed, durationMs) })
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
      residentMb: rounded(await residentMbOf(fleet.instances.map(({ process: running }) => running))),
      idleCpuShare: idle.cpuShare,
      idleStoreCallsPerSecond: idle.storeCallsPerSecond,
      loadedCpuShare: loaded.cpuShare,
      loadedStoreCallsPerSecond: loaded.storeCallsPerSecond
    }
  } finally {
    await fleet.close()
  }
}

/** What a gateway daemon costs, idle and with some requests a second. */
export const gateway: Scenario = {
  name: 'gateway',
  summary: 'start, memory, processor time and store calls of real gateway daemons, idle and at 3 requests a second each',
  defaultInstances: 12,
  defaultSeconds: 20,
  run
}
