import { Readable } from 'node:stream'
import { Registry } from 'prom-client'
import { ok } from 'neverthrow'
import { Invariants, SeededRandom, SystemClock, createLog, documentSchema } from '@lovagehoist/common'
import type {
  AcceptedConfig, AttemptReport, Clock, InvariantBreach, OutcomeKind, RunVerdict, Target, TargetResponse, TargetFailure, TargetRequest, TargetSender
} from '@lovagehoist/common'
import { FakePlatform, fakeTarget } from '@lovagehoist/common/testing'
import { RequestNames } from '../accept/requestNames.js'
import { Admission } from '../admission/admission.js'
import { AdmissionMetrics } from '../admission/admissionMetrics.js'
import { CallerServer } from '../entry/callerServer.js'
import { RetryBudget } from '../exchange/retryBudget.js'
import { serveRequest } from '../exchange/serveRequest.js'
import { KeyClaims } from '../keys/keyClaims.js'
import { KeyGuard } from '../keys/keyGuard.js'
import { KeyWriter } from '../keys/keyWriter.js'
import { createRequestMetrics } from '../metrics/requestMetrics.js'
import { RouteTable } from '../routing/routeTable.js'

/** Ends one try of a test's request. */
export type TryScript = (target: Target, request: TargetRequest, signal: AbortSignal) => TargetResponse | TargetFailure | Promise<TargetResponse | TargetFailure>

/** What a bench can be given. */
export interface BenchOptions {
  readonly clock?: Clock
  readonly platform?: FakePlatform
  readonly seed?: number
}

/** Document with an idempotent and a non-idempotent route and one with a key. */
export const benchDocument = documentSchema.parse({
  schemaVersion: 1,
  deployment: 'test',
  services: { burnbook: { plannedTargets: 4, slotsPerTarget: 6, floorSlots: 12, connectionsPerTarget: 300, shedAnswer: { status: 503, header: 'x-shed' }, drainHeader: 'x-leaving' } },
  routes: [
    { id: 'read', methods: ['GET', 'HEAD'], path: '/read/*', service: 'burnbook', isIdempotent: true, heldAnswerBytes: 1_000 },
    { id: 'pay', methods: ['POST'], path: '/pay/*', service: 'burnbook', maxRequestBytes: 1_000 },
    { id: 'keyed', methods: ['POST'], path: '/keyed', service: 'burnbook', keyHeader: 'Idempotency-Key', timeoutMs: 60_000 },
    { id: 'keyed-once', methods: ['POST'], path: '/keyed-once', service: 'burnbook', keyHeader: 'Idempotency-Key', keyOutage: 'send-once' }
  ]
})

/**
 * Makes an answer of a target.
 *
 * @param body - Chunks of the body, or an error that breaks it.
 * @param change - Fields that differ from a 200 with the right length.
 * @returns The answer.
 */
export const answerOf = (body: ReadonlyArray<string | Error>, change: Partial<TargetResponse> = {}): TargetResponse => {
  const lengthBytes = body.reduce((sum, part) => sum + (typeof part === 'string' ? part.length : 0), 0)
  const stream = Readable.from((async function * () {
    for (const part of body) {
      if (typeof part !== 'string') throw part
      yield Buffer.from(part)
    }
  })(), { objectMode: false })
  return { type: 'answer', status: 200, headers: ['content-length', String(lengthBytes)], trailers: () => [], body: stream, isFreshConnection: false, latencyMs: 1, ...change }
}

/**
 * Makes a failed try.
 *
 * @param outcome - Outcome.
 * @param verdict - Verdict.
 * @returns The failure.
 */
export const failureOf = (outcome: OutcomeKind, verdict: Exclude<RunVerdict, 'ran'>): TargetFailure =>
  ({ type: 'failure', outcome, verdict, message: outcome, isFreshConnection: false, latencyMs: 1 })

/** The real request path behind a real server, before scripted targets. */
export class RequestBench {
  readonly tries: Array<{ readonly target: Target, readonly request: TargetRequest }> = []
  readonly reports: AttemptReport[] = []
  readonly breaches: InvariantBreach[] = []
  readonly left: string[] = []
  readonly targets: readonly Target[] = ['a', 'b', 'c', 'a'].map((zone, index) => fakeTarget(`t${index}`, { availabilityZone: zone }))
  readonly quarantined = new Set<string>()
  isShedding = false
  script: TryScript = () => answerOf(['hello'])
  /** Runs before each pick. */
  beforePick: () => void = () => {}
  /** Held slots. */
  slots = 0

  private constructor (private readonly server: CallerServer, private readonly admission: Admission, readonly keys: KeyGuard, readonly faults: ReturnType<FakePlatform['connect']>['faults']) {}

  /** Starts a bench. */
  static async create (options: BenchOptions = {}): Promise<RequestBench> {
    const clock = options.clock ?? SystemClock.create()
    const random = SeededRandom.create(options.seed ?? 1)
    const names = RequestNames.create(random)
    const { platform, faults } = (options.platform ?? FakePlatform.create(clock)).connect()
    const registry = new Registry()
    const log = createLog({ level: 'error', format: 'json', clock, write: () => {} })
    const invariants = Invariants.create({ clock, log, registry, onBreach: breach => { bench.breaches.push(breach) } })
    const metrics = createRequestMetrics(registry)
    const writer = KeyWriter.create({ table: platform.table, clock, random, fleetSize: () => 1 })
    const keys = KeyGuard.create({ claims: KeyClaims.create({ writer, clock, random }), objects: platform.objects, clock, metrics, invariants })
    const config: AcceptedConfig = { version: 1, digest: 'd', document: benchDocument }
    const routes = RouteTable.create(benchDocument)
    const admission = Admission.create({ clock, random, capacity: () => 100, metrics: AdmissionMetrics.create(registry) })
    const server = await CallerServer.create({
      address: { host: '127.0.0.1', port: 0 },
      limits: { maxHeadBytes: 4_096, headTimeoutMs: 10_000, requestTimeoutMs: 10_000, maxConnections: 100 },
      clock,
      log,
      handler: async (request, response) => { await serveRequest({ ...bench.parts(), clock, names, invariants, metrics, keys, config: { current: () => config, onChange: () => () => {} }, routes: () => routes }, request, response) }
    })
    const bench: RequestBench = new RequestBench(server, admission, keys, faults)
    return bench
  }

  /** Base address for callers. */
  get url (): string {
    return `http://127.0.0.1:${this.server.port}`
  }

  get port (): number {
    return this.server.port
  }

  async close (): Promise<void> {
    this.server.close()
  }

  private readonly budget = RetryBudget.create()

  private readonly sender: TargetSender = {
    send: async (target, request, signal) => {
      this.tries.push({ target, request })
      return await this.script(target, request, signal)
    },
    warm: async () => {},
    closeIdleConnections: () => {}
  }

  private parts () {
    const { admission, budget, sender } = this
    return {
      admission,
      budget,
      sender,
      evidence: { record: (report: AttemptReport) => { this.reports.push(report) } },
      directory: { markLeaving: (id: string) => { this.left.push(id) } },
      health: {
        ratingOf: () => ({ status: 'healthy' as const, weight: 1, idempotentOnly: false }),
        isQuarantined: (fingerprint: string) => this.quarantined.has(fingerprint),
        isPoolShedding: () => this.isShedding
      },
      picker: {
        pick: async (need: { readonly triedTargetIds: ReadonlySet<string>, readonly avoidedZones: ReadonlySet<string> }) => {
          const target = this.targets.find(({ id, availabilityZone }) => !need.triedTargetIds.has(id) && !need.avoidedZones.has(availabilityZone)) ?? fakeTarget('t9')
          this.beforePick()
          this.slots++
          let isHeld = true
          return ok({
            target,
            release: () => {
              if (isHeld) this.slots--
              isHeld = false
            }
          })
        }
      }
    }
  }
}
