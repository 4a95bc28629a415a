import { SeededRandom } from '@lovagehoist/common'
import type { Random } from '@lovagehoist/common'
import { Caller } from '../../load/caller.js'
import { MixedLoad } from '../../load/mixedLoad.js'
import { runStickyCaller } from '../../load/stickyCaller.js'
import type { StickyResult } from '../../load/stickyCaller.js'
import { CAPACITY_PER_SECOND, MEAN_WORK_MS, SERVICE, TARGETS, createServiceFleet, mechanismSettings } from '../serviceFleet.js'
import type { Fleet, FleetTarget } from '../fleet.js'
import { countInvariantBreaches } from '../invariantBreaches.js'
import { countGuaranteeBreaches } from '../oracle.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'

const LOAD_SHARE = 0.4
const PAYMENT_SHARE = 0.25
const DRAIN_SETTINGS = { balancerLagMs: 2_000 }
/** Time for which the load balancer still sends requests to a draining instance. */
const BALANCER_LAG_MS = 1_500
const STICKY_CALLERS_PER_DAEMON = 3
const STICKY_WORK_MS = 2
const STICKY_PAUSE_MS = 50
/** Time from the first requests on kept-alive connections to SIGTERM; successive instances follow at a quarter of it. */
const SIGTERM_DELAY_MS = 400

/** Target that started to drain. */
interface DrainingTarget {
  readonly target: FleetTarget
  readonly drainStartMs: number
}

/** Announces the drain of a target in the directory. */
const drainByDirectory = async (fleet: Fleet, target: FleetTarget): Promise<DrainingTarget> => {
  await fleet.setTargetState(target, 'leaving')
  return { target, drainStartMs: fleet.clock.wallMs() }
}

/** Lets a target announce its drain in its responses. */
const drainByResponse = async (fleet: Fleet, target: FleetTarget): Promise<DrainingTarget> => {
  await target.host.setTarget(target.entry.id, { isDraining: true })
  return { target, drainStartMs: fleet.clock.wallMs() }
}

const drainTargets = async (fleet: Fleet): Promise<readonly DrainingTarget[]> => {
  const [byDirectory, byResponse] = fleet.targets
  if (byDirectory === undefined || byResponse === undefined) throw new Error('the drain scenario needs at least two targets')
  return [await drainByDirectory(fleet, byDirectory), await drainByResponse(fleet, byResponse)]
}

/** Drains instances that callers with kept-alive connections and the load balancer still use. */
class DrainingInstances {
  readonly sticky: StickyResult[] = []
  private readonly balancerUrls: string[]

  private constructor (private readonly fleet: Fleet, private readonly random: Random, urls: readonly string[]) {
    this.balancerUrls = [...urls]
  }

  static create (fleet: Fleet, random: Random, urls: readonly string[]): DrainingInstances {
    return new DrainingInstances(fleet, random, urls)
  }

  /** Base URLs that the load balancer currently uses. */
  readonly urls = (): readonly string[] => this.balancerUrls

  /** Sends SIGTERM to an instance under load and waits until its process has ended. */
  async drainInstance (index: number, signal: AbortSignal): Promise<void> {
    const daemon = this.fleet.daemons[index]
    if (daemon === undefined) return
    const baseUrl = `http://127.0.0.1:${(await daemon.ports).callers}`
    const callers = Array.from({ length: STICKY_CALLERS_PER_DAEMON }, async (_, caller) => await runStickyCaller({
      baseUrl,
      path: `/${SERVICE}/read/sticky`,
      headers: number => ({ 'x-run-id': `sticky-${index}-${caller}-${number}`, 'x-work-ms': String(STICKY_WORK_MS) }),
      pause: async () => { await this.fleet.clock.sleepMs(this.random.int(STICKY_PAUSE_MS)) },
      signal
    }))
    await this.fleet.clock.sleepMs(SIGTERM_DELAY_MS)
    daemon.signal('SIGTERM')
    await this.fleet.clock.sleepMs(BALANCER_LAG_MS)
    this.balancerUrls.splice(this.balancerUrls.indexOf(baseUrl), 1)
    this.sticky.push(...await Promise.all(callers))
    await daemon.exited
  }
}

/** Longest time from the announcement of a drain to the last request that the target received. */
const lastRequestDelayMs = async (draining: readonly DrainingTarget[]): Promise<number> => {
  const delaysMs = await Promise.all(draining.map(async ({ target, drainStartMs }) =>
    (await target.host.targetCounts(target.entry.id)).lastRequestAtMs - drainStartMs))
  return Math.max(0, ...delaysMs)
}

/** Observations while targets and instances drained. */
interface DrainOutcome {
  readonly load: MixedLoad
  readonly instances: DrainingInstances
  readonly targets: readonly DrainingTarget[]
  /** Whether all draining instances exited in time. */
  readonly hasLeft: boolean
}

const figuresOf = async (args: ScenarioArguments, fleet: Fleet, { load, instances, targets, hasLeft }: DrainOutcome): Promise<Figures> => ({
  scenario: 'drain',
  variant: args.variant,
  seed: args.seed,
  instances: args.instances,
  targets: TARGETS,
  requests: load.results.length + instances.sticky.reduce((sum, result) => sum + result.answered + result.broken, 0),
  ...countGuaranteeBreaches({ results: load.results, journal: await fleet.journal(), atMostOnceIds: load.paymentIds() }),
  floorBreaches: null,
  invariantBreaches: await countInvariantBreaches(fleet),
  workAfterLeavingMs: await lastRequestDelayMs(targets),
  cutRequests: load.results.filter(result => result.status === 0).length + instances.sticky.reduce((sum, result) => sum + result.broken, 0),
  failed: load.results.filter(result => result.status !== 200).length,
  stickyAnswered: instances.sticky.reduce((sum, result) => sum + result.answered, 0),
  stickyUnannounced: instances.sticky.filter(result => !result.isCloseAnnounced).length,
  instancesLeft: hasLeft
})

const drainUnderLoad = async (fleet: Fleet, args: ScenarioArguments, instances: DrainingInstances): Promise<Pick<DrainOutcome, 'targets' | 'hasLeft'>> => {
  const { clock } = fleet
  const stop = new AbortController()
  await clock.sleepMs(args.durationMs / 6)
  const targets = await drainTargets(fleet)
  args.progress('draining two targets, then half of the instances')
  const draining = Array.from({ length: Math.max(1, args.instances >> 1) }, async (_, index) => {
    await clock.sleepMs(index * SIGTERM_DELAY_MS / 4)
    await instances.drainInstance(index, stop.signal)
  })
  const timeout = clock.sleepMs(args.durationMs * 2).then(() => { stop.abort() })
  const hasLeft = await Promise.race([Promise.all(draining).then(() => true), timeout.then(() => false)])
  return { targets, hasLeft }
}

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const fleet = await createServiceFleet(args, { drain: DRAIN_SETTINGS })
  if (args.instances === 1) await fleet.addDaemon({ drain: DRAIN_SETTINGS, mechanisms: mechanismSettings(args) })
  const { clock } = fleet
  const caller = Caller.create(clock)
  try {
    const random = SeededRandom.create(args.seed)
    const instances = DrainingInstances.create(fleet, random, await fleet.callerUrls())
    const load = MixedLoad.create({ clock, random, caller, service: SERVICE, paymentShare: PAYMENT_SHARE, meanWorkMs: MEAN_WORK_MS, urls: instances.urls })
    const sending = load.run(CAPACITY_PER_SECOND * LOAD_SHARE, args.durationMs)
    const outcome = await drainUnderLoad(fleet, args, instances)
    await sending
    return await figuresOf(args, fleet, { load, instances, ...outcome })
  } finally {
    await caller.close()
    await fleet.close()
  }
}

/** Drains targets and instances under load. */
export const drain: Scenario = {
  name: 'drain',
  summary: 'two targets drain and half of the instances get SIGTERM under load',
  defaultInstances: 8,
  defaultSeconds: 15,
  run
}
