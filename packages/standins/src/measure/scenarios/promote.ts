import { setMaxListeners } from 'node:events'
import { sha256Hex } from '@lovagehoist/common'
import { awaitInForce, fleetViewSchema, promote, storeDocument } from '@lovagehoist/operators'
import type { EnvironmentRow, FleetView, CollectedViews } from '@lovagehoist/operators'
import { createPlatform } from '@lovagehoist/store'
import { request } from 'undici'
import { Caller } from '../../load/caller.js'
import { ENVIRONMENT, Fleet } from '../fleet.js'
import { breachFigures } from '../invariantBreaches.js'
import { countGuaranteeBreaches } from '../oracle.js'
import { PromoteProbe, numberedDocument } from '../promoteProbe.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'

const TARGETS = 4
const SLOTS = 64
const IN_FORCE_TIMEOUT_MS = 15_000
const CONVERGENCE_MS = 2_000
const ROUND_INTERVAL_MS = 1_000
const QUERIED_DAEMONS = 3
const VIEW_TIMEOUT_MS = 1_000
const OPERATORS = ['ada', 'ben'] as const

/** Result of one round of concurrent promotions. */
interface PromotionRound {
  readonly name: string
  readonly winners: number
  /** Time from acceptance of the document until the last live instance served it. */
  readonly inForceMs: number | null
  /** Time from acceptance of the document until it was reported in force. */
  readonly reportedMs: number | null
}

/** Conditions of a round: faults, and hooks around the promotion. */
interface RoundPlan {
  readonly name: string
  /** Instances that are not expected to serve the document. */
  readonly absentIds?: ReadonlySet<string>
  readonly before?: () => Promise<void>
  readonly during?: () => Promise<void>
  readonly after?: () => Promise<void>
  readonly operatorCount: number
}

/** Fleet in which numbered documents are promoted, one round after another. */
class PromotionBench {
  private number = 0
  private version = 0
  readonly platform

  constructor (readonly fleet: Fleet, readonly probe: { current?: PromoteProbe }) {
    this.platform = createPlatform(fleet.platformUrls, fleet.clock)
  }

  readonly newestNumber = (): number => this.number

  /** Lets several operators promote documents concurrently on top of the same version. */
  async promote (operatorCount: number): Promise<{ readonly rows: readonly EnvironmentRow[], readonly acceptedAtMs: number }> {
    const { platform, fleet: { clock } } = this
    const digests: string[] = []
    for (let index = 0; index < operatorCount; index++) {
      const document = { ...numberedDocument(this.number + 1, TARGETS, SLOTS) as object, deployment: `measured-${OPERATORS[index] ?? ''}` }
      digests.push((await storeDocument(platform, 'document.jsonc', Buffer.from(JSON.stringify(document))))._unsafeUnwrap())
    }
    const results = await Promise.all(digests.map(async (digest, index) => await promote({ platform, clock }, {
      environment: ENVIRONMENT,
      digest,
      operationId: sha256Hex(`${digest}${clock.wallMs()}`),
      promotedBy: OPERATORS[index] ?? '',
      seenVersion: this.version
    })))
    const acceptedAtMs = clock.monotonicMs()
    const rows = results.flatMap(result => result.isOk() ? [result.value] : [])
    this.number++
    this.version++
    return { rows, acceptedAtMs }
  }

  /** Promotes a document under the conditions of a plan and waits until it is in force. */
  async run (plan: RoundPlan): Promise<PromotionRound> {
    const { clock } = this.fleet
    await plan.before?.()
    const { rows, acceptedAtMs } = await this.promote(plan.operatorCount)
    const number = this.number
    const isLive = (id: string): boolean => plan.absentIds?.has(id) !== true
    const [servedAtMs, reportedAtMs] = await Promise.all([
      this.probe.current?.waitUntilServed(number, isLive, IN_FORCE_TIMEOUT_MS),
      this.waitUntilReported(isLive),
      plan.during?.()
    ])
    await plan.after?.()
    await clock.sleepMs(ROUND_INTERVAL_MS)
    const sinceAcceptedMs = (atMs: number | undefined): number | null => atMs === undefined ? null : atMs - acceptedAtMs
    return { name: plan.name, winners: rows.length, inForceMs: sinceAcceptedMs(servedAtMs), reportedMs: sinceAcceptedMs(reportedAtMs) }
  }

  private async waitUntilReported (isLive: (id: string) => boolean): Promise<number | undefined> {
    const { clock } = this.fleet
    const readViews = async (): Promise<CollectedViews> => ({ views: await this.readViews(isLive), unansweredIds: [] })
    const { isInForce } = await awaitInForce({ clock, version: this.version, timeoutMs: IN_FORCE_TIMEOUT_MS, readViews })
    if (!isInForce) return undefined
    if (this.probe.current !== undefined) this.probe.current.reportedNumber = this.number
    return clock.monotonicMs()
  }

  private async readViews (isLive: (id: string) => boolean): Promise<readonly FleetView[]> {
    const queried = this.fleet.daemons.filter(({ id }) => isLive(id)).slice(0, QUERIED_DAEMONS)
    const views = await Promise.all(queried.map(async daemon => {
      const { admin } = await daemon.ports
      const response = await request(`http://127.0.0.1:${admin}/config`, { headersTimeout: VIEW_TIMEOUT_MS }).catch(() => undefined)
      const view = fleetViewSchema.safeParse(await response?.body.json())
      return view.success ? [view.data] : []
    }))
    return views.flat()
  }
}

const daemonIdAt = (fleet: Fleet, index: number): string => fleet.daemons[index % fleet.daemons.length]?.id ?? ''

const signalDaemon = (fleet: Fleet, id: string, name: 'SIGSTOP' | 'SIGCONT'): void => { fleet.daemons.find(daemon => daemon.id === id)?.signal(name) }

const replaceDaemon = async (fleet: Fleet, id: string): Promise<void> => {
  const index = fleet.daemons.findIndex(daemon => daemon.id === id)
  const [daemon] = fleet.daemons.splice(index, 1)
  daemon?.signal('SIGKILL')
  await daemon?.exited
  await fleet.platformHost.remove(id)
  await fleet.addDaemon()
}

const setOutgoingLinks = async (fleet: Fleet, id: string, isCut: boolean): Promise<void> => {
  for (const { id: other } of fleet.daemons) if (other !== id) await fleet.setLink(id, other, isCut)
}

const planRounds = ({ fleet, probe, newestNumber }: PromotionBench): readonly RoundPlan[] => {
  const [paused, replaced, cut] = [daemonIdAt(fleet, 1), daemonIdAt(fleet, 2), daemonIdAt(fleet, 3)]
  const isPaused = (id: string): boolean => id === paused
  return [
    { name: 'plain', operatorCount: 1 },
    { name: 'two operators', operatorCount: 2 },
    {
      name: 'lost answer',
      operatorCount: 1,
      before: async () => { await fleet.platformHost.setPlatform({ lostAnswerShare: 1 }) },
      after: async () => { await fleet.platformHost.setPlatform({ lostAnswerShare: 0 }) }
    },
    {
      name: 'paused instance',
      operatorCount: 2,
      absentIds: new Set([paused]),
      before: async () => { signalDaemon(fleet, paused, 'SIGSTOP') },
      after: async () => {
        signalDaemon(fleet, paused, 'SIGCONT')
        await probe.current?.waitUntilServed(newestNumber(), isPaused, IN_FORCE_TIMEOUT_MS)
      }
    },
    {
      name: 'cut one way',
      operatorCount: 1,
      before: async () => { await setOutgoingLinks(fleet, cut, true) },
      after: async () => { await setOutgoingLinks(fleet, cut, false) }
    },
    { name: 'replaced instance', operatorCount: 1, absentIds: new Set([replaced]), during: async () => { await replaceDaemon(fleet, replaced) } }
  ]
}

const createFleet = async ({ seed, instances, variant, progress }: ScenarioArguments): Promise<PromotionBench> => {
  const fleet = await Fleet.create(seed)
  fleet.usePeerProxies()
  for (let index = 0; index < TARGETS; index++) await fleet.addTarget('burnbook', { slots: SLOTS })
  const bench = new PromotionBench(fleet, {})
  await bench.promote(1)
  await fleet.addDaemons(instances, { mechanisms: { control: variant === 'baseline' ? 'off' : 'on' } })
  progress(`${instances} daemons are ready`)
  await fleet.clock.sleepMs(CONVERGENCE_MS)
  return bench
}

const maxOrNull = (values: ReadonlyArray<number | null>): number | null =>
  values.some(value => value === null) ? null : Math.round(Math.max(...values.map(value => value ?? 0)))

const runRounds = async (bench: PromotionBench, progress: ScenarioArguments['progress']): Promise<readonly PromotionRound[]> => {
  const rounds: PromotionRound[] = []
  for (const plan of planRounds(bench)) {
    const round = await bench.run(plan)
    progress(JSON.stringify(round))
    rounds.push(round)
  }
  return rounds
}

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const bench = await createFleet(args)
  const { fleet } = bench
  const caller = Caller.create(fleet.clock)
  const probe = new PromoteProbe(fleet, caller, bench.newestNumber)
  bench.probe.current = probe
  const stopping = new AbortController()
  setMaxListeners(0, stopping.signal)
  const probing = probe.run(stopping.signal)
  try {
    const rounds = await runRounds(bench, args.progress)
    stopping.abort()
    await probing
    const guaranteeBreaches = countGuaranteeBreaches({ results: probe.results, journal: await fleet.journal(), atMostOnceIds: new Set() })
    return {
      scenario: 'promote',
      variant: args.variant,
      seed: args.seed,
      instances: args.instances,
      targets: TARGETS,
      requests: probe.results.length,
      ...guaranteeBreaches,
      floorBreaches: null,
      ...await breachFigures(fleet),
      inForceMs: maxOrNull(rounds.map(({ inForceMs }) => inForceMs)),
      reportedMs: maxOrNull(rounds.map(({ reportedMs }) => reportedMs)),
      winners: Math.max(...rounds.map(({ winners }) => winners)),
      reverts: probe.reverts,
      staleAnswers: probe.staleAnswers,
      rounds: rounds.map(round => ({ ...round }))
    }
  } finally {
    stopping.abort()
    await probing
    await caller.close()
    await bench.platform.close()
    await fleet.close()
  }
}

/** Measures the time until a promoted document is in force, with concurrent operators, lost responses, and paused, partitioned and replaced instances. */
export const promoteScenario: Scenario = {
  name: 'promote',
  summary: 'promotions with concurrent operators, lost responses, and paused, partitioned and replaced instances',
  defaultInstances: 8,
  defaultSeconds: 20,
  run
}
