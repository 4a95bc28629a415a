import { withTimeout } from '@lovagehoist/common'
import type { Clock, JsonValue, Random, TableRow } from '@lovagehoist/common'
import { parseKeyRow } from './keyRow.js'
import type { KeyRow, RecordedAnswer } from './keyRow.js'
import type { KeyWrite, KeyWriteResult, KeyWriter } from './keyWriter.js'

/** A claim that this daemon holds. */
export interface Claim {
  readonly key: string
  readonly version: number
  readonly row: KeyRow
  /** Monotonic time after which the request must not be sent. */
  readonly latestSendAtMs: number
}

/** What is claimed. */
export interface ClaimNeed {
  readonly key: string
  readonly requestDigest: string
  readonly lifetimeMs: number
  /** Longest time of the exchange. */
  readonly exchangeMs: number
}

/** Result of claiming a key. */
export type ClaimOutcome =
  | { readonly type: 'claimed', readonly claim: Claim }
  | { readonly type: 'taken', readonly row: KeyRow }
  | { readonly type: 'store-out' }

/** What claims need. */
export interface KeyClaimsOptions {
  readonly writer: KeyWriter
  readonly clock: Clock
  readonly random: Random
}

/** Time from the start of claiming within which the request may be sent. */
const SEND_WITHIN_MS = 10_000
/** Shortest time for which a key is remembered; several times the time to send, so that clocks may differ. */
const LEAST_LIFETIME_MS = 60_000
/** Longest wait for a claim. */
const CLAIM_TIMEOUT_MS = 2_000
const MOST_SETTLE_TRIES = 6
const SETTLE_BACKOFF_MS = 250

/** Claims keys before requests are sent and settles the claims afterwards. */
export class KeyClaims {
  private constructor (private readonly options: KeyClaimsOptions) {}

  /**
   * Creates the claims of a daemon.
   *
   * @param options - Writer, time and randomness.
   * @returns The claims.
   */
  static create (options: KeyClaimsOptions): KeyClaims {
    return new KeyClaims(options)
  }

  /**
   * Claims a key.
   *
   * @param need - Key and request.
   * @returns The claim, the claim of another request, or that the table is out.
   */
  async claim (need: ClaimNeed): Promise<ClaimOutcome> {
    const { clock } = this.options
    const latestSendAtMs = clock.monotonicMs() + SEND_WITHIN_MS
    const work = this.claimRow(need, latestSendAtMs)
    const timed = await withTimeout(clock, CLAIM_TIMEOUT_MS, work)
    if (timed.type === 'done') return timed.value
    this.releaseLate(work).catch(() => {})
    return { type: 'store-out' }
  }

  /**
   * Records the first answer.
   *
   * @param claim - Claim of this daemon.
   * @param answer - Answer to replay.
   */
  async record (claim: Claim, answer: RecordedAnswer): Promise<void> {
    await this.settle(claim, { state: 'answered', answer })
  }

  /**
   * Records that it is unknown whether the request ran.
   *
   * @param claim - Claim of this daemon.
   */
  async recordUnknown (claim: Claim): Promise<void> {
    await this.settle(claim, { state: 'unknown' })
  }

  /**
   * Gives a claim back after the request was proven not run.
   *
   * @param claim - Claim of this daemon.
   */
  async release (claim: Claim): Promise<void> {
    await this.settle(claim, { state: 'released' })
  }

  private async claimRow (need: ClaimNeed, latestSendAtMs: number): Promise<ClaimOutcome> {
    const row = this.rowOf(need)
    const first = await this.write(need.key, 0, row)
    const free = first.type === 'conflict' ? this.freeRow(first.current) : undefined
    const version = free?.version ?? 0
    const written = free === undefined ? first : await this.write(need.key, version, row)
    if (written.type === 'out' && written.mayApply) this.takeBack(need.key, version, row).catch(() => {})
    return outcomeOf(need.key, row, latestSendAtMs, written)
  }

  private async releaseLate (work: Promise<ClaimOutcome>): Promise<void> {
    const outcome = await work
    if (outcome.type === 'claimed') await this.release(outcome.claim)
  }

  /** Releases a claim that was given up while it may have taken effect. */
  private async takeBack (key: string, version: number, row: KeyRow): Promise<void> {
    const written = await this.persist({ key, version, writeId: row.writeId, value: row as unknown as JsonValue })
    if (written?.type === 'applied') await this.release({ key, version: written.version, row, latestSendAtMs: -Infinity })
  }

  /** Repeats a write, which is harmless under the same condition, until the table settles it. */
  private async persist (write: KeyWrite): Promise<KeyWriteResult | undefined> {
    const { clock, random, writer } = this.options
    for (let attempt = 0; attempt < MOST_SETTLE_TRIES; attempt++) {
      const written = await writer.write(write)
      if (written.type !== 'out') return written
      await clock.sleepMs(SETTLE_BACKOFF_MS * 2 ** attempt * (1 + random.next()))
    }
    return undefined
  }

  private rowOf ({ requestDigest, lifetimeMs, exchangeMs }: ClaimNeed): KeyRow {
    const { clock, random } = this.options
    const wallMs = clock.wallMs()
    const claimId = random.id()
    return {
      state: 'claimed',
      claimId,
      writeId: claimId,
      requestDigest,
      settledByMs: wallMs + SEND_WITHIN_MS + exchangeMs,
      expiresAtMs: wallMs + Math.max(lifetimeMs, LEAST_LIFETIME_MS)
    }
  }

  private freeRow (row: TableRow | undefined): TableRow | undefined {
    const parsed = parseKeyRow(row?.value)
    const isFree = parsed !== undefined && (parsed.state === 'released' || parsed.expiresAtMs < this.options.clock.wallMs())
    return isFree ? row : undefined
  }

  private async settle (claim: Claim, change: Partial<KeyRow>): Promise<void> {
    const writeId = this.options.random.id()
    const value = { ...claim.row, ...change, writeId } as unknown as JsonValue
    await this.persist({ key: claim.key, version: claim.version, writeId, value })
  }

  private async write (key: string, version: number, row: KeyRow): Promise<KeyWriteResult> {
    const write: KeyWrite = { key, version, writeId: row.writeId, value: row as unknown as JsonValue }
    return await this.options.writer.write(write)
  }
}

const taken = (row: TableRow | undefined): ClaimOutcome => {
  const parsed = parseKeyRow(row?.value)
  return parsed === undefined ? { type: 'store-out' } : { type: 'taken', row: parsed }
}

const outcomeOf = (key: string, row: KeyRow, latestSendAtMs: number, written: KeyWriteResult): ClaimOutcome => {
  if (written.type === 'applied') return { type: 'claimed', claim: { key, version: written.version, row, latestSendAtMs } }
  return written.type === 'conflict' ? taken(written.current) : { type: 'store-out' }
}
