import { Agent, request } from 'undici'
import type { JsonValue, RunVerdict } from '@lovagehoist/common'
import { InProcessFleet } from '../integration/inProcessFleet.js'
import { DRAIN_HEADER, SHED_HEADER, SHED_STATUS } from '../target/targetStandin.js'
import { findBreaches } from './fuzzOracle.js'
import type { FuzzBreach, FuzzResult } from './fuzzOracle.js'
import { FUZZ_SIZES, drawSteps } from './fuzzSteps.js'
import type { FuzzStep, RequestStep } from './fuzzSteps.js'

/** Arguments of a fuzz run. */
export interface FuzzArguments {
  readonly seed: number
  readonly steps: number
}

/** Result of a fuzz run. */
export interface FuzzSummary extends FuzzArguments {
  readonly requests: number
  /** Number of requests by status and verdict. */
  readonly outcomes: Readonly<Record<string, number>>
  /** Number of requests that targets ran. */
  readonly runs: number
  readonly breaches: readonly FuzzBreach[]
}

const SERVICE = 'burnbook'
const WORK_MS = 1
const SLOTS = 6
const MAX_IN_FLIGHT = 12
/** Number of requests after which a new set of idempotency keys is used. */
const REQUESTS_PER_KEY_SET = 40
const CALLER_TIMEOUT_MS = 10_000
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

/** Applies steps to a fleet and records the outcomes. */
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

  async apply (step: FuzzStep): Promise<void> {
    if (step.type === 'target') this.fleet.targets[step.target]?.setBehaviour(step.change)
    else if (step.type === 'platform') this.fleet.platform.setFaults(step.change)
    else await this.startRequest(step)
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
    this.fleet.platform.setFaults({ isDown: false, lostAnswerShare: 0, delayMs: 0 })
    await this.agent.destroy()
    await this.fleet.close()
  }

  private async startRequest (step: RequestStep): Promise<void> {
    while (this.running.size >= MAX_IN_FLIGHT) await Promise.race(this.running)
    const pending = this.send(step, this.requestCount++).then(result => { this.results.push(result) })
    this.running.add(pending)
    pending.finally(() => { this.running.delete(pending) }).catch(() => {})
  }

  private async send (step: RequestStep, index: number): Promise<FuzzResult> {
    const runId = `r${index}`
    const key = step.kind === 'keyed' ? `k${Math.floor(index / REQUESTS_PER_KEY_SET)}-${step.keyIndex}` : undefined
    // Requests with the same idempotency key must be identical, including the requested response length.
    const sentStep = key === undefined ? step : { ...step, responseBytes: 64 * (step.keyIndex + 1) }
    const sentBody = step.kind === 'read' ? '' : `body of ${key ?? runId}`
    const base = { runId, step: sentStep, key, sentBody }
    try {
      return { ...base, ...await this.exchange(sentStep, { runId, key, sentBody }) }
    } catch {
      return { ...base, status: 0, verdict: undefined, isProblem: false, body: Buffer.alloc(0) }
    }
  }

  private async exchange (step: RequestStep, sent: { readonly runId: string, readonly key: string | undefined, readonly sentBody: string }) {
    const daemon = this.fleet.daemons[step.daemon]
    if (daemon === undefined) throw new Error('the step refers to a daemon that does not exist')
    const aborting = new AbortController()
    if (step.abortAfterMs > 0) this.fleet.clock.after(step.abortAfterMs, () => { aborting.abort() })
    const response = await request(`${this.fleet.urlOf(daemon)}/${step.kind}`, {
      method: METHOD[step.kind],
      body: sent.sentBody === '' ? null : sent.sentBody,
      headers: {
        'x-run-id': sent.runId,
        'x-answer-bytes': String(step.responseBytes),
        ...(sent.key === undefined ? {} : { 'idempotency-key': sent.key }),
        ...(step.timeoutMs === 0 ? {} : { 'lovagehoist-timeout-ms': String(step.timeoutMs) })
      },
      dispatcher: this.agent,
      signal: aborting.signal,
      headersTimeout: CALLER_TIMEOUT_MS,
      bodyTimeout: CALLER_TIMEOUT_MS
    })
    const body = Buffer.from(await response.body.arrayBuffer())
    const isProblem = response.headers['content-type'] === 'application/problem+json'
    return { status: response.statusCode, verdict: response.headers['lovagehoist-verdict'] as RunVerdict | undefined, isProblem, body }
  }
}

/**
 * Runs random steps of callers, targets and platform against real daemons in this process.
 *
 * @param args - Seed and number of steps.
 * @returns Outcomes of the requests and breached guarantees.
 */
export const runFuzz = async (args: FuzzArguments): Promise<FuzzSummary> => {
  const run = await FuzzRun.create(args)
  try {
    for (const step of drawSteps(args.seed, args.steps)) await run.apply(step)
    return await run.finish()
  } finally {
    await run.close()
  }
}
