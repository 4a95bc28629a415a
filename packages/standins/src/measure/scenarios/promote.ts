import { setMaxListeners } from 'node:events'
import { sha256Hex } from '@lovagehoist/common'
import { awaitInForce, fleetViewSchema, promote, storeDocument } from '@lovagehoist/operators'
import type { EnvironmentRow, FleetView, Views } from '@lovagehoist/operators'
import { createPlatform } from '@lovagehoist/store'
import { request } from 'undici'
import { Caller } from '../../load/caller.js'
import { ENVIRONMENT, Fleet } from '../fleet.js'
import { breachFigures } from '../invariantBreaches.js'
import { verify } from '../oracle.js'
import { PromoteProbe, numberedDocument } from '../promoteProbe.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'

const TARGETS = 4
const SLOTS = 64
const LIMIT_MS = 15_000
const SETTLE_MS = 2_000
const PAUSE_MS = 1_000
const VIEWS_ASKED = 3
const VIEW_TIMEOUT_MS = 1_000
const OPERATORS = ['ada', 'ben'] as const

/** How one promotion went. */
interface Round {
  readonly name: string
  readonly winners: number
  /** From the win to the moment that the last live instance answered by it. */
  readonly inForceMs: number | null
  /** From the win to the report that it is in force. */
  readonly reportedMs: number | null
}

interface RoundPlan {
  readonly name: string
  /** Instances that are not expected to answer. */
  readonly away?: ReadonlySet<string>
  readonly beforehand?: () => Promise<void>
  readonly meanwhile?: () => Promise<void>
  readonly afterwards?: () => Promise<void>
  readonly operators: number
}

/** A fleet whose accepted documents are numbered. */
class PromoteBench {
  private number = 0
  private version = 0
  readonly platform

  constructor (readonly fleet: Fleet, readonly probe: { current?: PromoteProbe }) {
    this.platform = createPlatform(fleet.platformUrls, fleet.clock)
  }

  readonly newestNumber = (): number => this.number

  /** Lets operators promote documents over the same version at once. */
  async promote (operators: number): Promise<{ readonly rows: readonly EnvironmentRow[], readonly wonAtMs: number }> {
    const { platform, fleet: { clock } } = this
    const digests: string[] = []
    for (let index = 0; index < operators; index++) {
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
    const wonAtMs = clock.monotonicMs()
    const rows = results.flatMap(result => result.isOk() ? [result.value] : [])
    this.number++
    this.version++
    return { rows, wonAtMs }
  }

  async run (plan: RoundPlan): Promise<Round> {
    const { clock } = this.fleet
    await plan.beforehand?.()
    const { rows, wonAtMs } = await this.promote(plan.operators)
    const number = this.number
    const isLive = (id: string): boolean => plan.away?.has(id) !== true
    const [answeredAtMs, reportedAtMs] = await Promise.all([
      this.probe.current?.answeredBy(number, isLive, LIMIT_MS),
      this.awaitReport(isLive),
      plan.meanwhile?.()
    ])
    await plan.afterwards?.()
    await clock.sleepMs(PAUSE_MS)
    const since = (atMs: number | undefined): number | null => atMs === undefined ? null : atMs - wonAtMs
    return { name: plan.name, winners: rows.length, inForceMs: since(answeredAtMs), reportedMs: since(reportedAtMs) }
  }

  private async awaitReport (isLive: (id: string) => boolean): Promise<number | undefined> {
    const { clock } = this.fleet
    const readViews = async (): Promise<Views> => ({ views: await this.views(isLive), silent: [] })
    const { isInForce } = await awaitInForce({ clock, version: this.version, limitMs: LIMIT_MS, readViews })
    if (!isInForce) return undefined
    if (this.probe.current !== undefined) this.probe.current.reportedNumber = this.number
    return clock.monotonicMs()
  }

  private async views (isLive: (id: string) => boolean): Promise<readonly FleetView[]> {
    const asked = this.fleet.daemons.filter(({ id }) => isLive(id)).slice(0, VIEWS_ASKED)
    const replies = await Promise.all(asked.map(async daemon => {
      const { admin } = await daemon.ports
      const reply = await request(`http://127.0.0.1:${admin}/config`, { headersTimeout: VIEW_TIMEOUT_MS }).catch(() => undefined)
      const view = fleetViewSchema.safeParse(await reply?.body.json())
      return view.success ? [view.data] : []
    }))
    return replies.flat()
  }
}

const idOf = (fleet: Fleet, index: number): string => fleet.daemons[index % fleet.daemons.length]?.id ?? ''

const signal = (fleet: Fleet, id: string, name: 'SIGSTOP' | 'SIGCONT'): void => { fleet.daemons.find(daemon => daemon.id === id)?.signal(name) }

const replace = async (fleet: Fleet, id: string): Promise<void> => {
  const index = fleet.daemons.findIndex(daemon => daemon.id === id)
  const [daemon] = fleet.daemons.splice(index, 1)
  daemon?.signal('SIGKILL')
  await daemon?.exited
  await fleet.platformHost.remove(id)
  await fleet.addDaemon()
}

const cutOneWay = async (fleet: Fleet, id: string, isCut: boolean): Promise<void> => {
  for (const { id: other } of fleet.daemons) if (other !== id) await fleet.setLink(id, other, isCut)
}

const roundsOf = ({ fleet, probe, newestNumber }: PromoteBench): readonly RoundPlan[] => {
  const [paused, replaced, cut] = [idOf(fleet, 1), idOf(fleet, 2), idOf(fleet, 3)]
  const isPaused = (id: string): boolean => id === paused
  return [
    { name: 'plain', operators: 1 },
    { name: 'two operators', operators: 2 },
    {
      name: 'lost answer',
      operators: 1,
      beforehand: async () => { await fleet.platformHost.setPlatform({ lostAnswerShare: 1 }) },
      afterwards: async () => { await fleet.platformHost.setPlatform({ lostAnswerShare: 0 }) }
    },
    {
      name: 'paused instance',
      operators: 2,
      away: new Set([paused]),
      beforehand: async () => { signal(fleet, paused, 'SIGSTOP') },
      afterwards: async () => {
        signal(fleet, paused, 'SIGCONT')
        await probe.current?.answeredBy(newestNumber(), isPaused, LIMIT_MS)
      }
    },
    {
      name: 'cut one way',
      operators: 1,
      beforehand: async () => { await cutOneWay(fleet, cut, true) },
      afterwards: async () => { await cutOneWay(fleet, cut, false) }
    },
    { name: 'replaced instance', operators: 1, away: new Set([replaced]), meanwhile: async () => { await replace(fleet, replaced) } }
  ]
}

const createFleet = async ({ seed, instances, variant, progress }: ScenarioArguments): Promise<PromoteBench> => {
  const fleet = await Fleet.create(seed)
  fleet.useRelays()
  for (let index = 0; index < TARGETS; index++) await fleet.addTarget('burnbook', { slots: SLOTS })
  const bench = new PromoteBench(fleet, {})
  await bench.promote(1)
  await fleet.addDaemons(instances, { mechanisms: { control: variant === 'baseline' ? 'off' : 'on' } })
  progress(`${instances} daemons are ready`)
  await fleet.clock.sleepMs(SETTLE_MS)
  return bench
}

const largest = (values: ReadonlyArray<number | null>): number | null =>
  values.some(value => value === null) ? null : Math.round(Math.max(...values.map(value => value ?? 0)))

const runRounds = async (bench: PromoteBench, progress: ScenarioArguments['progress']): Promise<readonly Round[]> => {
  const rounds: Round[] = []
  for (const plan of roundsOf(bench)) {
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
    const figures = verify({ results: probe.results, journal: await fleet.journal(), onceOnly: new Set() })
    return {
      scenario: 'promote',
      variant: args.variant,
      seed: args.seed,
      instances: args.instances,
      targets: TARGETS,
      requests: probe.results.length,
      ...figures,
      floorBreaches: null,
      ...await breachFigures(fleet),
      inForceMs: largest(rounds.map(({ inForceMs }) => inForceMs)),
      reportedMs: largest(rounds.map(({ reportedMs }) => reportedMs)),
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

/** Two operators at once, a lost answer, a paused, a cut-off and a replaced instance; time until a document is in force. */
export const promoteScenario: Scenario = {
  name: 'promote',
  summary: 'promotions by two operators, a lost answer, paused, cut-off and replaced instances',
  defaultInstances: 8,
  defaultSeconds: 20,
  run
}
