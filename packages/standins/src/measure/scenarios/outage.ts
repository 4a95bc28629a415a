import type { MixedLoad } from '../../load/mixedLoad.js'
import type { PlatformSwitches } from '../../platform/platformSwitches.js'
import type { TargetBehaviour } from '../../target/behaviour.js'
import { CAPACITY_PER_SECOND, MEAN_WORK_MS, SERVICE, SLOTS_PER_TARGET, TARGETS, TIMEOUT_MS, mechanismsOf } from '../burnbookFleet.js'
import { measuredDocument } from '../documents.js'
import { Fleet } from '../fleet.js'
import { HealthWatch } from '../healthWatch.js'
import { countInvariantBreaches } from '../invariantBreaches.js'
import { verify } from '../oracle.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'
import { detectionMsOf, sicknessTest } from '../sickness.js'
import type { Sickness } from '../sickness.js'
import { withLoad } from '../withLoad.js'

const MS_PER_SECOND = 1_000
const LOAD_SHARE = 0.4
const PAYMENT_SHARE = 0.2
const FLOOR_SLOTS = 24
const GRAY: Partial<TargetBehaviour> = { failShare: 0.5 }
const WELL: Partial<TargetBehaviour> = { failShare: 0 }
const DOWN: Partial<PlatformSwitches> = { isDown: true, isDirectoryDown: true }
const SLOW: Partial<PlatformSwitches> = { isDown: false, isDirectoryDown: false, delayMs: 3_000, lostAnswerShare: 0.3 }
const RETURNED: Partial<PlatformSwitches> = { isDown: false, isDirectoryDown: false, delayMs: 0, lostAnswerShare: 0 }
/** Parts of the time under load: all well, store down, store down and a target gray, store slow, store back. */
const PARTS = { well: 0.15, down: 0.1, gray: 0.35, slow: 0.2, back: 0.2 }

/** When things happened, on the wall clock. */
interface Course {
  readonly sickness: Sickness
  readonly downFromMs: number
  readonly returnedAtMs: number
  readonly returnPeaks: PlatformPeaks
}

/** Highest calls in a second, lists of instances among the reads. */
interface PlatformPeaks {
  readonly reads: number
  readonly writes: number
}

const createFleet = async (args: ScenarioArguments): Promise<Fleet> => {
  const fleet = await Fleet.create(args.seed)
  for (let index = 0; index < TARGETS; index++) {
    await fleet.addTarget(SERVICE, { slots: SLOTS_PER_TARGET, maxWaiting: SLOTS_PER_TARGET, workMs: MEAN_WORK_MS })
  }
  const service = { plannedTargets: TARGETS, slotsPerTarget: SLOTS_PER_TARGET, floorSlots: FLOOR_SLOTS }
  await fleet.promote(measuredDocument({ [SERVICE]: service }, { timeoutMs: TIMEOUT_MS }))
  await fleet.addDaemons(args.instances, { mechanisms: { ...mechanismsOf(args), control: args.variant === 'baseline' ? 'off' : 'on' } })
  return fleet
}

const watchPeaks = async (fleet: Fleet, durationMs: number): Promise<PlatformPeaks> => {
  let peaks: PlatformPeaks = { reads: 0, writes: 0 }
  let before = await fleet.platformHost.platformCounts()
  for (let passedMs = 0; passedMs < durationMs; passedMs += MS_PER_SECOND) {
    await fleet.clock.sleepMs(MS_PER_SECOND)
    const counts = await fleet.platformHost.platformCounts()
    peaks = { reads: Math.max(peaks.reads, counts.reads - before.reads), writes: Math.max(peaks.writes, counts.writes - before.writes) }
    before = counts
  }
  return peaks
}

const play = async (args: ScenarioArguments, fleet: Fleet): Promise<Course> => {
  const { clock, platformHost, targets } = fleet
  const pass = async (share: number): Promise<void> => { await clock.sleepMs(args.durationMs * share) }
  const [sick] = targets
  if (sick === undefined) throw new Error('the fleet has no targets')
  await pass(PARTS.well)
  args.progress('the store is down')
  await platformHost.setPlatform(DOWN)
  const downFromMs = clock.wallMs()
  await pass(PARTS.down)
  args.progress('a target fails half of its work')
  await sick.host.setTarget(sick.entry.id, GRAY)
  const fromMs = clock.wallMs()
  await pass(PARTS.gray)
  await sick.host.setTarget(sick.entry.id, WELL)
  const toMs = clock.wallMs()
  args.progress('the store is slow and loses answers')
  await platformHost.setPlatform(SLOW)
  await pass(PARTS.slow)
  args.progress('the store is back')
  await platformHost.setPlatform(RETURNED)
  const returnedAtMs = clock.wallMs()
  const returnPeaks = await watchPeaks(fleet, args.durationMs * PARTS.back)
  return { sickness: { targetId: sick.entry.id, fromMs, toMs }, downFromMs, returnedAtMs, returnPeaks }
}

const figuresOf = async (args: ScenarioArguments, fleet: Fleet, load: MixedLoad, watch: HealthWatch, course: Course): Promise<Figures> => {
  const journal = await fleet.journal()
  const { peakWritesPerSecond, peakReadsPerSecond } = await fleet.platformHost.platformCounts()
  const { sickness } = course
  const startMs = fleet.clock.wallMs() - fleet.clock.monotonicMs()
  const failed = load.results.filter(result => result.status !== 200)
  return {
    scenario: 'outage',
    variant: args.variant,
    seed: args.seed,
    instances: args.instances,
    targets: TARGETS,
    requests: load.results.length,
    ...verify({ results: load.results, journal, onceOnly: load.paymentIds() }),
    floorBreaches: watch.floorBreaches(TARGETS, SLOTS_PER_TARGET, FLOOR_SLOTS),
    invariantBreaches: await countInvariantBreaches(fleet),
    detectionMs: detectionMsOf(journal, sickness),
    sickMs: sickness.toMs - sickness.fromMs,
    falseEjections: watch.falseEjections(sicknessTest([sickness])),
    failedRequests: failed.length,
    failedBeforeOutage: failed.filter(result => result.sentAtMs + startMs < course.downFromMs).length,
    failedAfterReturn: failed.filter(result => result.sentAtMs + startMs >= course.returnedAtMs).length,
    storePeakWritesPerSecond: peakWritesPerSecond,
    storePeakReadsPerSecond: peakReadsPerSecond,
    returnPeakReadsPerSecond: course.returnPeaks.reads,
    returnPeakWritesPerSecond: course.returnPeaks.writes
  }
}

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const fleet = await createFleet(args)
  return await withLoad(fleet, args.seed, PAYMENT_SHARE, async load => {
    const watch = HealthWatch.create(fleet)
    const [course] = await Promise.all([play(args, fleet), load.run(CAPACITY_PER_SECOND * LOAD_SHARE, args.durationMs)])
    await watch.stop()
    return await figuresOf(args, fleet, load, watch, course)
  })
}

/** Requests and detection while the platform is down, slow, loses answers and returns. */
export const outage: Scenario = {
  name: 'outage',
  summary: 'the store is down, then slow and losing answers, a target is gray meanwhile, the store returns',
  defaultInstances: 6,
  defaultSeconds: 30,
  run
}
