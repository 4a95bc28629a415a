import type { Clock, Invariants, ObjectStore } from '@lovagehoist/common'
import type { AcceptedRequest } from '../accept/acceptedRequest.js'
import type { BufferedResponse } from '../exchange/bufferResponse.js'
import { problemReply, verdictOf } from '../exchange/reply.js'
import type { Reply } from '../exchange/reply.js'
import type { ClaimResult, RequestMetrics } from '../metrics/requestMetrics.js'
import type { Claim, ClaimStore } from './claimStore.js'
import { requestDigestOf, rowKeyOf } from './claimRow.js'
import type { ClaimRow, RecordedResponse } from './claimRow.js'

/** Sends a request, unless the given monotonic time has passed. */
export type SendRequest = (latestSendAtMs?: number) => Promise<Reply>

/** Dependencies of an idempotency guard. */
export interface IdempotencyGuardOptions {
  readonly claims: ClaimStore
  readonly objects: ObjectStore
  readonly clock: Clock
  readonly metrics: RequestMetrics
  readonly invariants: Invariants
}

/** Largest response body that is recorded in the table; larger ones go to the object store. */
const MAX_ROW_BODY_BYTES = 2_048
const RETRY_AFTER_MS = 1_000
const REPLAYED_HEADER: readonly string[] = ['idempotent-replayed', 'true']

/** Executes requests with an idempotency key at most once across the fleet and replays their recorded responses. */
export class IdempotencyGuard {
  private readonly settlements = new Set<Promise<void>>()

  private constructor (private readonly options: IdempotencyGuardOptions) {}

  /**
   * Creates a guard.
   *
   * @param options - Claim store, object store, clock and metrics.
   * @returns The guard.
   */
  static create (options: IdempotencyGuardOptions): IdempotencyGuard {
    return new IdempotencyGuard(options)
  }

  /**
   * Runs a request; one with an idempotency key only if no other request has claimed the key.
   *
   * @param accepted - Accepted request.
   * @param send - Sends the request.
   * @returns The reply to the request, or the reply that follows from the earlier request with the same key.
   */
  async run (accepted: AcceptedRequest, send: SendRequest): Promise<Reply> {
    if (accepted.idempotencyKey === undefined) return await send()
    const { route } = accepted
    const claimRequest = { key: rowKeyOf(accepted), requestDigest: requestDigestOf(accepted), lifetimeMs: route.keyLifetimeMs, exchangeMs: route.timeoutMs }
    const outcome = await this.options.claims.claim(claimRequest)
    if (outcome.type === 'taken') return await this.replyForExistingClaim(outcome.row, claimRequest.requestDigest)
    if (outcome.type === 'store-out') return await this.replyInOutage(accepted, send)
    this.options.metrics.countClaim('claimed')
    return await this.sendClaimed(outcome.claim, send)
  }

  /** Resolves when every claim has been settled, or its settlement has failed. */
  async settled (): Promise<void> {
    await Promise.all(this.settlements)
  }

  private async sendClaimed (claim: Claim, send: SendRequest): Promise<Reply> {
    const reply = await send(claim.latestSendAtMs)
    const work = this.settle(claim, reply).catch(() => {})
    this.settlements.add(work)
    work.finally(() => { this.settlements.delete(work) }).catch(() => {})
    return reply
  }

  private async settle (claim: Claim, reply: Reply): Promise<void> {
    const { claims } = this.options
    if (reply.type === 'answer' && reply.response.rest === undefined) await claims.record(claim, await this.recordedResponseOf(claim, reply.response))
    else if (verdictOf(reply) === 'not-run') await claims.release(claim)
    else await claims.recordUnknown(claim)
  }

  private async recordedResponseOf (claim: Claim, { status, headers, buffered }: BufferedResponse): Promise<RecordedResponse> {
    if (buffered.length <= MAX_ROW_BODY_BYTES) return { status, headers, body: buffered.toString('base64') }
    const objectKey = `request-keys/${claim.key}/${claim.row.claimId}`
    await this.options.objects.put(objectKey, buffered)
    return { status, headers, objectKey }
  }

  private async replyInOutage ({ route }: AcceptedRequest, send: SendRequest): Promise<Reply> {
    this.options.metrics.countClaim('store-out')
    if (route.keyOutage === 'send-once') return await send()
    return problemReply({ kind: 'key-store-out', verdict: 'not-run', detail: 'the key can not be claimed now', retryAfterMs: RETRY_AFTER_MS })
  }

  private async replyForExistingClaim (row: ClaimRow, requestDigest: string): Promise<Reply> {
    const result = this.claimResultOf(row, requestDigest)
    this.options.metrics.countClaim(result)
    return await this.replyByResult[result](row)
  }

  private claimResultOf (row: ClaimRow, requestDigest: string): Exclude<ClaimResult, 'claimed' | 'store-out'> {
    if (row.requestDigest !== requestDigest) return 'conflict'
    if (row.state === 'answered') return 'replayed'
    return row.state === 'claimed' && this.options.clock.wallMs() < row.settledByMs ? 'in-progress' : 'unknown'
  }

  private readonly replyByResult: Readonly<Record<Exclude<ClaimResult, 'claimed' | 'store-out'>, (row: ClaimRow) => Promise<Reply>>> = {
    conflict: async () => problemReply({ kind: 'key-conflict', verdict: 'not-run', detail: 'the key was used for another request' }),
    'in-progress': async () => problemReply({ kind: 'key-in-progress', verdict: 'may-have-run', detail: 'the first request with this key is in progress', retryAfterMs: RETRY_AFTER_MS }),
    unknown: async () => problemReply({ kind: 'key-unknown', verdict: 'may-have-run', detail: 'it is unknown whether the first request with this key ran' }),
    replayed: async row => await this.replay(row)
  }

  private async replay ({ answer }: ClaimRow): Promise<Reply> {
    const body = await this.bodyOf(answer)
    if (answer === undefined || body === undefined) {
      return problemReply({ kind: 'key-unknown', verdict: 'ran', detail: 'the request with this key ran; its answer can not be read now', retryAfterMs: RETRY_AFTER_MS })
    }
    const { status, headers } = answer
    return { type: 'answer', response: { status, headers: [...headers, ...REPLAYED_HEADER], buffered: body, rest: undefined, trailers: () => [] } }
  }

  private async bodyOf (response: RecordedResponse | undefined): Promise<Buffer | undefined> {
    if (response?.body !== undefined) return Buffer.from(response.body, 'base64')
    if (response?.objectKey === undefined) return undefined
    const read = await this.options.objects.get(response.objectKey)
    return read.isOk() && read.value !== undefined ? Buffer.from(read.value) : undefined
  }
}
