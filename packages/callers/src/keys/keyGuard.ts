import type { Clock, Invariants, ObjectStore } from '@lovagehoist/common'
import type { Passage } from '../accept/passage.js'
import type { ReadyAnswer } from '../exchange/heldAnswer.js'
import { problemReply, verdictOf } from '../exchange/reply.js'
import type { Reply } from '../exchange/reply.js'
import type { ClaimResult, RequestMetrics } from '../metrics/requestMetrics.js'
import type { Claim, KeyClaims } from './keyClaims.js'
import { requestDigestOf, rowKeyOf } from './keyRow.js'
import type { KeyRow, RecordedAnswer } from './keyRow.js'

/** Sends a request, but not after a monotonic time. */
export type GuardedSend = (latestSendAtMs?: number) => Promise<Reply>

/** What the guard needs. */
export interface KeyGuardOptions {
  readonly claims: KeyClaims
  readonly objects: ObjectStore
  readonly clock: Clock
  readonly metrics: RequestMetrics
  readonly invariants: Invariants
}

/** Longest body that is recorded in the table's row. */
const MOST_ROW_BODY_BYTES = 2_048
const RETRY_AFTER_MS = 1_000
const REPLAYED: readonly string[] = ['idempotent-replayed', 'true']

/** Runs keyed requests at most once across the fleet. */
export class KeyGuard {
  private readonly settling = new Set<Promise<void>>()

  private constructor (private readonly options: KeyGuardOptions) {}

  /**
   * Creates a guard.
   *
   * @param options - Claims, object store and counters.
   * @returns The guard.
   */
  static create (options: KeyGuardOptions): KeyGuard {
    return new KeyGuard(options)
  }

  /**
   * Runs a request; one with a key only when no other request holds the key.
   *
   * @param passage - Request.
   * @param send - Sends it.
   * @returns Its reply, or that of the first request with the key.
   */
  async run (passage: Passage, send: GuardedSend): Promise<Reply> {
    if (passage.key === undefined) return await send()
    const { route } = passage
    const need = { key: rowKeyOf(passage), requestDigest: requestDigestOf(passage), lifetimeMs: route.keyLifetimeMs, exchangeMs: route.timeoutMs }
    const outcome = await this.options.claims.claim(need)
    if (outcome.type === 'taken') return await this.replyOfOther(outcome.row, need.requestDigest)
    if (outcome.type === 'store-out') return await this.replyInOutage(passage, send)
    this.options.metrics.claim('claimed')
    return await this.sendClaimed(outcome.claim, send)
  }

  /** Resolves when every claim has been settled or given up. */
  async settled (): Promise<void> {
    await Promise.all(this.settling)
  }

  private async sendClaimed (claim: Claim, send: GuardedSend): Promise<Reply> {
    const reply = await send(claim.latestSendAtMs)
    const work = this.settle(claim, reply).catch(() => {})
    this.settling.add(work)
    work.finally(() => { this.settling.delete(work) }).catch(() => {})
    return reply
  }

  private async settle (claim: Claim, reply: Reply): Promise<void> {
    const { claims } = this.options
    if (reply.type === 'answer' && reply.answer.rest === undefined) await claims.record(claim, await this.recordedOf(claim, reply.answer))
    else if (verdictOf(reply) === 'not-run') await claims.release(claim)
    else await claims.recordUnknown(claim)
  }

  private async recordedOf (claim: Claim, { status, headers, held }: ReadyAnswer): Promise<RecordedAnswer> {
    if (held.length <= MOST_ROW_BODY_BYTES) return { status, headers, body: held.toString('base64') }
    const objectKey = `request-keys/${claim.key}/${claim.row.claimId}`
    await this.options.objects.put(objectKey, held)
    return { status, headers, objectKey }
  }

  private async replyInOutage ({ route }: Passage, send: GuardedSend): Promise<Reply> {
    this.options.metrics.claim('store-out')
    if (route.keyOutage === 'send-once') return await send()
    return problemReply({ kind: 'key-store-out', verdict: 'not-run', detail: 'the key can not be claimed now', retryAfterMs: RETRY_AFTER_MS })
  }

  private async replyOfOther (row: KeyRow, requestDigest: string): Promise<Reply> {
    const result = this.resultOf(row, requestDigest)
    this.options.metrics.claim(result)
    return await this.replies[result](row)
  }

  private resultOf (row: KeyRow, requestDigest: string): Exclude<ClaimResult, 'claimed' | 'store-out'> {
    if (row.requestDigest !== requestDigest) return 'conflict'
    if (row.state === 'answered') return 'replayed'
    return row.state === 'claimed' && this.options.clock.wallMs() < row.settledByMs ? 'in-progress' : 'unknown'
  }

  private readonly replies: Readonly<Record<Exclude<ClaimResult, 'claimed' | 'store-out'>, (row: KeyRow) => Promise<Reply>>> = {
    conflict: async () => problemReply({ kind: 'key-conflict', verdict: 'not-run', detail: 'the key was used for another request' }),
    'in-progress': async () => problemReply({ kind: 'key-in-progress', verdict: 'may-have-run', detail: 'the first request with this key is in progress', retryAfterMs: RETRY_AFTER_MS }),
    unknown: async () => problemReply({ kind: 'key-unknown', verdict: 'may-have-run', detail: 'it is unknown whether the first request with this key ran' }),
    replayed: async row => await this.replay(row)
  }

  private async replay ({ answer }: KeyRow): Promise<Reply> {
    const body = await this.bodyOf(answer)
    if (answer === undefined || body === undefined) {
      return problemReply({ kind: 'key-unknown', verdict: 'ran', detail: 'the request with this key ran; its answer can not be read now', retryAfterMs: RETRY_AFTER_MS })
    }
    const { status, headers } = answer
    return { type: 'answer', answer: { status, headers: [...headers, ...REPLAYED], held: body, rest: undefined, trailers: () => [] } }
  }

  private async bodyOf (answer: RecordedAnswer | undefined): Promise<Buffer | undefined> {
    if (answer?.body !== undefined) return Buffer.from(answer.body, 'base64')
    if (answer?.objectKey === undefined) return undefined
    const read = await this.options.objects.get(answer.objectKey)
    return read.isOk() && read.value !== undefined ? Buffer.from(read.value) : undefined
  }
}
