import { setMaxListeners } from 'node:events'
import { SeededRandom } from '@lovagehoist/common'
import { FaultLoop } from '../faultLoop.js'
import { countBy } from '../groups.js'
import { gatewayFaults } from './gatewayFaults.js'
import { findGatewayBreaches } from './gatewayOracle.js'
import type { GatewayBreach, SoakCall, SoakConditions, SoakRun } from './gatewayOracle.js'
import { SoakCaller } from './soakCaller.js'
import { SoakFleet } from './soakFleet.js'

/** Arguments of a soak. */
export interface GatewaySoakOptions {
  readonly seed: number
  readonly durationMs: number
  readonly instances: number
  readonly callers: number
  /** Names of the faults that may come; all of them when absent. */
  readonly only?: readonly string[]
  readonly progress: (line: string) => void
}

/** Result of a soak. */
export interface GatewaySoakSummary {
  readonly isClean: boolean
  readonly seed: number
  readonly requests: number
  readonly statuses: Readonly<Record<string, number>>
  readonly faults: Readonly<Record<string, number>>
  readonly breaches: readonly GatewayBreach[]
  /** Last output of the processes that the breaches are about. */
  readonly output: Readonly<Record<string, readonly string[]>>
  /** Faults that were begun and ended, in order. */
  readonly trace: readonly string[]
}

const TARGETS_OF_SERVICE = 6
const LOOK_MS = 1_000
const READY_LOOK_MS = 250
const KEPT_BREACHES = 5
/** Requests in a row that must be served when all faults are over. */
const SERVED_IN_A_ROW = 40
/** Time in which that must come: the platform's `recovery`. */
const RECOVERY_MS = 15_000
const OK = 200
/** Keeps the seeds of callers of different runs apart. */
const SEEDS_APART = 1_000

const runsOf = ({ targets, gone }: SoakFleet): readonly SoakRun[] =>
  [...targets, ...gone].flatMap(({ target, service, leftAtMs }) =>
    target.runs.map(({ requestId, path, body, atMs }) => ({ requestId, path, body, service, targetId: target.id, atMs, targetLeftAtMs: leftAtMs })))

const conditionsOf = (fleet: SoakFleet): SoakConditions => ({
  changedAtMs: fleet.config.changedAtMs,
  isStoreCalm: (fromMs, toMs) => !fleet.storeTroubles.between(fromMs, toMs),
  isInstanceCalm: (id, fromMs, toMs) => fleet.instances.find(instance => instance.id === id)?.troubles.between(fromMs, toMs) === false,
  isTargetCalm: (id, fromMs, toMs) => [...fleet.targets, ...fleet.gone].find(({ target }) => target.id === id)?.troubles.between(fromMs, toMs) === false
})

const askReadiness = async (fleet: SoakFleet, signal: AbortSignal): Promise<void> => {
  while (!signal.aborted) {
    await Promise.all(fleet.instances.map(async instance => { await fleet.askReady(instance) }))
    await fleet.clock.sleepMs(READY_LOOK_MS, signal)
  }
}

/** Whether requests are served again one after another. */
const recovers = async (fleet: SoakFleet, caller: SoakCaller): Promise<boolean> => {
  const untilMs = fleet.clock.monotonicMs() + RECOVERY_MS
  for (let served = 0; served < SERVED_IN_A_ROW;) {
    if (fleet.clock.monotonicMs() > untilMs) return false
    served = await caller.sendOne() === OK ? served + 1 : 0
    if (served === 0) await fleet.clock.sleepMs(READY_LOOK_MS)
  }
  return true
}

const chosenFaults = ({ only }: GatewaySoakOptions): typeof gatewayFaults =>
  only === undefined ? gatewayFaults : Object.fromEntries(Object.entries(gatewayFaults).filter(([name]) => only.includes(name)))

const callerRandom = ({ seed }: GatewaySoakOptions, index: number): SeededRandom => SeededRandom.create(seed * SEEDS_APART + index)

const summarise = (options: GatewaySoakOptions, fleet: SoakFleet, calls: readonly SoakCall[], breaches: readonly GatewayBreach[], loop: FaultLoop<SoakFleet>): GatewaySoakSummary => {
  const blamed = new Set(breaches.flatMap(({ call }) => call?.instanceId ?? fleet.instances.map(({ id }) => id)))
  return {
    isClean: breaches.length === 0,
    seed: options.seed,
    requests: calls.length,
    statuses: countBy(calls.map(({ status }) => status)),
    faults: loop.counts,
    breaches: breaches.slice(0, KEPT_BREACHES),
    output: Object.fromEntries(fleet.instances.filter(({ id }) => blamed.has(id)).map(({ id, process: { output } }) => [id, output])),
    trace: breaches.length === 0 ? [] : loop.trace
  }
}

/**
 * Runs real gateway daemons as processes under load and randomised faults from outside them.
 *
 * @param options - Seed, time and size.
 * @returns What was seen, with every broken promise.
 */
export const runGatewaySoak = async (options: GatewaySoakOptions): Promise<GatewaySoakSummary> => {
  const random = SeededRandom.create(options.seed)
  const fleet = await SoakFleet.create(random, { instances: options.instances, targetsOfService: TARGETS_OF_SERVICE })
  const loop = FaultLoop.create({ world: fleet, faults: chosenFaults(options), clock: fleet.clock, random, progress: options.progress })
  const callers = Array.from({ length: options.callers }, (_, index) => SoakCaller.create(fleet, callerRandom(options, index)))
  const [stopFaults, stopAll] = [new AbortController(), new AbortController()]
  for (const { signal } of [stopFaults, stopAll]) setMaxListeners(0, signal)
  const look = (): readonly GatewayBreach[] => findGatewayBreaches(callers.flatMap(({ calls }) => calls), runsOf(fleet), conditionsOf(fleet))
  try {
    const asking = askReadiness(fleet, stopAll.signal)
    await fleet.settle()
    const load = callers.map(async caller => { await caller.run(stopAll.signal) })
    const faults = loop.run(stopFaults.signal)
    const untilMs = fleet.clock.monotonicMs() + options.durationMs
    while (fleet.clock.monotonicMs() < untilMs && look().length === 0) await fleet.clock.sleepMs(LOOK_MS)
    stopFaults.abort()
    await faults
    const last = SoakCaller.create(fleet, callerRandom(options, options.callers))
    callers.push(last)
    const hasRecovered = await recovers(fleet, last)
    stopAll.abort()
    await Promise.all([...load, asking])
    const breaches = [...look(), ...(hasRecovered ? [] : [{ kind: 'not-recovered', call: undefined, runs: [] }])]
    return summarise(options, fleet, callers.flatMap(({ calls }) => calls), breaches, loop)
  } finally {
    stopFaults.abort()
    stopAll.abort()
    await fleet.close()
  }
}
