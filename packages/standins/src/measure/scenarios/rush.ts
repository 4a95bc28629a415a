import { SeededRandom } from '@lovagehoist/common'
import type { JsonValue } from '@lovagehoist/common'
import { Caller } from '../../load/caller.js'
import { MixedLoad } from '../../load/mixedLoad.js'
import type { MixedResult } from '../../load/mixedLoad.js'
import { CAPACITY_PER_SECOND, MEAN_WORK_MS, SERVICE, SLOTS_PER_TARGET, TARGETS, TIMEOUT_MS, createServiceFleet } from '../serviceFleet.js'
import { EventLoopLag } from '../eventLoopLag.js'
import type { Fleet } from '../fleet.js'
import { countInvariantBreaches } from '../invariantBreaches.js'
import { countGuaranteeBreaches } from '../oracle.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'

const CALM_LOAD_SHARE = 1 / 3
const RUSH_LOAD_SHARE = 1.5
/** Share of the time under load before the step. */
const CALM_TIME_SHARE = 1 / 3
const PAYMENT_SHARE = 0.25
/** Time that a response sent at the deadline takes to reach the caller on a busy machine. */
const DELIVERY_MS = 100

/** Period after the step, on the caller's monotonic clock. */
interface RushWindow {
  readonly startMs: number
  readonly endMs: number
}

const isGood = (result: MixedResult): boolean => result.status === 200 && result.isCorrect

const sumWorkMs = (results: readonly MixedResult[]): number => results.reduce((sum, result) => sum + result.workMs, 0)

const shareOf = (part: number, whole: number): number | null => whole === 0 ? null : part / whole

const percentileMs = (latenciesMs: readonly number[], share: number): number | null => {
  const sorted = [...latenciesMs].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length * share)] ?? null
}

const countProblems = (results: readonly MixedResult[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {}
  for (const { problem } of results) if (problem !== '') counts[problem] = (counts[problem] ?? 0) + 1
  return counts
}

const rushFigures = (results: readonly MixedResult[], window: RushWindow): Readonly<Record<string, JsonValue>> => {
  const sent = results.filter(result => result.sentAtMs >= window.startMs)
  const endedInside = results.filter(result => result.endedAtMs >= window.startMs && result.endedAtMs < window.endMs)
  const payments = sent.filter(result => result.isPayment)
  const good = sent.filter(isGood)
  const refused = sent.filter(result => result.status !== 0 && result.verdict === 'not-run')
  const slotMs = TARGETS * SLOTS_PER_TARGET * (window.endMs - window.startMs)
  return {
    goodputShare: sumWorkMs(endedInside.filter(isGood)) / slotMs,
    shedShare: shareOf(sent.filter(result => !isGood(result)).length, sent.length),
    lateAnswers: results.filter(result => result.latencyMs > TIMEOUT_MS + DELIVERY_MS).length,
    paymentGoodputShare: shareOf(payments.filter(isGood).length, payments.length),
    goodP50Ms: percentileMs(good.map(result => result.latencyMs), 0.5),
    goodP99Ms: percentileMs(good.map(result => result.latencyMs), 0.99),
    paymentP99Ms: percentileMs(payments.filter(isGood).map(result => result.latencyMs), 0.99),
    refusalP99Ms: percentileMs(refused.map(result => result.latencyMs), 0.99),
    paymentProblems: countProblems(payments),
    noAnswer: results.filter(result => result.status === 0).length,
    calmFailed: results.filter(result => result.sentAtMs < window.startMs && !isGood(result)).length,
    calmP99Ms: percentileMs(results.filter(result => result.sentAtMs < window.startMs).map(result => result.latencyMs), 0.99)
  }
}

const countShedByTargets = async (fleet: Fleet): Promise<number> => {
  const counts = await Promise.all(fleet.targets.map(async ({ host, entry }) => await host.targetCounts(entry.id)))
  return counts.reduce((sum, count) => sum + count.shed, 0)
}

const figuresOf = async (args: ScenarioArguments, fleet: Fleet, load: MixedLoad, window: RushWindow): Promise<Figures> => ({
  scenario: 'rush',
  slots: args.slots ?? (args.variant === 'baseline' ? 'least-loaded' : 'shared'),
  variant: args.variant,
  seed: args.seed,
  instances: args.instances,
  targets: TARGETS,
  requests: load.results.length,
  ...countGuaranteeBreaches({ results: load.results, journal: await fleet.journal(), atMostOnceIds: load.paymentIds() }),
  floorBreaches: null,
  invariantBreaches: await countInvariantBreaches(fleet),
  ...rushFigures(load.results, window),
  targetSheds: await countShedByTargets(fleet)
})

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const fleet = await createServiceFleet(args)
  const { clock } = fleet
  const caller = Caller.create(clock)
  try {
    const urls = await fleet.callerUrls()
    const random = SeededRandom.create(args.seed)
    const load = MixedLoad.create({ clock, random, caller, service: SERVICE, paymentShare: PAYMENT_SHARE, meanWorkMs: MEAN_WORK_MS, urls: () => urls })
    const lag = EventLoopLag.create()
    const calmMs = args.durationMs * CALM_TIME_SHARE
    args.progress(`a third of capacity for ${calmMs} ms, then ${RUSH_LOAD_SHARE} times ${CAPACITY_PER_SECOND} requests/s`)
    const calm = load.run(CAPACITY_PER_SECOND * CALM_LOAD_SHARE, calmMs)
    await clock.sleepMs(calmMs)
    const startMs = clock.monotonicMs()
    const endMs = startMs + args.durationMs - calmMs
    await Promise.all([calm, load.run(CAPACITY_PER_SECOND * RUSH_LOAD_SHARE, endMs - startMs)])
    return { ...await figuresOf(args, fleet, load, { startMs, endMs }), generatorLagP99Ms: lag.p99Ms() }
  } finally {
    await caller.close()
    await fleet.close()
  }
}

/** Measures goodput and shedding when the load suddenly exceeds capacity. */
export const rush: Scenario = {
  name: 'rush',
  summary: 'load jumps from a third of the capacity to 1.5 times the capacity',
  defaultInstances: 40,
  defaultSeconds: 12,
  run
}
