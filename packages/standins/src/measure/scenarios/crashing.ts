import { runOpenLoop } from '../../load/openLoop.js'
import type { GatewayFleet } from '../../gateway/gatewayFleet.js'
import type { GatewayTarget } from '../../gateway/gatewayTarget.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'
import { ZONES, countDuplicates, round, startZonedFleet } from './gatewayScenario.js'

const TARGETS = 12
const WORK_MS = 100
const REQUESTS_PER_DAEMON = 2
const CRASH_PATH = '/menus/crash'
const REPEAT_MS = 200
/** Time after which a crashed target is back, under another ID. */
const RESTART_MS = 1_000
const DAEMON_RESTART_MS = 2_500
const WARM_UP_MS = 2_000
/** The platform's rules: crashes from which the request must be known, and the time until then. */
const ALLOWED_CRASHES = 3
const STABILITY_WINDOW_MS = 3_000
const STATUS_OK = 200

const crashUnder = (path: string): boolean => path.startsWith(CRASH_PATH)

/** Makes a target crash under the request; another one replaces it, and so on. */
const armTarget = (fleet: GatewayFleet, target: GatewayTarget, zone: string, nextId: () => string): void => {
  target.crashesUnder = crashUnder
  target.onCrashed = () => {
    fleet.store.remove('servers', target.id)
    fleet.clock.after(RESTART_MS, () => {
      fleet.addTarget(nextId(), 'menus', zone).then(replacement => {
        replacement.workMs = WORK_MS
        armTarget(fleet, replacement, zone, nextId)
      }, () => {})
    })
  }
}

/** Stops the first daemon of a zone, which is a relay, or any other in turn, and starts another in its place. */
const restartDaemons = async (fleet: GatewayFleet, signal: AbortSignal): Promise<void> => {
  for (let round = 0; !signal.aborted; round++) {
    await fleet.clock.sleepMs(DAEMON_RESTART_MS, signal)
    if (signal.aborted) return
    const index = round % 2 === 0 ? round / 2 % ZONES.length : fleet.random.int(fleet.daemons.length)
    const [stopped] = fleet.daemons.splice(index, 1)
    await fleet.addDaemon(ZONES[index % ZONES.length], true, false)
    await stopped?.daemon.stop()
    await stopped?.links.close()
  }
}

/** Repeats the crashing request at any daemon, with other queries. */
const repeatCrashing = async (fleet: GatewayFleet, signal: AbortSignal): Promise<void> => {
  const calls: Array<Promise<unknown>> = []
  while (!signal.aborted) {
    calls.push(fleet.call({ daemon: fleet.random.int(fleet.daemons.length), path: `${CRASH_PATH}?page=${calls.length}`, callerHost: '127.0.0.250' }).catch(() => {}))
    await fleet.clock.sleepMs(REPEAT_MS, signal)
  }
  await Promise.all(calls)
}

const describeCrashes = (fleet: GatewayFleet): Pick<Figures, 'targetsCrashed' | 'sentAfterThird' | 'stopMs'> => {
  const crashedAtMs = [...fleet.targets.values()].flatMap(({ crashedAtMs: atMs }) => atMs === undefined ? [] : [atMs]).sort((a, b) => a - b)
  const thirdMs = crashedAtMs[ALLOWED_CRASHES - 1]
  const sentAtMs = [...fleet.targets.values()].flatMap(({ runs }) => runs.filter(({ path }) => crashUnder(path)).map(({ atMs }) => atMs))
  if (thirdMs === undefined) return { targetsCrashed: crashedAtMs.length, sentAfterThird: null, stopMs: null }
  return {
    targetsCrashed: crashedAtMs.length,
    sentAfterThird: sentAtMs.filter(atMs => atMs > thirdMs + STABILITY_WINDOW_MS).length,
    stopMs: Math.round(Math.max(0, ...sentAtMs.map(atMs => atMs - thirdMs)))
  }
}

const run = async ({ seed, variant, instances, durationMs }: ScenarioArguments): Promise<Figures> => {
  const fleet = await startZonedFleet({ seed, instances, services: [{ service: 'menus', kind: 'safe', targets: TARGETS }], workMs: WORK_MS })
  const stopping = new AbortController()
  try {
    let nextId = TARGETS
    let index = 0
    for (const target of fleet.targets.values()) armTarget(fleet, target, ZONES[index++ % ZONES.length] ?? '', () => `menus-${nextId++}`)
    await fleet.clock.sleepMs(WARM_UP_MS)
    const faults = Promise.all([restartDaemons(fleet, stopping.signal), repeatCrashing(fleet, stopping.signal)])
    const responses: Array<{ readonly status: number, readonly body: string }> = []
    await runOpenLoop({ clock: fleet.clock, perSecond: REQUESTS_PER_DAEMON * instances, durationMs }, async callIndex => {
      const response = await fleet.call({ daemon: fleet.random.int(fleet.daemons.length), path: `/menus/${callIndex}` }).catch(() => undefined)
      responses.push(response ?? { status: 0, body: '' })
    })
    stopping.abort()
    await faults
    return {
      scenario: 'crashing',
      variant,
      seed,
      instances,
      targets: TARGETS,
      requests: responses.length,
      wrongAnswers: null,
      duplicateRuns: countDuplicates(fleet),
      falseNotRun: null,
      floorBreaches: null,
      invariantBreaches: null,
      ...describeCrashes(fleet),
      falseQuarantines: responses.filter(({ body }) => body.includes('quarantined')).length,
      servedShare: round(responses.filter(({ status }) => status === STATUS_OK).length / responses.length)
    }
  } finally {
    stopping.abort()
    await fleet.close()
  }
}

/** Measures how soon a fleet stops a request that crashes each target, while relays and other daemons are replaced. */
export const crashing: Scenario = {
  name: 'crashing',
  summary: 'a request crashes each target and comes again at any daemon, while relays and other daemons restart',
  defaultInstances: 8,
  defaultSeconds: 20,
  run
}
