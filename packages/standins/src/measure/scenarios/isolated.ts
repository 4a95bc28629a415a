import type { JsonValue } from '@lovagehoist/common'
import { runOpenLoop } from '../../load/openLoop.js'
import type { GatewayFleet, LogLine } from '../../gateway/gatewayFleet.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'
import { ZONES, countDuplicates, round, startZonedFleet } from './gatewayScenario.js'

const SERVICES = ['menus', 'orders'] as const
const TARGETS_OF_SERVICE = 9
const WORK_MS = 150
const REQUESTS_PER_DAEMON = 3
const DEADLINE_MS = 4_000
const WARM_UP_MS = 3_000
/** Share of the first zone's daemons that are cut off. */
const CUT_SHARE = 2 / 3
/** Time after the start of the cut from which first tries are counted. */
const COUNTED_AFTER_MS = 3_000
/** Failing chance from which a target counts as failing. */
const FAILING_CHANCE = 0.4
const MS_PER_SECOND = 1_000
const STATUS_OK = 200

interface Call {
  readonly daemon: number
  readonly sentAtMs: number
  readonly isServed: boolean
}

/** Calls the daemons in turn at a constant rate; a connection for each request, and no second tries. */
const callFor = async (fleet: GatewayFleet, durationMs: number): Promise<readonly Call[]> => {
  const calls: Call[] = []
  await runOpenLoop({ clock: fleet.clock, perSecond: REQUESTS_PER_DAEMON * fleet.daemons.length, durationMs }, async index => {
    const daemon = fleet.random.int(fleet.daemons.length)
    const sentAtMs = fleet.clock.monotonicMs()
    const service = SERVICES[index % SERVICES.length] ?? ''
    const response = await fleet.call({ daemon, path: `/${service}/${index}`, deadlineMs: DEADLINE_MS, ...(service === 'orders' ? { method: 'POST', body: 'x' } : {}) }).catch(() => undefined)
    calls.push({ daemon, sentAtMs, isServed: response?.status === STATUS_OK })
  })
  return calls
}

const servedShare = (calls: readonly Call[]): number => round(calls.filter(({ isServed }) => isServed).length / Math.max(1, calls.length))

/** What the logs since the cut say of its detection and of healthy targets that other daemons took for failing. */
const readLogs = (lines: readonly LogLine[], cutNames: ReadonlySet<string>, cutWallMs: number): Pick<Figures, 'detectedDaemons' | 'detectionMs' | 'falseEjections'> => {
  // eslint-disable-next-line no-restricted-globals -- parses the times of log lines
  const detectedMs = lines.filter(({ message, state }) => message === 'path to targets changed' && state === 'cut').map(({ at }) => Date.parse(String(at)) - cutWallMs)
  const choices = lines.filter(({ message, instance }) => message === 'target chosen' && !cutNames.has(String(instance)))
  return {
    detectedDaemons: detectedMs.length,
    detectionMs: detectedMs.length === 0 ? null : Math.max(...detectedMs),
    falseEjections: choices.filter(({ failingChance }) => Number(failingChance) >= FAILING_CHANCE).length
  }
}

/** Cuts daemons off while callers call all of them, after the same load without the cut. */
const measureCut = async (fleet: GatewayFleet, { durationMs, kind }: ScenarioArguments): Promise<Readonly<Record<string, JsonValue>>> => {
  const before = await callFor(fleet, durationMs)
  const zone = fleet.daemons.map((_, index) => index).filter(index => index % ZONES.length === 0)
  const cut = new Set(zone.slice(0, Math.ceil(zone.length * CUT_SHARE)))
  const cutAtMs = fleet.clock.monotonicMs()
  const cutWallMs = fleet.clock.wallMs()
  const firstLine = fleet.logLines.length
  for (const daemon of cut) fleet.daemons[daemon]?.links.cut(kind)
  const calls = await callFor(fleet, durationMs)
  const counted = calls.filter(({ sentAtMs }) => sentAtMs >= cutAtMs + COUNTED_AFTER_MS)
  return {
    requests: calls.length,
    isolatedDaemons: cut.size,
    isolatedFirstTryShare: servedShare(counted.filter(({ daemon }) => cut.has(daemon))),
    othersFirstTryShare: servedShare(counted.filter(({ daemon }) => !cut.has(daemon))),
    ...readLogs(fleet.logLines.slice(firstLine), new Set([...cut].map(index => `gate-${index}`)), cutWallMs),
    lostPerSecond: round((calls.filter(({ isServed }) => !isServed).length - before.filter(({ isServed }) => !isServed).length) * MS_PER_SECOND / durationMs)
  }
}

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const { seed, variant, instances, kind } = args
  const fleet = await startZonedFleet({ seed, instances, services: SERVICES.map(service => ({ service, kind: service === 'menus' ? 'safe' : 'unsafe', targets: TARGETS_OF_SERVICE })), workMs: WORK_MS, hasCuttableLinks: true })
  try {
    await callFor(fleet, WARM_UP_MS)
    const figures = await measureCut(fleet, args)
    return {
      scenario: 'isolated',
      variant,
      seed,
      instances,
      targets: fleet.targets.size,
      requests: 0,
      wrongAnswers: null,
      duplicateRuns: countDuplicates(fleet),
      falseNotRun: null,
      floorBreaches: null,
      invariantBreaches: null,
      kind,
      ...figures
    }
  } finally {
    await fleet.close()
  }
}

/** Measures how callers of daemons that lost their links to all targets are served, with all daemons in one process. */
export const isolated: Scenario = {
  name: 'isolated',
  summary: 'first tries at daemons that reach no target and at the others, while two thirds of one zone are cut off (--kind silent, reset or refused)',
  defaultInstances: 8,
  defaultSeconds: 8,
  run
}
