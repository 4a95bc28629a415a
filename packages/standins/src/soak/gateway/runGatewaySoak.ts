import { setMaxListeners } from 'node:events'
import { SeededRandom } from '@lovagehoist/common'
import { FaultLoop } from '../faultLoop.js'
import { countBy } from '../groups.js'
import { gatewayFaults } from './gatewayFaults.js'
import { findGatewayBreaches } from './gatewayOracle.js'
import type { GatewayBreach, SoakCall, SoakConditions, SoakRun } from './gatewayOracle.js'
import { findLimitBreaches } from './limitOracle.js'
import { findCrashBreaches, findDepartureBreaches } from './targetOracle.js'
import { SoakCaller } from './soakCaller.js'
import { SoakFleet } from './soakFleet.js'

/** Options of a gateway soak run. */
export interface GatewaySoakOptions {
  readonly seed: number
  readonly durationMs: number
  readonly instances: number
  readonly callers: number
  /** Names of the faults to inject; all faults when absent. */
  readonly only?: readonly string[]
  readonly progress: (line: string) => void
}

/** Result of a gateway soak run. */
export interface GatewaySoakSummary {
  readonly isClean: boolean
  readonly seed: number
  readonly requests: number
  readonly statuses: Readonly<Record<string, number>>
  readonly faults: Readonly<Record<string, number>>
  readonly breaches: readonly GatewayBreach[]
  /** Latest output of the instances that the breaches concern. */
  readonly output: Readonly<Record<string, readonly string[]>>
  /** Starts and ends of faults, in order; empty without breaches. */
  readonly trace: readonly string[]
}

const TARGETS_PER_SERVICE = 6
const ORACLE_INTERVAL_MS = 1_000
const READINESS_POLL_MS = 250
const MAX_REPORTED_BREACHES = 5
/** Number of consecutive requests that must be served after the last fault. */
const RECOVERY_STREAK = 40
/** Time limit for that; the platform's `recovery`. */
const RECOVERY_TIMEOUT_MS = 15_000
const STATUS_OK = 200
/** Distance between the caller seeds of consecutive runs, so that they do not overlap. */
const CALLER_SEED_STRIDE = 1_000

const collectRuns = ({ targets, removedTargets }: SoakFleet): readonly SoakRun[] =>
  [...targets, ...removedTargets].flatMap(({ target, service, drainedAtMs }) =>
    target.runs.map(({ requestId, path, body, atMs }) => ({ requestId, path, body, service, targetId: target.id, atMs, targetLeftAtMs: drainedAtMs })))

const createConditions = (fleet: SoakFleet): SoakConditions => ({
  publishedAtMs: fleet.config.publishedAtMs,
  isStoreFaultFree: (fromMs, toMs) => !fleet.storeFaultPeriods.overlaps(fromMs, toMs),
  isInstanceFaultFree: (id, fromMs, toMs) => fleet.instances.find(instance => instance.id === id)?.faultPeriods.overlaps(fromMs, toMs) === false,
  isTargetFaultFree: (id, fromMs, toMs) => [...fleet.targets, ...fleet.removedTargets].find(({ target }) => target.id === id)?.faultPeriods.overlaps(fromMs, toMs) === false
})

const pollReadiness = async (fleet: SoakFleet, signal: AbortSignal): Promise<void> => {
  while (!signal.aborted) {
    await Promise.all(fleet.instances.map(async instance => { await fleet.updateReadiness(instance) }))
    await fleet.clock.sleepMs(READINESS_POLL_MS, signal)
  }
}

/** Sends requests until enough consecutive ones were served; false when the time limit passes first. */
const waitForRecovery = async (fleet: SoakFleet, caller: SoakCaller): Promise<boolean> => {
  const deadlineMs = fleet.clock.monotonicMs() + RECOVERY_TIMEOUT_MS
  for (let servedInRow = 0; servedInRow < RECOVERY_STREAK;) {
    if (fleet.clock.monotonicMs() > deadlineMs) return false
    servedInRow = await caller.sendOne() === STATUS_OK ? servedInRow + 1 : 0
    if (servedInRow === 0) await fleet.clock.sleepMs(READINESS_POLL_MS)
  }
  return true
}

const selectFaults = ({ only }: GatewaySoakOptions): typeof gatewayFaults =>
  only === undefined ? gatewayFaults : Object.fromEntries(Object.entries(gatewayFaults).filter(([name]) => only.includes(name)))

const createCallerRandom = ({ seed }: GatewaySoakOptions, index: number): SeededRandom => SeededRandom.create(seed * CALLER_SEED_STRIDE + index)

const summarise = (options: GatewaySoakOptions, fleet: SoakFleet, calls: readonly SoakCall[], breaches: readonly GatewayBreach[], loop: FaultLoop<SoakFleet>): GatewaySoakSummary => {
  const affectedIds = new Set(breaches.flatMap(({ call }) => call?.instanceId ?? fleet.instances.map(({ id }) => id)))
  return {
    isClean: breaches.length === 0,
    seed: options.seed,
    requests: calls.length,
    statuses: countBy(calls.map(({ status }) => status)),
    faults: loop.counts,
    breaches: breaches.slice(0, MAX_REPORTED_BREACHES),
    output: Object.fromEntries(fleet.instances.filter(({ id }) => affectedIds.has(id)).map(({ id, process: { output } }) => [id, output])),
    trace: breaches.length === 0 ? [] : loop.trace
  }
}

/**
 * Runs real gateway daemons as processes under load, with random faults injected from outside.
 *
 * @param options - Seed, duration and size.
 * @returns Counts of outcomes, and the first breaches of the fleet's guarantees.
 */
export const runGatewaySoak = async (options: GatewaySoakOptions): Promise<GatewaySoakSummary> => {
  const random = SeededRandom.create(options.seed)
  const fleet = await SoakFleet.create(random, { instances: options.instances, targetsPerService: TARGETS_PER_SERVICE })
  const loop = FaultLoop.create({ context: fleet, faults: selectFaults(options), clock: fleet.clock, random, progress: options.progress })
  const callers = Array.from({ length: options.callers }, (_, index) => SoakCaller.create(fleet, createCallerRandom(options, index)))
  const [stopFaults, stopAll] = [new AbortController(), new AbortController()]
  for (const { signal } of [stopFaults, stopAll]) setMaxListeners(0, signal)
  const findBreaches = (): readonly GatewayBreach[] => {
    const runs = collectRuns(fleet)
    const isFleetFaultFree = (fromMs: number, toMs: number): boolean => fleet.instances.every(({ faultPeriods }) => !faultPeriods.overlaps(fromMs, toMs))
    const calls = callers.flatMap(caller => caller.calls)
    return [
      ...findGatewayBreaches(calls, runs, createConditions(fleet)),
      ...findLimitBreaches(fleet.limits, runs, isFleetFaultFree),
      ...findDepartureBreaches(fleet.departures, runs, isFleetFaultFree),
      ...findCrashBreaches(calls, runs, isFleetFaultFree)
    ]
  }
  try {
    const readinessPolling = pollReadiness(fleet, stopAll.signal)
    await fleet.waitUntilReady()
    const load = callers.map(async caller => { await caller.run(stopAll.signal) })
    const faults = loop.run(stopFaults.signal)
    const endMs = fleet.clock.monotonicMs() + options.durationMs
    while (fleet.clock.monotonicMs() < endMs && findBreaches().length === 0) await fleet.clock.sleepMs(ORACLE_INTERVAL_MS)
    stopFaults.abort()
    await faults
    const recoveryCaller = SoakCaller.create(fleet, createCallerRandom(options, options.callers))
    callers.push(recoveryCaller)
    const hasRecovered = await waitForRecovery(fleet, recoveryCaller)
    stopAll.abort()
    await Promise.all([...load, readinessPolling])
    const breaches = [...findBreaches(), ...(hasRecovered ? [] : [{ kind: 'not-recovered', call: undefined, runs: [] }])]
    return summarise(options, fleet, callers.flatMap(({ calls }) => calls), breaches, loop)
  } finally {
    stopFaults.abort()
    stopAll.abort()
    await fleet.close()
  }
}
