import { Registry } from 'prom-client'
import { Invariants, SeededRandom, createLog, sha256Hex } from '@lovagehoist/common'
import type { RouteConfig } from '@lovagehoist/common'
import { FakePlatform, ManualClock } from '@lovagehoist/common/testing'
import type { FakePlatformFaults } from '@lovagehoist/common/testing'
import type { AcceptedRequest } from '../accept/acceptedRequest.js'
import { problemReply } from '../exchange/reply.js'
import type { Reply } from '../exchange/reply.js'
import { ClaimStore } from '../idempotency/claimStore.js'
import { IdempotencyGuard } from '../idempotency/idempotencyGuard.js'
import { ClaimWriter } from '../idempotency/claimWriter.js'
import { createRequestMetrics } from '../metrics/requestMetrics.js'

/** Idempotency guard of one daemon, with the injected faults of its platform client. */
export interface DaemonFixture {
  readonly guard: IdempotencyGuard
  readonly faults: FakePlatformFaults
}

/** Creates a route for requests with an idempotency key. */
export const keyedRoute = (change: Partial<RouteConfig> = {}): RouteConfig =>
  ({ id: 'pay', keyLifetimeMs: 86_400_000, keyOutage: 'refuse', timeoutMs: 10_000, ...change }) as RouteConfig

/** Creates a request with an idempotency key, with only the fields that the guard reads. */
export const keyedRequest = (key: string, body = 'body', route = keyedRoute()): AcceptedRequest =>
  ({ idempotencyKey: key, route, account: { id: 'acc' }, method: 'POST', path: '/pay', bodyDigest: sha256Hex(body) }) as AcceptedRequest

/** Creates a reply with a completely buffered response. */
export const bufferedReply = (text: string): Reply =>
  ({ type: 'answer', response: { status: 200, headers: ['content-length', String(text.length)], buffered: Buffer.from(text), rest: undefined, trailers: () => [] } })

/** Reply to a request that was not sent because the claim's send limit had passed. */
export const notSentReply = problemReply({ kind: 'deadline', verdict: 'not-run', detail: 'too late to send' })

/** Summarises a reply as text. */
export const replyText = (reply: Reply): string =>
  reply.type === 'answer' ? `answer ${reply.response.buffered.toString()}` : `${reply.problem.kind} ${reply.problem.verdict}`

/** Test harness: the idempotency guards of several daemons on one fake platform, with a manual clock. */
export class IdempotencyHarness {
  readonly clock = ManualClock.create()
  readonly platform = FakePlatform.create(this.clock)
  readonly daemons: readonly DaemonFixture[]

  private constructor (count: number) {
    this.daemons = Array.from({ length: count }, (_, index) => this.createDaemon(index, count))
  }

  /** Creates a harness with a number of daemons. */
  static create (daemons: number): IdempotencyHarness {
    return new IdempotencyHarness(daemons)
  }

  /** Advances the clock until work is settled, up to a limit. */
  async advanceUntilSettled<T> (work: Promise<T>, limitMs = 60_000): Promise<T> {
    let isDone = false
    const tracked = work.finally(() => { isDone = true })
    tracked.catch(() => {})
    for (let passedMs = 0; passedMs < limitMs; passedMs += 50) {
      await this.clock.advanceMs(0)
      if (isDone) break
      await this.clock.advanceMs(50)
    }
    return await tracked
  }

  private createDaemon (index: number, count: number): DaemonFixture {
    const { clock } = this
    const { platform, faults } = this.platform.connect()
    const random = SeededRandom.create(index + 1)
    const registry = new Registry()
    const log = createLog({ level: 'error', format: 'json', clock, write: () => {} })
    const invariants = Invariants.create({ clock, log, registry })
    const writer = ClaimWriter.create({ table: platform.table, clock, random, fleetSize: () => count })
    const claims = ClaimStore.create({ writer, clock, random })
    return { guard: IdempotencyGuard.create({ claims, objects: platform.objects, clock, metrics: createRequestMetrics(registry), invariants }), faults }
  }
}
