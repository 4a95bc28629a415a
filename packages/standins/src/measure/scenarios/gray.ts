import type { MixedLoad } from '../../load/mixedLoad.js'
import type { TargetBehaviour } from '../../target/behaviour.js'
import { CAPACITY_PER_SECOND, SLOTS_PER_TARGET, TARGETS } from '../burnbookFleet.js'
import type { Fleet } from '../fleet.js'
import { FLOOR_SLOTS, createHealthFleet } from '../healthFleet.js'
import { HealthWatch } from '../healthWatch.js'
import { countInvariantBreaches } from '../invariantBreaches.js'
import { verify } from '../oracle.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'
import { detectionMsOf, sickWorkOf, sicknessTest } from '../sickness.js'
import type { Sickness } from '../sickness.js'
import { withLoad } from '../withLoad.js'

const LOAD_SHARE = 0.5
const PAYMENT_SHARE = 0.2
const NOISE: Partial<TargetBehaviour> = { failShare: 0.01, spikeShare: 0.01, flapMs: 0 }
const GRAY: Partial<TargetBehaviour> = { failShare: 0.3 }
const FLAPPING: Partial<TargetBehaviour> = { failShare: 0.3, flapMs: 1_500 }
const STORM: Partial<TargetBehaviour> = { slots: 1, maxWaiting: 0 }
const CALM: Partial<TargetBehaviour> = { slots: SLOTS_PER_TARGET, maxWaiting: SLOTS_PER_TARGET }
/** Parts of the time under load: noise alone, one target sick, two, one that flaps, and noise with shed answers. */
const PARTS = { noise: 0.1, one: 0.33, two: 0.33, flap: 0.12, storm: 0.08 }
const RATE_OF = CAPACITY_PER_SECOND * LOAD_SHARE

/** Makes targets sick for a time and notes it. */
class Illness {
  readonly sicknesses: Sickness[] = []

  private constructor (private readonly fleet: Fleet) {}

  static create (fleet: Fleet): Illness {
    return new Illness(fleet)
  }

  async befall (indexes: readonly number[], behaviour: Partial<TargetBehaviour>, durationMs: number): Promise<readonly Sickness[]> {
    const { clock, targets } = this.fleet
    const chosen = targets.filter((_, index) => indexes.includes(index))
    const fromMs = clock.wallMs()
    await Promise.all(chosen.map(async ({ host, entry }) => { await host.setTarget(entry.id, behaviour) }))
    await clock.sleepMs(durationMs)
    const toMs = clock.wallMs()
    await Promise.all(chosen.map(async ({ host, entry }) => { await host.setTarget(entry.id, NOISE) }))
    const sicknesses = chosen.map(({ entry }) => ({ targetId: entry.id, fromMs, toMs }))
    this.sicknesses.push(...sicknesses)
    return sicknesses
  }

  async storm (durationMs: number): Promise<void> {
    const set = async (behaviour: Partial<TargetBehaviour>): Promise<void> => {
      await Promise.all(this.fleet.targets.map(async ({ host, entry }) => { await host.setTarget(entry.id, behaviour) }))
    }
    await set(STORM)
    await this.fleet.clock.sleepMs(durationMs)
    await set(CALM)
  }
}

/** Time after the start of all daemons, in which they tell each other everything for the first time. */
const SETTLE_MS = 20_000

/** Times in which the target stays sick, so that detection can be read from the journal. */
const play = async (args: ScenarioArguments, fleet: Fleet, illness: Illness): Promise<readonly Sickness[]> => {
  const ms = (share: number): number => args.durationMs * share
  await fleet.clock.sleepMs(ms(PARTS.noise))
  args.progress('one target fails 30% of its work')
  const one = await illness.befall([0], GRAY, ms(PARTS.one))
  args.progress('two targets fail 30% of their work')
  const two = await illness.befall([1, 2], GRAY, ms(PARTS.two))
  args.progress('one target flaps')
  await illness.befall([3], FLAPPING, ms(PARTS.flap))
  args.progress('all targets shed')
  await illness.storm(ms(PARTS.storm))
  return [...one, ...two]
}

const largest = (times: ReadonlyArray<number | null>): number | null => times.some(time => time === null) ? null : Math.max(...times.map(Number))

const figuresOf = async (args: ScenarioArguments, fleet: Fleet, load: MixedLoad, watch: HealthWatch, steady: readonly Sickness[], all: readonly Sickness[]): Promise<Figures> => {
  const journal = await fleet.journal()
  const times = steady.map(sickness => detectionMsOf(journal, sickness))
  const startMs = fleet.clock.wallMs() - fleet.clock.monotonicMs()
  const isWhileSick = (atMs: number): boolean => all.some(sickness => atMs + startMs >= sickness.fromMs && atMs + startMs < sickness.toMs)
  return {
    scenario: 'gray',
    variant: args.variant,
    seed: args.seed,
    instances: args.instances,
    targets: TARGETS,
    requests: load.results.length,
    ...verify({ results: load.results, journal, onceOnly: load.paymentIds() }),
    floorBreaches: watch.floorBreaches(TARGETS, SLOTS_PER_TARGET, FLOOR_SLOTS),
    invariantBreaches: await countInvariantBreaches(fleet),
    profile: args.profile,
    detectionMs: largest(times),
    detectionOneMs: times[0] ?? null,
    detectionTwoMs: largest(times.slice(1)),
    outAfterMs: steady.map(({ targetId, fromMs, toMs }) => watch.outAfterMs(targetId, fromMs, toMs)),
    agreedShares: steady.map(({ targetId, fromMs, toMs }) => watch.agreedShare(targetId, fromMs, toMs)),
    sickWork: steady.map(sickness => ({ ...sickWorkOf(journal, sickness) })),
    sickMs: Math.min(...steady.map(sickness => sickness.toMs - sickness.fromMs)),
    falseEjections: watch.falseEjections(sicknessTest(all)),
    failedWhileSick: load.results.filter(result => result.status !== 200 && isWhileSick(result.sentAtMs)).length,
    failed: load.results.filter(result => result.status !== 200).length
  }
}

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const fleet = await createHealthFleet(args, NOISE)
  return await withLoad(fleet, args.seed, PAYMENT_SHARE, async load => {
    const watch = HealthWatch.create(fleet)
    const illness = Illness.create(fleet)
    await fleet.clock.sleepMs(SETTLE_MS)
    const running = load.run(RATE_OF, args.durationMs)
    const steady = await play(args, fleet, illness)
    await running
    await watch.stop()
    return await figuresOf(args, fleet, load, watch, steady, illness.sicknesses)
  })
}

/** Targets that answer probes and fail part of real work, with noise at the others. */
export const gray: Scenario = {
  name: 'gray',
  summary: 'one target, then two, fail 30% of real work; one flaps; all show 1% errors, spikes and a time of shed answers',
  defaultInstances: 8,
  defaultSeconds: 20,
  run
}
