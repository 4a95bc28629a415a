import { SeededRandom } from '@lovagehoist/common'
import { runOpenLoop } from '../../load/openLoop.js'
import { SoakCaller } from '../../soak/gateway/soakCaller.js'
import { SoakFleet } from '../../soak/gateway/soakFleet.js'
import type { SoakInstance, SoakTarget } from '../../soak/gateway/soakFleet.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'

const TARGETS_OF_SERVICE = 15
const LIMITED_SERVICE = 'orders'
const LIMIT_PER_SECOND = 1.3
/** Share of the targets that name a limit in the first half; all of them do in the second half. */
const FIRST_LIMITED_SHARE = 1 / 3
const REQUESTS_PER_DAEMON = 3
const WARM_UP_MS = 5_000
const POLL_INTERVAL_MS = 100
/** Time after a target first named a limit from which its requests are counted, and the window over which they are. */
const COUNTED_AFTER_MS = 3_000
const WINDOW_MS = 4_000
const TOLERANCE = 1.5
const SLACK = 5
const ZONES = 3
const MS_PER_SECOND = 1_000
const ROUNDING_FACTOR = 1_000
const STATUS_OK = 200

const round = (value: number): number => Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR

/** Largest number of requests to a target in any window, over the number that its limit allows. */
const worstWindowShare = ({ target }: SoakTarget, namedAtMs: number): number => {
  const times = target.runs.map(({ atMs }) => atMs).filter(atMs => atMs >= namedAtMs + COUNTED_AFTER_MS)
  const counts = times.map((startMs, index) => times.slice(index).filter(atMs => atMs < startMs + WINDOW_MS).length)
  return Math.max(0, ...counts) / (TOLERANCE * WINDOW_MS / MS_PER_SECOND * LIMIT_PER_SECOND + SLACK)
}

const watchReadiness = async (fleet: SoakFleet, signal: AbortSignal): Promise<void> => {
  while (!signal.aborted) {
    await Promise.all(fleet.instances.map(async instance => { await fleet.updateReadiness(instance) }))
    await fleet.clock.sleepMs(POLL_INTERVAL_MS, signal)
  }
}

const restartAll = (fleet: SoakFleet, instances: readonly SoakInstance[]): void => {
  for (const instance of instances) {
    instance.process.signal('SIGKILL')
    fleet.restart(instance).catch(() => {})
  }
}

/** Names limits at more and more targets; restarts half of the daemons in the first half, and the first daemons of all zones, which are relays, in the second. */
const playFaults = async (fleet: SoakFleet, durationMs: number, namedAtMs: Map<SoakTarget, number>): Promise<void> => {
  const targets = fleet.targets.filter(({ service }) => service === LIMITED_SERVICE)
  const nameLimits = (limited: readonly SoakTarget[]): void => {
    for (const target of limited) {
      target.target.limitPerSecond = LIMIT_PER_SECOND
      if (!namedAtMs.has(target)) namedAtMs.set(target, fleet.clock.monotonicMs())
    }
  }
  nameLimits(targets.slice(0, Math.ceil(targets.length * FIRST_LIMITED_SHARE)))
  await fleet.clock.sleepMs(durationMs / 4)
  restartAll(fleet, fleet.instances.filter((_, index) => index % 2 === 0))
  await fleet.clock.sleepMs(durationMs / 4)
  nameLimits(targets)
  await fleet.clock.sleepMs(durationMs / 4)
  restartAll(fleet, fleet.instances.slice(0, ZONES))
  await fleet.clock.sleepMs(durationMs / 4)
}

const run = async ({ seed, variant, instances, durationMs }: ScenarioArguments): Promise<Figures> => {
  const fleet = await SoakFleet.create(SeededRandom.create(seed), { instances, targetsPerService: TARGETS_OF_SERVICE })
  const stopping = new AbortController()
  try {
    const watching = watchReadiness(fleet, stopping.signal)
    await fleet.waitUntilReady()
    await fleet.clock.sleepMs(WARM_UP_MS)
    const callers = fleet.instances.flatMap(() => Array.from({ length: REQUESTS_PER_DAEMON }, (_, index) => SoakCaller.create(fleet, SeededRandom.create(seed + index))))
    const namedAtMs = new Map<SoakTarget, number>()
    const faults = playFaults(fleet, durationMs, namedAtMs)
    await runOpenLoop({ clock: fleet.clock, perSecond: REQUESTS_PER_DAEMON * instances, durationMs }, async index => { await callers[index % callers.length]?.sendOne() })
    await faults
    stopping.abort()
    await watching
    await Promise.all(callers.map(async caller => { await caller.disconnect() }))
    const calls = callers.flatMap(caller => caller.calls)
    const limitedFromMs = Math.max(...namedAtMs.values()) + COUNTED_AFTER_MS
    const counted = calls.filter(({ service, sentAtMs }) => service === LIMITED_SERVICE && sentAtMs >= limitedFromMs)
    const seconds = (Math.max(...calls.map(({ sentAtMs }) => sentAtMs)) - limitedFromMs) / MS_PER_SECOND
    const allowed = Math.min(counted.length, LIMIT_PER_SECOND * namedAtMs.size * seconds)
    return {
      scenario: 'limit',
      variant,
      seed,
      instances,
      targets: fleet.targets.length,
      requests: calls.length,
      wrongAnswers: null,
      duplicateRuns: null,
      falseNotRun: null,
      floorBreaches: null,
      invariantBreaches: null,
      worstWindowShare: round(Math.max(...[...namedAtMs].map(([target, atMs]) => worstWindowShare(target, atMs)))),
      servedShare: round(counted.filter(({ status }) => status === STATUS_OK).length / allowed)
    }
  } finally {
    stopping.abort()
    await fleet.close()
  }
}

/** Measures whether a whole fleet keeps the limits that targets name, while daemons and relays restart. */
export const limit: Scenario = {
  name: 'limit',
  summary: 'requests to targets that name a limit, while half of the daemons and all first relays restart',
  defaultInstances: 8,
  defaultSeconds: 40,
  run
}
