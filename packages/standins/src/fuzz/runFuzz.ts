import { Agent, request } from 'undici'
import type { JsonValue, RunVerdict } from '@lovagehoist/common'
import { InProcessFleet } from '../integration/inProcessFleet.js'
import { DRAIN_HEADER, SHED_HEADER, SHED_STATUS } from '../target/targetStandin.js'
import { findBreaches } from './fuzzOracle.js'
import type { FuzzBreach, FuzzResult } from './fuzzOracle.js'
import { FUZZ_SIZES, drawSteps } from './fuzzSteps.js'
import type { FuzzStep, RequestStep } from './fuzzSteps.js'

/** Arguments of a run. */
export interface FuzzArguments {
  readonly seed: number
  readonly steps: number
}

/** What a run saw. */
export interface FuzzSummary extends FuzzArguments {
  readonly requests: number
  /** Requests by status and verdict. */
  readonly outcomes: Readonly<Record<string, number>>
  readonly runs: number
  readonly breaches: readonly FuzzBreach[]
}

const SERVICE = 'burnbook'
const WORK_MS = 1
const SLOTS = 6
const REQUESTS_AT_ONCE = 12
/** Requests after which other keys are used. */
const KEY_PERIOD = 40
const CALLER_LIMIT_MS = 10_000
const METHOD = { read: 'GET', pay: 'POST', keyed: 'POST' } as const

const DOCUMENT: JsonValue = {
  schemaVersion: 1,
  deployment: 'fuzz',
  accounts: { default: { maxInFlight: 1_000 } },
  services: {
    [SERVICE]: {
      plannedTargets: FUZZ_SIZES.targets,
      slotsPerTarget: SLOTS,
      floorSlots: SLOTS,
      connectionsPerTarget: 300,
      headTimeoutMs: 400,
      bodyIdleTimeoutMs: 400,
      retryBudgetShare: 1,
      shedAnswer: { status: SHED_STATUS, header: SHED_HEADER },
      drainHeader: DRAIN_HEADER
    }
  },
  routes: [
    { id: 'read', methods: ['GET'], path: '/read', service: SERVICE, isIdempotent: true, timeoutMs: 1_500 },
    { id: 'pay', methods: ['POST'], path: '/pay', service: SERVICE, timeoutMs: 1_500 },
    { id: 'keyed', methods: ['POST'], path: '/keyed', service: SERVICE, keyHeader: 'Idempotency-Key', timeoutMs: 1_500 }
  ]
}

/** A fleet under random actions. */
class FuzzRun {
  private readonly results: FuzzResult[] = []
  private readonly running = new Set<Promise<void>>()
  private readonly agent = new Agent({ connections: 64, pipelining: 1 })
  private requestCount = 0

  private constructor (private readonly fleet: InProcessFleet, private readonly args: FuzzArguments) {}

  static async create (args: FuzzArguments): Promise<FuzzRun> {
    const fleet = await InProcessFleet.create()
    for (let index = 0; index < FUZZ_SIZES.targets; index++) await fleet.addTarget(SERVICE, { workMs: WORK_MS, slots: SLOTS })
    await fleet.promote(DOCUMENT)
    for (let index = 0; index < FUZZ_SIZES.daemons; index++) await fleet.addDaemon()
    return new FuzzRun(fleet, args)
  }

  async take (step: FuzzStep): Promise<void> {
    if (step.type === 'target') this.fleet.targets[step.target]?.set(step.change)
    else if (step.type === 'platform') this.fleet.platform.set(step.change)
    else await this.start(step)
  }

  async finish (): Promise<FuzzSummary> {
    await Promise.all(this.running)
    const journal = this.fleet.targets.flatMap(target => target.journal)
    const invariants = this.fleet.breaches.map(({ name, fields }): FuzzBreach => ({ promise: 'invariant', detail: `${name} ${JSON.stringify(fields)}` }))
    const outcomes: Record<string, number> = {}
    for (const { status, verdict } of this.results) {
      const name = `${status} ${verdict ?? 'none'}`
      outcomes[name] = (outcomes[name] ?? 0) + 1
    }
    return { ...this.args, requests: this.results.length, outcomes, runs: journal.length, breaches: [...findBreaches(this.results, journal), ...invariants] }
  }

  async close (): Promise<void> {
    this.fleet.platform.set({ isDown: false, lostAnswerShare: 0, delayMs: 0 })
    await this.agent.destroy()
    await this.fleet.close()
  }

  private async start (step: RequestStep): Promise<void> {
    while (this.running.size >= REQUESTS_AT_ONCE) await Promise.race(this.running)
    const work = this.send(step, this.requestCount++).then(result => { this.results.push(result) })
    this.running.add(work)
    work.finally(() => { this.running.delete(work) }).catch(() => {})
  }

  private async send (step: RequestStep, index: number): Promise<FuzzResult> {
    const runId = `r${index}`
    const key = step.kind === 'keyed' ? `k${Math.floor(index / KEY_PERIOD)}-${step.key}` : undefined
    // Requests with one key must be equal, their answers' length included.
    const sent = key === undefined ? step : { ...step, answerBytes: 64 * (step.key + 1) }
    const sentBody = step.kind === 'read' ? '' : `body of ${key ?? runId}`
    const common = { runId, step: sent, key, sentBody }
    try {
      return { ...common, ...await this.exchange(sent, { runId, key, sentBody }) }
    } catch {
      return { ...common, status: 0, verdict: undefined, isProblem: false, body: Buffer.alloc(0) }
    }
  }

  private async exchange (step: RequestStep, sent: { readonly runId: string, readonly key: string | undefined, readonly sentBody: string }) {
    const daemon = this.fleet.daemons[step.daemon]
    if (daemon === undefined) throw new Error('no such daemon')
    const leaving = new AbortController()
    if (step.leaveAfterMs > 0) this.fleet.clock.after(step.leaveAfterMs, () => { leaving.abort() })
    const reply = await request(`${this.fleet.urlOf(daemon)}/${step.kind}`, {
      method: METHOD[step.kind],
      body: sent.sentBody === '' ? null : sent.sentBody,
      headers: {
        'x-run-id': sent.runId,
        'x-answer-bytes': String(step.answerBytes),
        ...(sent.key === undefined ? {} : { 'idempotency-key': sent.key }),
        ...(step.timeoutMs === 0 ? {} : { 'lovagehoist-timeout-ms': String(step.timeoutMs) })
      },
      dispatcher: this.agent,
      signal: leaving.signal,
      headersTimeout: CALLER_LIMIT_MS,
      bodyTimeout: CALLER_LIMIT_MS
    })
    const body = Buffer.from(await reply.body.arrayBuffer())
    const isProblem = reply.headers['content-type'] === 'application/problem+json'
    return { status: reply.statusCode, verdict: reply.headers['lovagehoist-verdict'] as RunVerdict | undefined, isProblem, body }
  }
}

/**
 * Runs random actions of callers, targets and platform against real daemons in this process.
 *
 * @param args - Seed and number of steps.
 * @returns What the callers saw and which promises were broken.
 */
export const runFuzz = async (args: FuzzArguments): Promise<FuzzSummary> => {
  const run = await FuzzRun.create(args)
  try {
    for (const step of drawSteps(args.seed, args.steps)) await run.take(step)
    return await run.finish()
  } finally {
    await run.close()
  }
}
