import type { MixedLoad } from '../../load/mixedLoad.js'
import type { PlatformFaults } from '../../platform/platformFaults.js'
import type { TargetBehaviour } from '../../target/behaviour.js'
import { CAPACITY_PER_SECOND, MEAN_WORK_MS, SERVICE, SLOTS_PER_TARGET, TARGETS, TIMEOUT_MS, mechanismSettings } from '../serviceFleet.js'
import { measuredDocument } from '../documents.js'
import { Fleet } from '../fleet.js'
import { EjectionMonitor } from '../ejectionMonitor.js'
import { countInvariantBreaches } from '../invariantBreaches.js'
import { countGuaranteeBreaches } from '../oracle.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'
import { detectionMsOf, createFaultPredicate } from '../faultPeriod.js'
import type { FaultPeriod } from '../faultPeriod.js'
import { withLoad } from '../withLoad.js'

const MS_PER_SECOND = 1_000
const LOAD_SHARE = 0.4
const PAYMENT_SHARE = 0.2
const FLOOR_SLOTS = 24
const FAILING: Partial<TargetBehaviour> = { failShare: 0.5 }
const HEALTHY: Partial<TargetBehaviour> = { failShare: 0 }
const DOWN: Partial<PlatformFaults> = { isDown: true, isDirectoryDown: true }
const DEGRADED: Partial<PlatformFaults> = { isDown: false, isDirectoryDown: false, delayMs: 3_000, lostAnswerShare: 0.3 }
const RESTORED: Partial<PlatformFaults> = { isDown: false, isDirectoryDown: false, delayMs: 0, lostAnswerShare: 0 }
/** Shares of the time under load: all healthy, store down, store down with a failing target, store slow, store restored. */
const PHASE_SHARES = { healthy: 0.15, down: 0.1, failing: 0.35, degraded: 0.2, restored: 0.2 }

/** Times of the phases on the wall clock. */
interface OutageTimeline {
  readonly fault: FaultPeriod
  readonly outageStartMs: number
  readonly restoredAtMs: number
  readonly recoveryPeaks: PlatformPeaks
}

/** Highest number of platform calls within a second; listings of instances count as reads. */
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
  await fleet.addDaemons(args.instances, { mechanisms: { ...mechanismSettings(args), control: args.variant === 'baseline' ? 'off' : 'on' } })
  return fleet
}

const measureCallPeaks = async (fleet: Fleet, durationMs: number): Promise<PlatformPeaks> => {
  let peaks: PlatformPeaks = { reads: 0, writes: 0 }
  let previous = await fleet.platformHost.platformCounts()
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += MS_PER_SECOND) {
    await fleet.clock.sleepMs(MS_PER_SECOND)
    const counts = await fleet.platformHost.platformCounts()
    peaks = { reads: Math.max(peaks.reads, counts.reads - previous.reads), writes: Math.max(peaks.writes, counts.writes - previous.writes) }
    previous = counts
  }
  return peaks
}

const runOutage = async (args: ScenarioArguments, fleet: Fleet): Promise<OutageTimeline> => {
  const { clock, platformHost, targets } = fleet
  const waitFor = async (share: number): Promise<void> => { await clock.sleepMs(args.durationMs * share) }
  const [faulty] = targets
  if (faulty === undefined) throw new Error('the fleet has no targets')
  await waitFor(PHASE_SHARES.healthy)
  args.progress('the store is down')
  await platformHost.setPlatform(DOWN)
  const outageStartMs = clock.wallMs()
  await waitFor(PHASE_SHARES.down)
  args.progress('a target fails half of its requests')
  await faulty.host.setTarget(faulty.entry.id, FAILING)
  const fromMs = clock.wallMs()
  await waitFor(PHASE_SHARES.failing)
  await faulty.host.setTarget(faulty.entry.id, HEALTHY)
  const toMs = clock.wallMs()
  args.progress('the store is slow and loses responses')
  await platformHost.setPlatform(DEGRADED)
  await waitFor(PHASE_SHARES.degraded)
  args.progress('the store is restored')
  await platformHost.setPlatform(RESTORED)
  const restoredAtMs = clock.wallMs()
  const recoveryPeaks = await measureCallPeaks(fleet, args.durationMs * PHASE_SHARES.restored)
  return { fault: { targetId: faulty.entry.id, fromMs, toMs }, outageStartMs, restoredAtMs, recoveryPeaks }
}

const figuresOf = async (args: ScenarioArguments, fleet: Fleet, load: MixedLoad, monitor: EjectionMonitor, timeline: OutageTimeline): Promise<Figures> => {
  const journal = await fleet.journal()
  const { peakWritesPerSecond, peakReadsPerSecond } = await fleet.platformHost.platformCounts()
  const { fault } = timeline
  const startMs = fleet.clock.wallMs() - fleet.clock.monotonicMs()
  const failed = load.results.filter(result => result.status !== 200)
  return {
    scenario: 'outage',
    variant: args.variant,
    seed: args.seed,
    instances: args.instances,
    targets: TARGETS,
    requests: load.results.length,
    ...countGuaranteeBreaches({ results: load.results, journal, atMostOnceIds: load.paymentIds() }),
    floorBreaches: monitor.countFloorBreaches(TARGETS, SLOTS_PER_TARGET, FLOOR_SLOTS),
    invariantBreaches: await countInvariantBreaches(fleet),
    detectionMs: detectionMsOf(journal, fault),
    sickMs: fault.toMs - fault.fromMs,
    falseEjections: monitor.countFalseEjections(createFaultPredicate([fault])),
    failedRequests: failed.length,
    failedBeforeOutage: failed.filter(result => result.sentAtMs + startMs < timeline.outageStartMs).length,
    failedAfterReturn: failed.filter(result => result.sentAtMs + startMs >= timeline.restoredAtMs).length,
    storePeakWritesPerSecond: peakWritesPerSecond,
    storePeakReadsPerSecond: peakReadsPerSecond,
    returnPeakReadsPerSecond: timeline.recoveryPeaks.reads,
    returnPeakWritesPerSecond: timeline.recoveryPeaks.writes
  }
}

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const fleet = await createFleet(args)
  return await withLoad(fleet, args.seed, PAYMENT_SHARE, async load => {
    const monitor = EjectionMonitor.create(fleet)
    const [timeline] = await Promise.all([runOutage(args, fleet), load.run(CAPACITY_PER_SECOND * LOAD_SHARE, args.durationMs)])
    await monitor.stop()
    return await figuresOf(args, fleet, load, monitor, timeline)
  })
}

/** Measures requests and failure detection while the platform is down, slow, losing responses and restored. */
export const outage: Scenario = {
  name: 'outage',
  summary: 'the store is down, then slow and losing responses, then restored; a target fails during the outage',
  defaultInstances: 6,
  defaultSeconds: 30,
  run
}
