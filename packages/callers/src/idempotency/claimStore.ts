import { withTimeout } from '@lovagehoist/common'
import type { Clock, JsonValue, Random, TableRow } from '@lovagehoist/common'
import { parseClaimRow } from './claimRow.js'
import type { ClaimRow, RecordedResponse } from './claimRow.js'
import type { ClaimWrite, ClaimWriteResult, ClaimWriter } from './claimWriter.js'

/** A claim of an idempotency key that this daemon holds. */
export interface Claim {
  readonly key: string
  readonly version: number
  readonly row: ClaimRow
  /** Monotonic time after which the request must not be sent. */
  readonly latestSendAtMs: number
}

/** Key to be claimed, with the request that it is claimed for. */
export interface ClaimRequest {
  readonly key: string
  readonly requestDigest: string
  readonly lifetimeMs: number
  /** Upper limit for the duration of the exchange with the target. */
  readonly exchangeMs: number
}

/** Result of claiming a key: claimed for this request, claimed by another request, or the store is unavailable. */
export type ClaimOutcome =
  | { readonly type: 'claimed', readonly claim: Claim }
  | { readonly type: 'taken', readonly row: ClaimRow }
  | { readonly type: 'store-out' }

/** Dependencies of a claim store. */
export interface ClaimStoreOptions {
  readonly writer: ClaimWriter
  readonly clock: Clock
  readonly random: Random
}

/** Time from the start of claiming within which the request may be sent. */
const SEND_WITHIN_MS = 10_000
/** Shortest lifetime of a key; several times the send limit, to tolerate clock differences between daemons. */
const MIN_LIFETIME_MS = 60_000
/** Time limit for claiming a key. */
const CLAIM_TIMEOUT_MS = 2_000
const MAX_SETTLE_ATTEMPTS = 6
const SETTLE_BACKOFF_MS = 250

/** Claims idempotency keys in the shared table before requests are sent, and settles the claims afterwards. */
export class ClaimStore {
  private constructor (private readonly options: ClaimStoreOptions) {}

  /**
   * Creates a claim store.
   *
   * @param options - Writer, clock and randomness.
   * @returns The claim store.
   */
  static create (options: ClaimStoreOptions): ClaimStore {
    return new ClaimStore(options)
  }

  /**
   * Claims a key.
   *
   * @param request - Key and request digest.
   * @returns The claim, the claim of another request, or that the store is unavailable.
   */
  async claim (request: ClaimRequest): Promise<ClaimOutcome> {
    const { clock } = this.options
    const latestSendAtMs = clock.monotonicMs() + SEND_WITHIN_MS
    const work = this.claimRow(request, latestSendAtMs)
    const timed = await withTimeout(clock, CLAIM_TIMEOUT_MS, work)
    if (timed.type === 'done') return timed.value
    this.releaseLate(work).catch(() => {})
    return { type: 'store-out' }
  }

  /**
   * Records the response to a request, for replay.
   *
   * @param claim - Claim of this daemon.
   * @param response - Response to replay.
   */
  async record (claim: Claim, response: RecordedResponse): Promise<void> {
    await this.settle(claim, { state: 'answered', answer: response })
  }

  /**
   * Records that it is unknown whether the request was executed.
   *
   * @param claim - Claim of this daemon.
   */
  async recordUnknown (claim: Claim): Promise<void> {
    await this.settle(claim, { state: 'unknown' })
  }

  /**
   * Releases a claim whose request was provably not executed.
   *
   * @param claim - Claim of this daemon.
   */
  async release (claim: Claim): Promise<void> {
    await this.settle(claim, { state: 'released' })
  }

  private async claimRow (request: ClaimRequest, latestSendAtMs: number): Promise<ClaimOutcome> {
    const row = this.newClaimRow(request)
    const first = await this.write(request.key, 0, row)
    const reclaimable = first.type === 'conflict' ? this.reclaimableRow(first.current) : undefined
    const version = reclaimable?.version ?? 0
    const written = reclaimable === undefined ? first : await this.write(request.key, version, row)
    if (written.type === 'out' && written.mayApply) this.releaseUnconfirmed(request.key, version, row).catch(() => {})
    return outcomeOf(request.key, row, latestSendAtMs, written)
  }

  private async releaseLate (work: Promise<ClaimOutcome>): Promise<void> {
    const outcome = await work
    if (outcome.type === 'claimed') await this.release(outcome.claim)
  }

  /** Releases a claim whose write has an unknown outcome: repeats the write until the outcome is known, then releases the claim if it was applied. */
  private async releaseUnconfirmed (key: string, version: number, row: ClaimRow): Promise<void> {
    const written = await this.writeUntilConfirmed({ key, version, writeId: row.writeId, value: row as unknown as JsonValue })
    if (written?.type === 'applied') await this.release({ key, version: written.version, row, latestSendAtMs: -Infinity })
  }

  /** Retries a write, a limited number of times, until its outcome is known; the version condition makes it idempotent. */
  private async writeUntilConfirmed (write: ClaimWrite): Promise<ClaimWriteResult | undefined> {
    const { clock, random, writer } = this.options
    for (let attempt = 0; attempt < MAX_SETTLE_ATTEMPTS; attempt++) {
      const written = await writer.write(write)
      if (written.type !== 'out') return written
      await clock.sleepMs(SETTLE_BACKOFF_MS * 2 ** attempt * (1 + random.next()))
    }
    return undefined
  }

  private newClaimRow ({ requestDigest, lifetimeMs, exchangeMs }: ClaimRequest): ClaimRow {
    const { clock, random } = this.options
    const wallMs = clock.wallMs()
    const claimId = random.id()
    return {
      state: 'claimed',
      claimId,
      writeId: claimId,
      requestDigest,
      settledByMs: wallMs + SEND_WITHIN_MS + exchangeMs,
      expiresAtMs: wallMs + Math.max(lifetimeMs, MIN_LIFETIME_MS)
    }
  }

  private reclaimableRow (row: TableRow | undefined): TableRow | undefined {
    const parsed = parseClaimRow(row?.value)
    const isReclaimable = parsed !== undefined && (parsed.state === 'released' || parsed.expiresAtMs < this.options.clock.wallMs())
    return isReclaimable ? row : undefined
  }

  private async settle (claim: Claim, change: Partial<ClaimRow>): Promise<void> {
    const writeId = this.options.random.id()
    const value = { ...claim.row, ...change, writeId } as unknown as JsonValue
    await this.writeUntilConfirmed({ key: claim.key, version: claim.version, writeId, value })
  }

  private async write (key: string, version: number, row: ClaimRow): Promise<ClaimWriteResult> {
    const write: ClaimWrite = { key, version, writeId: row.writeId, value: row as unknown as JsonValue }
    return await this.options.writer.write(write)
  }
}

const claimedByOther = (row: TableRow | undefined): ClaimOutcome => {
  const parsed = parseClaimRow(row?.value)
  return parsed === undefined ? { type: 'store-out' } : { type: 'taken', row: parsed }
}

const outcomeOf = (key: string, row: ClaimRow, latestSendAtMs: number, written: ClaimWriteResult): ClaimOutcome => {
  if (written.type === 'applied') return { type: 'claimed', claim: { key, version: written.version, row, latestSendAtMs } }
  return written.type === 'conflict' ? claimedByOther(written.current) : { type: 'store-out' }
}
