import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Caller } from '../../load/caller.js'
import type { CallerResult } from '../../load/caller.js'
import { runOpenLoop } from '../../load/openLoop.js'
import { measuredDocument } from '../documents.js'
import { Fleet } from '../fleet.js'
import { countInvariantBreaches } from '../invariantBreaches.js'
import { countGuaranteeBreaches } from '../oracle.js'
import { cpuSecondsOf } from '../processUsage.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'

const SERVICE = 'burnbook'
const TARGETS = 8
const SLOTS = 6
const WORK_MS = 2
const REQUESTS_PER_SECOND = 300
const MICROS_PER_MS = 1_000
const WARM_UP_MS = 2_000

const percentileMs = (histogram: Histogram, percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROS_PER_MS

const createFleet = async (args: ScenarioArguments): Promise<Fleet> => {
  const fleet = await Fleet.create(args.seed, 1)
  for (let index = 0; index < TARGETS; index++) await fleet.addTarget(SERVICE, { slots: SLOTS, maxWaiting: 100, workMs: WORK_MS })
  await fleet.promote(measuredDocument({ [SERVICE]: { plannedTargets: TARGETS, slotsPerTarget: SLOTS, floorSlots: 24 } }))
  for (let index = 0; index < args.instances; index++) await fleet.addDaemon()
  return fleet
}

/** Whether a request goes directly to a target or through a daemon. */
type Via = 'direct' | 'fleet'

/** Sends requests alternately to targets and through daemons and records the latencies. */
class LatencyComparison {
  readonly histograms: Readonly<Record<Via, Histogram>> = { direct: build(), fleet: build() }
  readonly results: CallerResult[] = []

  private constructor (private readonly caller: Caller, private readonly urls: Readonly<Record<Via, readonly string[]>>) {}

  static create (caller: Caller, urls: Readonly<Record<Via, readonly string[]>>): LatencyComparison {
    return new LatencyComparison(caller, urls)
  }

  async send (index: number, isRecorded: boolean): Promise<void> {
    const via: Via = index % 2 === 0 ? 'direct' : 'fleet'
    const urls = this.urls[via]
    const baseUrl = urls[(index >> 1) % urls.length] ?? ''
    const runId = `${via}-${isRecorded ? 'run' : 'warm'}-${index}`
    const result = await this.caller.send({ baseUrl, method: 'GET', path: `/${SERVICE}/read/x`, runId })
    if (!isRecorded) return
    this.histograms[via].recordValue(Math.round(result.latencyMs * MICROS_PER_MS))
    if (via === 'fleet') this.results.push(result)
  }
}

const figuresOf = async (args: ScenarioArguments, fleet: Fleet, { histograms, results }: LatencyComparison, cpuSeconds: number): Promise<Figures> => {
  const [directP50Ms, directP99Ms] = [percentileMs(histograms.direct, 50), percentileMs(histograms.direct, 99)]
  return {
    scenario: 'overhead',
    variant: args.variant,
    seed: args.seed,
    instances: args.instances,
    targets: TARGETS,
    requests: results.length,
    ...countGuaranteeBreaches({ results, journal: await fleet.journal(), atMostOnceIds: new Set() }),
    floorBreaches: null,
    invariantBreaches: await countInvariantBreaches(fleet),
    failed: results.filter(result => result.status !== 200).length,
    directP50Ms,
    directP99Ms,
    addedP50Ms: percentileMs(histograms.fleet, 50) - directP50Ms,
    addedP99Ms: percentileMs(histograms.fleet, 99) - directP99Ms,
    requestsPerCpuSecond: results.length / cpuSeconds
  }
}

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const fleet = await createFleet(args)
  const { clock } = fleet
  const caller = Caller.create(clock)
  try {
    const direct = fleet.targets.map(({ entry }) => `http://127.0.0.1:${entry.port}`)
    const comparison = LatencyComparison.create(caller, { direct, fleet: await fleet.callerUrls() })
    const perSecond = 2 * REQUESTS_PER_SECOND
    await runOpenLoop({ clock, perSecond, durationMs: WARM_UP_MS }, async index => { await comparison.send(index, false) })
    const cpuBefore = await cpuSecondsOf(fleet.daemons)
    args.progress(`${perSecond} requests/s for ${args.durationMs} ms, alternately direct and through a daemon`)
    await runOpenLoop({ clock, perSecond, durationMs: args.durationMs }, async index => { await comparison.send(index, true) })
    const cpuSeconds = await cpuSecondsOf(fleet.daemons) - cpuBefore
    return await figuresOf(args, fleet, comparison, cpuSeconds)
  } finally {
    await caller.close()
    await fleet.close()
  }
}

/** Measures the latency and CPU time that a daemon adds to a request. */
export const overhead: Scenario = {
  name: 'overhead',
  summary: 'the same requests directly to the targets and through a daemon, interleaved',
  defaultInstances: 1,
  defaultSeconds: 15,
  run
}
