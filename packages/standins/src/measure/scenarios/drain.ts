import { SeededRandom } from '@lovagehoist/common'
import type { Random } from '@lovagehoist/common'
import { Caller } from '../../load/caller.js'
import { MixedLoad } from '../../load/mixedLoad.js'
import { runStickyCaller } from '../../load/stickyCaller.js'
import type { StickyResult } from '../../load/stickyCaller.js'
import { CAPACITY_PER_SECOND, MEAN_WORK_MS, SERVICE, TARGETS, createBurnbookFleet, mechanismsOf } from '../burnbookFleet.js'
import type { Fleet, FleetTarget } from '../fleet.js'
import { countInvariantBreaches } from '../invariantBreaches.js'
import { verify } from '../oracle.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'

const LOAD_SHARE = 0.4
const PAYMENT_SHARE = 0.25
const DRAIN_SETTINGS = { balancerLagMs: 2_000 }
/** Time for which the balancer still sends to an instance that leaves. */
const BALANCER_LAG_MS = 1_500
const STICKY_CALLERS_PER_DAEMON = 3
const STICKY_WORK_MS = 2
const STICKY_PAUSE_MS = 50
/** Time between two instances that leave. */
const LEAVE_STEP_MS = 400

/** A target that began to leave. */
interface LeavingTarget {
  readonly target: FleetTarget
  readonly leftAtMs: number
}

const leaveByList = async (fleet: Fleet, target: FleetTarget): Promise<LeavingTarget> => {
  await fleet.listTarget(target, 'leaving')
  return { target, leftAtMs: fleet.clock.wallMs() }
}

const leaveByAnswer = async (fleet: Fleet, target: FleetTarget): Promise<LeavingTarget> => {
  await target.host.setTarget(target.entry.id, { isDraining: true })
  return { target, leftAtMs: fleet.clock.wallMs() }
}

const drainTargets = async (fleet: Fleet): Promise<readonly LeavingTarget[]> => {
  const [listed, answering] = fleet.targets
  if (listed === undefined || answering === undefined) throw new Error('the fleet has too few targets')
  return [await leaveByList(fleet, listed), await leaveByAnswer(fleet, answering)]
}

/** Instances that leave while callers and the balancer still use them. */
class LeavingInstances {
  readonly sticky: StickyResult[] = []
  private readonly balanced: string[]

  private constructor (private readonly fleet: Fleet, private readonly random: Random, urls: readonly string[]) {
    this.balanced = [...urls]
  }

  static create (fleet: Fleet, random: Random, urls: readonly string[]): LeavingInstances {
    return new LeavingInstances(fleet, random, urls)
  }

  /** Addresses that the balancer uses now. */
  readonly urls = (): readonly string[] => this.balanced

  /** Ends one instance and resolves when it has left. */
  async leave (index: number, signal: AbortSignal): Promise<void> {
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
    await this.fleet.clock.sleepMs(LEAVE_STEP_MS)
    daemon.signal('SIGTERM')
    await this.fleet.clock.sleepMs(BALANCER_LAG_MS)
    this.balanced.splice(this.balanced.indexOf(baseUrl), 1)
    this.sticky.push(...await Promise.all(callers))
    await daemon.exited
  }
}

const workAfterLeavingMs = async (leaving: readonly LeavingTarget[]): Promise<number> => {
  const lasts = await Promise.all(leaving.map(async ({ target, leftAtMs }) =>
    (await target.host.targetCounts(target.entry.id)).lastRequestAtMs - leftAtMs))
  return Math.max(0, ...lasts)
}

/** What happened while targets and instances left. */
interface Observed {
  readonly load: MixedLoad
  readonly instances: LeavingInstances
  readonly targets: readonly LeavingTarget[]
  readonly hasLeft: boolean
}

const figuresOf = async (args: ScenarioArguments, fleet: Fleet, { load, instances, targets, hasLeft }: Observed): Promise<Figures> => ({
  scenario: 'drain',
  variant: args.variant,
  seed: args.seed,
  instances: args.instances,
  targets: TARGETS,
  requests: load.results.length + instances.sticky.reduce((sum, result) => sum + result.answered + result.cut, 0),
  ...verify({ results: load.results, journal: await fleet.journal(), onceOnly: load.paymentIds() }),
  floorBreaches: null,
  invariantBreaches: await countInvariantBreaches(fleet),
  workAfterLeavingMs: await workAfterLeavingMs(targets),
  cutRequests: load.results.filter(result => result.status === 0).length + instances.sticky.reduce((sum, result) => sum + result.cut, 0),
  failed: load.results.filter(result => result.status !== 200).length,
  stickyAnswered: instances.sticky.reduce((sum, result) => sum + result.answered, 0),
  stickyUnannounced: instances.sticky.filter(result => !result.isAnnounced).length,
  instancesLeft: hasLeft
})

const withinLoad = async (fleet: Fleet, args: ScenarioArguments, instances: LeavingInstances): Promise<Pick<Observed, 'targets' | 'hasLeft'>> => {
  const { clock } = fleet
  const stop = new AbortController()
  await clock.sleepMs(args.durationMs / 6)
  const targets = await drainTargets(fleet)
  args.progress('two targets leave; half of the instances follow')
  const leaving = Array.from({ length: Math.max(1, args.instances >> 1) }, async (_, index) => {
    await clock.sleepMs(index * LEAVE_STEP_MS / 4)
    await instances.leave(index, stop.signal)
  })
  const limit = clock.sleepMs(args.durationMs * 2).then(() => { stop.abort() })
  const hasLeft = await Promise.race([Promise.all(leaving).then(() => true), limit.then(() => false)])
  return { targets, hasLeft }
}

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const fleet = await createBurnbookFleet(args, { drain: DRAIN_SETTINGS })
  if (args.instances === 1) await fleet.addDaemon({ drain: DRAIN_SETTINGS, mechanisms: mechanismsOf(args) })
  const { clock } = fleet
  const caller = Caller.create(clock)
  try {
    const random = SeededRandom.create(args.seed)
    const instances = LeavingInstances.create(fleet, random, await fleet.callerUrls())
    const load = MixedLoad.create({ clock, random, caller, service: SERVICE, paymentShare: PAYMENT_SHARE, meanWorkMs: MEAN_WORK_MS, urls: instances.urls })
    const sending = load.run(CAPACITY_PER_SECOND * LOAD_SHARE, args.durationMs)
    const ended = await withinLoad(fleet, args, instances)
    await sending
    return await figuresOf(args, fleet, { load, instances, ...ended })
  } finally {
    await caller.close()
    await fleet.close()
  }
}

/** Targets and instances that leave under load. */
export const drain: Scenario = {
  name: 'drain',
  summary: 'two targets leave and half of the instances get SIGTERM under load',
  defaultInstances: 8,
  defaultSeconds: 15,
  run
}
