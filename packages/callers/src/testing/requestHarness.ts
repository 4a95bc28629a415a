import { Readable } from 'node:stream'
import { Registry } from 'prom-client'
import { ok } from 'neverthrow'
import { Invariants, SeededRandom, SystemClock, createLog, documentSchema } from '@lovagehoist/common'
import type {
  AcceptedConfig, AttemptReport, Clock, InvariantBreach, OutcomeKind, RunVerdict, Target, TargetResponse, TargetFailure, TargetRequest, TargetSender
} from '@lovagehoist/common'
import { FakePlatform, fakeTarget } from '@lovagehoist/common/testing'
import { RequestIdGenerator } from '../accept/requestIdGenerator.js'
import { Admission } from '../admission/admission.js'
import { AdmissionMetrics } from '../admission/admissionMetrics.js'
import { CallerServer } from '../server/callerServer.js'
import { RetryBudget } from '../exchange/retryBudget.js'
import { serveRequest } from '../exchange/serveRequest.js'
import { ClaimStore } from '../idempotency/claimStore.js'
import { IdempotencyGuard } from '../idempotency/idempotencyGuard.js'
import { ClaimWriter } from '../idempotency/claimWriter.js'
import { createRequestMetrics } from '../metrics/requestMetrics.js'
import { RouteTable } from '../routing/routeTable.js'

/** Scripted result of one attempt at a target. */
export type AttemptScript = (target: Target, request: TargetRequest, signal: AbortSignal) => TargetResponse | TargetFailure | Promise<TargetResponse | TargetFailure>

/** Options of a harness. */
export interface RequestHarnessOptions {
  readonly clock?: Clock
  readonly platform?: FakePlatform
  readonly seed?: number
}

/** Configuration with an idempotent route, a non-idempotent route and two routes with idempotency keys. */
export const testDocument = documentSchema.parse({
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
 * Creates a response of a target.
 *
 * @param body - Chunks of the body; an error makes the body fail at that point.
 * @param change - Fields that differ from a 200 response with the correct length.
 * @returns The response.
 */
export const targetResponse = (body: ReadonlyArray<string | Error>, change: Partial<TargetResponse> = {}): TargetResponse => {
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
 * Creates the failure of an attempt.
 *
 * @param outcome - Outcome.
 * @param verdict - Verdict.
 * @returns The failure.
 */
export const targetFailure = (outcome: OutcomeKind, verdict: Exclude<RunVerdict, 'ran'>): TargetFailure =>
  ({ type: 'failure', outcome, verdict, message: outcome, isFreshConnection: false, latencyMs: 1 })

/** Test harness: the real request path behind a real HTTP server, with scripted targets. */
export class RequestHarness {
  readonly attempts: Array<{ readonly target: Target, readonly request: TargetRequest }> = []
  readonly reports: AttemptReport[] = []
  readonly breaches: InvariantBreach[] = []
  readonly leavingTargetIds: string[] = []
  readonly targets: readonly Target[] = ['a', 'b', 'c', 'a'].map((zone, index) => fakeTarget(`t${index}`, { availabilityZone: zone }))
  readonly quarantined = new Set<string>()
  isShedding = false
  script: AttemptScript = () => targetResponse(['hello'])
  /** Called for each pick, before its slot is counted. */
  beforePick: () => void = () => {}
  /** Number of slots currently reserved. */
  reservedSlots = 0

  private constructor (private readonly server: CallerServer, private readonly admission: Admission, readonly idempotencyGuard: IdempotencyGuard, readonly faults: ReturnType<FakePlatform['connect']>['faults']) {}

  /** Starts a harness with a listening server. */
  static async create (options: RequestHarnessOptions = {}): Promise<RequestHarness> {
    const clock = options.clock ?? SystemClock.create()
    const random = SeededRandom.create(options.seed ?? 1)
    const requestIds = RequestIdGenerator.create(random)
    const { platform, faults } = (options.platform ?? FakePlatform.create(clock)).connect()
    const registry = new Registry()
    const log = createLog({ level: 'error', format: 'json', clock, write: () => {} })
    const invariants = Invariants.create({ clock, log, registry, onBreach: breach => { harness.breaches.push(breach) } })
    const metrics = createRequestMetrics(registry)
    const writer = ClaimWriter.create({ table: platform.table, clock, random, fleetSize: () => 1 })
    const idempotencyGuard = IdempotencyGuard.create({ claims: ClaimStore.create({ writer, clock, random }), objects: platform.objects, clock, metrics, invariants })
    const config: AcceptedConfig = { version: 1, digest: 'd', document: testDocument }
    const routes = RouteTable.create(testDocument)
    const admission = Admission.create({ clock, random, capacity: () => 100, metrics: AdmissionMetrics.create(registry) })
    const server = await CallerServer.create({
      address: { host: '127.0.0.1', port: 0 },
      limits: { maxHeadBytes: 4_096, headTimeoutMs: 10_000, requestTimeoutMs: 10_000, maxConnections: 100 },
      clock,
      log,
      handler: async (request, response) => { await serveRequest({ ...harness.parts(), clock, requestIds, invariants, metrics, idempotencyGuard, config: { current: () => config, onChange: () => () => {} }, routes: () => routes }, request, response) }
    })
    const harness: RequestHarness = new RequestHarness(server, admission, idempotencyGuard, faults)
    return harness
  }

  /** Base URL for callers. */
  get url (): string {
    return `http://127.0.0.1:${this.server.port}`
  }

  get port (): number {
    return this.server.port
  }

  async close (): Promise<void> {
    this.server.close()
  }

  private readonly retryBudget = RetryBudget.create()

  private readonly sender: TargetSender = {
    send: async (target, request, signal) => {
      this.attempts.push({ target, request })
      return await this.script(target, request, signal)
    },
    warm: async () => {},
    closeIdleConnections: () => {}
  }

  private parts () {
    const { admission, retryBudget, sender } = this
    return {
      admission,
      retryBudget,
      sender,
      attemptSink: { record: (report: AttemptReport) => { this.reports.push(report) } },
      directory: { markLeaving: (id: string) => { this.leavingTargetIds.push(id) } },
      health: {
        ratingOf: () => ({ status: 'healthy' as const, weight: 1, idempotentOnly: false }),
        isQuarantined: (fingerprint: string) => this.quarantined.has(fingerprint),
        isPoolShedding: () => this.isShedding
      },
      picker: {
        pick: async (criteria: { readonly triedTargetIds: ReadonlySet<string>, readonly avoidedZones: ReadonlySet<string> }) => {
          const target = this.targets.find(({ id, availabilityZone }) => !criteria.triedTargetIds.has(id) && !criteria.avoidedZones.has(availabilityZone)) ?? fakeTarget('t9')
          this.beforePick()
          this.reservedSlots++
          let isHeld = true
          return ok({
            target,
            release: () => {
              if (isHeld) this.reservedSlots--
              isHeld = false
            }
          })
        }
      }
    }
  }
}
