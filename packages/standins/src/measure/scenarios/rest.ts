import { runOpenLoop } from '../../load/openLoop.js'
import type { GatewayFleet } from '../../gateway/gatewayFleet.js'
import type { GatewayTarget } from '../../gateway/gatewayTarget.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'
import { ZONES, countDuplicates, round, startZonedFleet } from './gatewayScenario.js'

const TARGETS = 9
const RESTING = 3
const LEAVING = 2
const WORK_MS = 150
const REQUESTS_PER_DAEMON = 3
const REST_SECONDS = 2
/** A resting target refuses requests for this long, then serves for this long, again and again. */
const REFUSING_MS = 4_000
const SERVING_MS = 2_000
const WARM_UP_MS = 2_000
const POLL_MS = 50
/** The platform's rules: time after a refusal from which requests count, and after an answer that a target leaves until none may come. */
const UNCOUNTED_MS = 500
const DRAIN_PERIOD_MS = 2_000
const MS_PER_SECOND = 1_000
const STATUS_OK = 200

/** Lets targets refuse and serve in turn, each at its own times, until the end. */
const playRests = async (fleet: GatewayFleet, targets: readonly GatewayTarget[], durationMs: number, asksForRest: boolean): Promise<void> => {
  const startedAtMs = fleet.clock.monotonicMs()
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs = fleet.clock.monotonicMs() - startedAtMs) {
    targets.forEach((target, index) => {
      target.retryAfter = asksForRest ? [String(REST_SECONDS)] : []
      target.responseMode = (elapsedMs + index * SERVING_MS) % (REFUSING_MS + SERVING_MS) < REFUSING_MS ? 'refuse' : 'well'
    })
    await fleet.clock.sleepMs(POLL_MS)
  }
}

/** Largest number of requests from one daemon in one rest. */
const worstDuringRest = ({ arrivals }: GatewayTarget): number => Math.max(0, ...arrivals.filter(({ isRefused }) => isRefused).map(refusal =>
  arrivals.filter(({ atMs, fromHost }) => fromHost === refusal.fromHost && atMs > refusal.atMs + UNCOUNTED_MS && atMs < refusal.atMs + REST_SECONDS * MS_PER_SECOND).length))

/** Requests that reached a leaving target later than the drain period after it had first said so to the same daemon. */
const countAfterLeaving = ({ arrivals }: GatewayTarget, leavingFromMs: number): number => {
  const answered = arrivals.filter(({ atMs }) => atMs >= leavingFromMs)
  return answered.filter(({ atMs, fromHost }) => answered.some(first => first.fromHost === fromHost && atMs > first.atMs + WORK_MS + DRAIN_PERIOD_MS)).length
}

const run = async ({ seed, variant, instances, durationMs }: ScenarioArguments): Promise<Figures> => {
  const fleet = await startZonedFleet({ seed, instances, services: [{ service: 'orders', kind: 'unsafe', targets: TARGETS }], workMs: WORK_MS })
  try {
    await fleet.clock.sleepMs(WARM_UP_MS)
    const targets = [...fleet.targets.values()]
    const resting = targets.slice(0, RESTING)
    const leaving = targets.slice(RESTING, RESTING + LEAVING)
    const leavingFromMs = fleet.clock.monotonicMs()
    for (const target of leaving) target.saysLeaving = true
    const rests = playRests(fleet, resting, durationMs, variant === 'fleet')
    const statuses: number[] = []
    await runOpenLoop({ clock: fleet.clock, perSecond: REQUESTS_PER_DAEMON * instances, durationMs }, async index => {
      const response = await fleet.call({ daemon: fleet.random.int(fleet.daemons.length), path: `/orders/${index}`, method: 'POST', body: 'x' }).catch(() => undefined)
      statuses.push(response?.status ?? 0)
    })
    await rests
    return {
      scenario: 'rest',
      variant,
      seed,
      instances,
      targets: TARGETS,
      requests: statuses.length,
      wrongAnswers: null,
      duplicateRuns: countDuplicates(fleet),
      falseNotRun: null,
      floorBreaches: null,
      invariantBreaches: null,
      zones: ZONES.length,
      worstSentDuringRest: Math.max(...resting.map(worstDuringRest)),
      sentAfterLeaving: leaving.reduce((sum, target) => sum + countAfterLeaving(target, leavingFromMs), 0),
      servedShare: round(statuses.filter(status => status === STATUS_OK).length / statuses.length),
      refusedByTargets: targets.reduce((sum, { arrivals }) => sum + arrivals.filter(({ isRefused }) => isRefused).length, 0)
    }
  } finally {
    await fleet.close()
  }
}

/** Measures whether daemons leave targets alone that ask for rest or say that they leave; in the baseline, refusals name no rest. */
export const rest: Scenario = {
  name: 'rest',
  summary: 'some targets ask for rest again and again, others say that they leave while the listing says ready',
  defaultInstances: 8,
  defaultSeconds: 20,
  run
}
