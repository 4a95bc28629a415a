import { setMaxListeners } from 'node:events'
import { mkdtemp, rm, stat, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SeededRandom } from '@lovagehoist/common'
import { FaultLoop } from '../../faultLoop.js'
import { countBy } from '../../groups.js'
import { SoakFleet } from '../soakFleet.js'
import type { SoakTarget } from '../soakFleet.js'
import { StopCaller } from './stopCaller.js'
import { faultsBesideStops, plannedStops } from './stopFaults.js'
import { STOP_ROUTES, STOP_TARGETS, drawWorkMs } from './stopLoad.js'
import { answerTo, findProcessFaults, findStopBreaches, isEarlyHangup } from './stopOracle.js'
import type { ProcessEnd, StopBreach, StopConditions, StopRun } from './stopOracle.js'

/** Options of a soak of planned stops. */
export interface StopSoakOptions {
  readonly seed: number
  readonly durationMs: number
  readonly instances: number
  readonly callers: number
  /** Script of the daemon; the built one of this workspace when absent. */
  readonly script?: string
  /** Names of the disruptions; all when absent. */
  readonly only?: readonly string[]
  /** Whether the logs of a run without a finding stay, too. */
  readonly keepsLogs?: boolean
  readonly progress: (line: string) => void
}

/** Result of a soak of planned stops. */
export interface StopSoakSummary {
  readonly isClean: boolean
  readonly seed: number
  readonly requests: number
  readonly statuses: Readonly<Record<string, number>>
  readonly disruptions: Readonly<Record<string, number>>
  /** Processes that have ended, by exit code or signal. */
  readonly ends: Readonly<Record<string, number>>
  /** Processes that a SIGHUP ended before their script ran. */
  readonly earlyHangups: number
  readonly faults: readonly ProcessEnd[]
  readonly breachCounts: Readonly<Record<string, number>>
  readonly breaches: readonly StopBreach[]
  /** Folder with the logs of all processes; removed after a run without a finding. */
  readonly logFolder: string | undefined
}

const MEMORY_MB = 350
const READINESS_POLL_MS = 1_000
/** Readiness checks that an instance misses before it gets no more connections. */
const MAX_MISSES = 2
const CONFIG_INTERVAL_MS = 1_000
const CALLER_SEED_STRIDE = 1_000
const MAX_REPORTED_BREACHES = 5
/** Repetitions of the line that a download consists of. */
const DOWNLOAD_LINES = 2_500
const DOWNLOAD_PATH = '/report/'

const createConditions = (fleet: SoakFleet): StopConditions => ({
  stopsOf: instanceId => fleet.processes.filter(({ id }) => id === instanceId).flatMap(({ sentSignals }) => sentSignals.filter(({ name }) => name === 'SIGTERM').map(({ atMs }) => atMs)),
  isInstanceFaultFree: (instanceId, fromMs, toMs) => fleet.instances.find(({ id }) => id === instanceId)?.faultPeriods.overlaps(fromMs, toMs) === false,
  isTargetFaultFree: (targetId, fromMs, toMs) => [...fleet.targets, ...fleet.removedTargets].find(({ target: { id } }) => id === targetId)?.faultPeriods.overlaps(fromMs, toMs) === false
})

const collectRuns = ({ targets, removedTargets }: SoakFleet): readonly StopRun[] => [...targets, ...removedTargets].flatMap(({ target, service }) =>
  target.runs.map(({ requestId, atMs, endedAtMs, isAborted }) => ({ requestId, service, targetId: target.id, atMs, endedAtMs, isAborted })))

const collectEnds = async (fleet: SoakFleet): Promise<readonly ProcessEnd[]> => await Promise.all(fleet.processes.filter(({ hasExited }) => hasExited).map(
  async ({ id, exitCode, startedAtMs, exitedAtMs, logFile, sentSignals }) => ({ id, exitCode, startedAtMs, exitedAtMs, logFile, sentSignals, hasLogged: (await stat(logFile ?? '')).size > 0 })))

/** Polls readiness as the platform does, and takes an instance out after consecutive misses. */
const pollReadiness = async (fleet: SoakFleet, signal: AbortSignal): Promise<void> => {
  const misses = new Map<string, number>()
  while (!signal.aborted) {
    await Promise.all(fleet.instances.map(async instance => {
      const wasReady = instance.isReady
      await fleet.updateReadiness(instance)
      misses.set(instance.id, instance.isReady ? 0 : (misses.get(instance.id) ?? 0) + 1)
      if (wasReady && (misses.get(instance.id) ?? 0) < MAX_MISSES) instance.isReady = true
    }))
    await fleet.clock.sleepMs(READINESS_POLL_MS, signal)
  }
}

const publishConfigs = async ({ clock, config }: SoakFleet, signal: AbortSignal): Promise<void> => {
  while (!signal.aborted) {
    config.publishNextVersion()
    await clock.sleepMs(CONFIG_INTERVAL_MS, signal)
  }
}

/** Makes a target work as long and answer as much as the routes state. */
const setBehaviour = ({ target, service }: Pick<SoakTarget, 'target' | 'service'>, random: SeededRandom): void => {
  target.workMsFor = path => drawWorkMs(random, path)
  target.responseBodyFor = (requestId, path = '') => answerTo(requestId, service).repeat(path.startsWith(DOWNLOAD_PATH) ? DOWNLOAD_LINES : 1)
}

/** Compares what callers, targets and this process have seen; writes the findings beside the logs. */
const summarise = async (seed: number, fleet: SoakFleet, callers: readonly StopCaller[], loops: ReadonlyArray<FaultLoop<SoakFleet>>, logFolder: string): Promise<StopSoakSummary> => {
  const ends = await collectEnds(fleet)
  const calls = callers.flatMap(caller => caller.calls)
  const [breaches, faults] = [findStopBreaches(calls, collectRuns(fleet), createConditions(fleet)), findProcessFaults(ends)]
  const isClean = breaches.length === 0 && faults.length === 0
  const unanswered = calls.filter(({ status }) => status === 0)
  await writeFile(join(logFolder, 'findings.json'), JSON.stringify({ breaches, faults, unanswered, trace: loops.flatMap(({ trace }) => trace), ends, nowMs: fleet.clock.monotonicMs(), wallMs: fleet.clock.wallMs() }, null, 1))
  return {
    isClean,
    seed,
    requests: calls.length,
    statuses: countBy(calls.map(({ status }) => status)),
    disruptions: Object.assign({}, ...loops.map(({ counts }) => counts)),
    ends: countBy(ends.map(({ exitCode }) => String(exitCode))),
    earlyHangups: ends.filter(isEarlyHangup).length,
    faults,
    breachCounts: countBy(breaches.map(({ kind }) => kind)),
    breaches: breaches.slice(0, MAX_REPORTED_BREACHES),
    logFolder: isClean ? undefined : logFolder
  }
}

/**
 * Runs real gateway daemons while they are stopped, restarted and disturbed, and counts from outside what was lost.
 *
 * @param options - Seed, duration and size.
 * @returns Counts of outcomes, and the first findings.
 */
export const runStopSoak = async ({ seed, durationMs, instances, callers: callerCount, script, only, keepsLogs = false, progress }: StopSoakOptions): Promise<StopSoakSummary> => {
  const [random, workRandom] = [SeededRandom.create(seed), SeededRandom.create(seed + 1)]
  const logFolder = await mkdtemp(join(tmpdir(), 'stops-'))
  const fleet = await SoakFleet.create(random, { instances, targetsPerService: STOP_TARGETS, routes: STOP_ROUTES, memoryMb: MEMORY_MB, processOptions: { logFolder, ...(script === undefined ? {} : { script }) } })
  const { clock } = fleet
  fleet.onTargetAdded = added => { setBehaviour(added, workRandom) }
  for (const soakTarget of fleet.targets) setBehaviour(soakTarget, workRandom)
  const isSelected = ([name]: readonly [string, unknown]): boolean => only?.includes(name) ?? true
  const selected = [plannedStops, faultsBesideStops].map(faults => Object.fromEntries(Object.entries(faults).filter(isSelected))).filter(faults => Object.keys(faults).length > 0)
  const loops = selected.map((faults, index) => FaultLoop.create({ context: fleet, faults, clock, random: SeededRandom.create(seed * 2 + index), progress }))
  const callers = Array.from({ length: callerCount }, (_, index) => StopCaller.create(fleet, SeededRandom.create(seed * CALLER_SEED_STRIDE + index), index % 2 === 0))
  const [stopFaults, stopAll] = [new AbortController(), new AbortController()]
  for (const { signal } of [stopFaults, stopAll]) setMaxListeners(0, signal)
  let isClean = true
  try {
    const background = [pollReadiness(fleet, stopAll.signal)]
    await fleet.waitUntilReady()
    background.push(publishConfigs(fleet, stopAll.signal), ...callers.map(async caller => { await caller.run(stopAll.signal) }))
    const disruptions = loops.map(async loop => { await loop.run(stopFaults.signal) })
    await clock.sleepMs(durationMs)
    stopFaults.abort()
    await Promise.all(disruptions)
    stopAll.abort()
    await Promise.all(background)
    const summary = await summarise(seed, fleet, callers, loops, logFolder)
    isClean = summary.isClean
    return summary
  } finally {
    stopFaults.abort()
    stopAll.abort()
    await fleet.close()
    if (isClean && !keepsLogs) await rm(logFolder, { recursive: true, force: true })
  }
}
