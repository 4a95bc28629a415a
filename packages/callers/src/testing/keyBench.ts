import { Registry } from 'prom-client'
import { Invariants, SeededRandom, createLog, sha256Hex } from '@lovagehoist/common'
import type { RouteConfig } from '@lovagehoist/common'
import { FakePlatform, ManualClock } from '@lovagehoist/common/testing'
import type { FakePlatformFaults } from '@lovagehoist/common/testing'
import type { Passage } from '../accept/passage.js'
import { problemReply } from '../exchange/reply.js'
import type { Reply } from '../exchange/reply.js'
import { KeyClaims } from '../keys/keyClaims.js'
import { KeyGuard } from '../keys/keyGuard.js'
import { KeyWriter } from '../keys/keyWriter.js'
import { createRequestMetrics } from '../metrics/requestMetrics.js'

/** One daemon's guard with the faults of its platform client. */
export interface KeyDaemon {
  readonly guard: KeyGuard
  readonly faults: FakePlatformFaults
}

/** Route with a key header. */
export const keyedRoute = (change: Partial<RouteConfig> = {}): RouteConfig =>
  ({ id: 'pay', keyLifetimeMs: 86_400_000, keyOutage: 'refuse', timeoutMs: 10_000, ...change }) as RouteConfig

/** Makes a keyed request as far as the guard reads it. */
export const keyedPassage = (key: string, body = 'body', route = keyedRoute()): Passage =>
  ({ key, route, account: { id: 'acc' }, method: 'POST', path: '/pay', bodyDigest: sha256Hex(body) }) as Passage

/** Makes a whole answer. */
export const wholeAnswer = (text: string): Reply =>
  ({ type: 'answer', answer: { status: 200, headers: ['content-length', String(text.length)], held: Buffer.from(text), rest: undefined, trailers: () => [] } })

/** Reply of a send that was stopped by the fence. */
export const fencedReply = problemReply({ kind: 'deadline', verdict: 'not-run', detail: 'too late to send' })

/** Short text of a reply. */
export const textOf = (reply: Reply): string =>
  reply.type === 'answer' ? `answer ${reply.answer.held.toString()}` : `${reply.problem.kind} ${reply.problem.verdict}`

/** Several daemons' guards before one platform, on a manual clock. */
export class KeyBench {
  readonly clock = ManualClock.create()
  readonly platform = FakePlatform.create(this.clock)
  readonly daemons: readonly KeyDaemon[]

  private constructor (count: number) {
    this.daemons = Array.from({ length: count }, (_, index) => this.createDaemon(index, count))
  }

  /** Creates a bench. */
  static create (daemons: number): KeyBench {
    return new KeyBench(daemons)
  }

  /** Runs work while time passes. */
  async settle<T> (work: Promise<T>, limitMs = 60_000): Promise<T> {
    let isDone = false
    const noted = work.finally(() => { isDone = true })
    noted.catch(() => {})
    for (let passedMs = 0; passedMs < limitMs; passedMs += 50) {
      await this.clock.advanceMs(0)
      if (isDone) break
      await this.clock.advanceMs(50)
    }
    return await noted
  }

  private createDaemon (index: number, count: number): KeyDaemon {
    const { clock } = this
    const { platform, faults } = this.platform.connect()
    const random = SeededRandom.create(index + 1)
    const registry = new Registry()
    const log = createLog({ level: 'error', format: 'json', clock, write: () => {} })
    const invariants = Invariants.create({ clock, log, registry })
    const writer = KeyWriter.create({ table: platform.table, clock, random, fleetSize: () => count })
    const claims = KeyClaims.create({ writer, clock, random })
    return { guard: KeyGuard.create({ claims, objects: platform.objects, clock, metrics: createRequestMetrics(registry), invariants }), faults }
  }
}
