import type { MixedLoad } from '../../load/mixedLoad.js'
import type { TargetBehaviour } from '../../target/behaviour.js'
import { CAPACITY_PER_SECOND, SLOTS_PER_TARGET, TARGETS } from '../serviceFleet.js'
import type { Fleet } from '../fleet.js'
import { FLOOR_SLOTS, createHealthFleet } from '../healthFleet.js'
import { EjectionMonitor } from '../ejectionMonitor.js'
import { countInvariantBreaches } from '../invariantBreaches.js'
import { countGuaranteeBreaches } from '../oracle.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'
import { detectionMsOf, countRequestsDuringFault, createFaultPredicate } from '../faultPeriod.js'
import type { FaultPeriod } from '../faultPeriod.js'
import { withLoad } from '../withLoad.js'

const LOAD_SHARE = 0.5
const PAYMENT_SHARE = 0.2
const BACKGROUND_NOISE: Partial<TargetBehaviour> = { failShare: 0.01, spikeShare: 0.01, flapMs: 0 }
const FAILING: Partial<TargetBehaviour> = { failShare: 0.3 }
const FLAPPING: Partial<TargetBehaviour> = { failShare: 0.3, flapMs: 1_500 }
const SHEDDING: Partial<TargetBehaviour> = { slots: 1, maxWaiting: 0 }
const NOT_SHEDDING: Partial<TargetBehaviour> = { slots: SLOTS_PER_TARGET, maxWaiting: SLOTS_PER_TARGET }
/** Shares of the time under load: only noise, one faulty target, two faulty targets, one flapping target, and all targets shedding. */
const PHASE_SHARES = { noise: 0.1, oneFaulty: 0.33, twoFaulty: 0.33, flapping: 0.12, shedding: 0.08 }
const REQUESTS_PER_SECOND = CAPACITY_PER_SECOND * LOAD_SHARE

/** Makes targets faulty for a time and records the periods. */
class FaultInjector {
  readonly periods: FaultPeriod[] = []

  private constructor (private readonly fleet: Fleet) {}

  static create (fleet: Fleet): FaultInjector {
    return new FaultInjector(fleet)
  }

  /** Changes the behaviour of some targets, restores it after `durationMs` and returns the fault periods. */
  async injectFault (indexes: readonly number[], behaviour: Partial<TargetBehaviour>, durationMs: number): Promise<readonly FaultPeriod[]> {
    const { clock, targets } = this.fleet
    const affected = targets.filter((_, index) => indexes.includes(index))
    const fromMs = clock.wallMs()
    await Promise.all(affected.map(async ({ host, entry }) => { await host.setTarget(entry.id, behaviour) }))
    await clock.sleepMs(durationMs)
    const toMs = clock.wallMs()
    await Promise.all(affected.map(async ({ host, entry }) => { await host.setTarget(entry.id, BACKGROUND_NOISE) }))
    const periods = affected.map(({ entry }) => ({ targetId: entry.id, fromMs, toMs }))
    this.periods.push(...periods)
    return periods
  }

  /** Makes all targets shed most requests for `durationMs`; not counted as a fault. */
  async shedEverywhere (durationMs: number): Promise<void> {
    const set = async (behaviour: Partial<TargetBehaviour>): Promise<void> => {
      await Promise.all(this.fleet.targets.map(async ({ host, entry }) => { await host.setTarget(entry.id, behaviour) }))
    }
    await set(SHEDDING)
    await this.fleet.clock.sleepMs(durationMs)
    await set(NOT_SHEDDING)
  }
}

/** Time after the start of the daemons for their first full exchange of state. */
const CONVERGENCE_MS = 20_000

/** Runs the phases and returns the periods of constant faults, whose detection time can be read from the journal. */
const injectFaults = async (args: ScenarioArguments, fleet: Fleet, injector: FaultInjector): Promise<readonly FaultPeriod[]> => {
  const ms = (share: number): number => args.durationMs * share
  await fleet.clock.sleepMs(ms(PHASE_SHARES.noise))
  args.progress('one target fails 30% of its requests')
  const one = await injector.injectFault([0], FAILING, ms(PHASE_SHARES.oneFaulty))
  args.progress('two targets fail 30% of their requests')
  const two = await injector.injectFault([1, 2], FAILING, ms(PHASE_SHARES.twoFaulty))
  args.progress('one target flaps')
  await injector.injectFault([3], FLAPPING, ms(PHASE_SHARES.flapping))
  args.progress('all targets shed load')
  await injector.shedEverywhere(ms(PHASE_SHARES.shedding))
  return [...one, ...two]
}

const maxOrNull = (timesMs: ReadonlyArray<number | null>): number | null => timesMs.some(timeMs => timeMs === null) ? null : Math.max(...timesMs.map(Number))

const figuresOf = async (args: ScenarioArguments, fleet: Fleet, load: MixedLoad, monitor: EjectionMonitor, steadyFaults: readonly FaultPeriod[], allFaults: readonly FaultPeriod[]): Promise<Figures> => {
  const journal = await fleet.journal()
  const detectionTimesMs = steadyFaults.map(fault => detectionMsOf(journal, fault))
  const startMs = fleet.clock.wallMs() - fleet.clock.monotonicMs()
  const isDuringFault = (atMs: number): boolean => allFaults.some(fault => atMs + startMs >= fault.fromMs && atMs + startMs < fault.toMs)
  return {
    scenario: 'gray',
    variant: args.variant,
    seed: args.seed,
    instances: args.instances,
    targets: TARGETS,
    requests: load.results.length,
    ...countGuaranteeBreaches({ results: load.results, journal, atMostOnceIds: load.paymentIds() }),
    floorBreaches: monitor.countFloorBreaches(TARGETS, SLOTS_PER_TARGET, FLOOR_SLOTS),
    invariantBreaches: await countInvariantBreaches(fleet),
    profile: args.profile,
    detectionMs: maxOrNull(detectionTimesMs),
    detectionOneMs: detectionTimesMs[0] ?? null,
    detectionTwoMs: maxOrNull(detectionTimesMs.slice(1)),
    outAfterMs: steadyFaults.map(({ targetId, fromMs, toMs }) => monitor.ejectedAfterMs(targetId, fromMs, toMs)),
    agreedShares: steadyFaults.map(({ targetId, fromMs, toMs }) => monitor.peakEjectingShare(targetId, fromMs, toMs)),
    sickWork: steadyFaults.map(fault => ({ ...countRequestsDuringFault(journal, fault) })),
    sickMs: Math.min(...steadyFaults.map(fault => fault.toMs - fault.fromMs)),
    falseEjections: monitor.countFalseEjections(createFaultPredicate(allFaults)),
    failedWhileSick: load.results.filter(result => result.status !== 200 && isDuringFault(result.sentAtMs)).length,
    failed: load.results.filter(result => result.status !== 200).length
  }
}

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const fleet = await createHealthFleet(args, BACKGROUND_NOISE)
  return await withLoad(fleet, args.seed, PAYMENT_SHARE, async load => {
    const monitor = EjectionMonitor.create(fleet)
    const injector = FaultInjector.create(fleet)
    await fleet.clock.sleepMs(CONVERGENCE_MS)
    const sending = load.run(REQUESTS_PER_SECOND, args.durationMs)
    const steadyFaults = await injectFaults(args, fleet, injector)
    await sending
    await monitor.stop()
    return await figuresOf(args, fleet, load, monitor, steadyFaults, injector.periods)
  })
}

/** Measures detection of gray failures: targets that pass health probes but fail part of the requests, while the others show only background noise. */
export const gray: Scenario = {
  name: 'gray',
  summary: 'one target, then two, fail 30% of the requests; one flaps; all show 1% errors and latency spikes, and a phase of load shedding',
  defaultInstances: 8,
  defaultSeconds: 20,
  run
}
