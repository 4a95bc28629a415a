import type { Clock, Invariants, GossipTopic } from '@lovagehoist/common'
import { GOSSIP_TOPICS } from '../wire/messages.js'

/** Sliding window over which the budget is averaged. */
const WINDOW_MS = 10_000
const SLICE_MS = 1_000
const MS_PER_SECOND = 1_000
/**
 * Share of the budget that refills the token bucket. A window can spend a full bucket on top of its refill, so the rest
 * covers the bucket's capacity and no window exceeds the budget.
 */
const REFILL_SHARE = 0.75
const BUCKET_SECONDS = 2
/** Share of a receiver's free budget that one sender may use, since several may send before it reports a new value. */
const RECEIVER_BUDGET_SHARE = 0.25
const PERCENT = 100

/** Share of the bucket that must stay free after an entry of the topic was sent. */
const RESERVED_SHARES: Readonly<Record<GossipTopic, number>> = {
  config: 0, membership: 0.15, ejection: 0.05, leaving: 0.1, poison: 0.15, evidence: 0.3, load: 0.5
}

/** Bytes of a topic that a message may carry even if the bucket is empty. */
const ALWAYS_ALLOWED_BYTES: Readonly<Partial<Record<GossipTopic, number>>> = { config: 1_024 }

/** Options of a byte budget. */
export interface ByteBudgetOptions {
  readonly bytesPerSecond: number
  readonly clock: Clock
  readonly invariants: Invariants
}

/** Limits the traffic between daemons: a token bucket for entries and a sliding window for calls, over both directions. */
export class ByteBudget {
  private availableBytes: number
  private refilledAtMs: number
  private readonly bytesBySlice = new Map<number, number>()

  private constructor (private readonly options: ByteBudgetOptions) {
    this.availableBytes = this.capacityBytes
    this.refilledAtMs = options.clock.monotonicMs()
  }

  /**
   * Creates a budget with a full bucket.
   *
   * @param options - Bytes per second over both directions, clock and invariant checker.
   * @returns The budget.
   */
  static create (options: ByteBudgetOptions): ByteBudget {
    return new ByteBudget(options)
  }

  /** Free share of the bucket in percent, 0 to 100. */
  freeBudgetPercent (): number {
    this.refill()
    return Math.max(0, Math.floor(PERCENT * this.availableBytes / this.capacityBytes))
  }

  /**
   * Computes how many bytes of a topic one message may carry now.
   *
   * @param topic - Topic of the entries.
   * @param receiverFreePercent - Free share of the receiver's budget in percent, as last reported.
   * @returns Number of bytes, at least 0.
   */
  allowance (topic: GossipTopic, receiverFreePercent: number): number {
    this.refill()
    const reservedBytes = RESERVED_SHARES[topic] * this.capacityBytes
    const localBytes = this.availableBytes - reservedBytes
    const receiverBytes = (this.capacityBytes * receiverFreePercent / PERCENT - reservedBytes) * RECEIVER_BUDGET_SHARE
    return Math.max(ALWAYS_ALLOWED_BYTES[topic] ?? 0, Math.floor(Math.min(localBytes, receiverBytes)))
  }

  /**
   * Checks whether a call fits into the sliding window, which allows more than the bucket.
   *
   * @param bytes - Bytes of the call and its answer.
   * @param windowShare - Share of the window that may be used after the call, 0 to 1.
   * @returns Whether the call may be made.
   */
  fits (bytes: number, windowShare: number): boolean {
    const slice = Math.floor(this.options.clock.monotonicMs() / SLICE_MS)
    return this.windowBytes(slice) + bytes <= this.limitBytes * windowShare
  }

  /** Records bytes that were sent or received. */
  spend (bytes: number): void {
    this.refill()
    this.availableBytes = Math.max(-this.capacityBytes, this.availableBytes - bytes)
    const slice = Math.floor(this.options.clock.monotonicMs() / SLICE_MS)
    this.bytesBySlice.set(slice, (this.bytesBySlice.get(slice) ?? 0) + bytes)
    const { limitBytes } = this
    const spentBytes = this.windowBytes(slice)
    this.options.invariants.check('byte-budget', spentBytes <= limitBytes, { spentBytes, limitBytes })
  }

  /** Average bytes per second over the last ten seconds. */
  bytesPerSecond (): number {
    return this.windowBytes(Math.floor(this.options.clock.monotonicMs() / SLICE_MS)) * MS_PER_SECOND / WINDOW_MS
  }

  private get limitBytes (): number {
    return this.options.bytesPerSecond * WINDOW_MS / MS_PER_SECOND
  }

  private get capacityBytes (): number {
    return this.options.bytesPerSecond * BUCKET_SECONDS
  }

  private refill (): void {
    const nowMs = this.options.clock.monotonicMs()
    const addedBytes = (nowMs - this.refilledAtMs) * this.options.bytesPerSecond * REFILL_SHARE / MS_PER_SECOND
    this.refilledAtMs = nowMs
    this.availableBytes = Math.min(this.capacityBytes, this.availableBytes + addedBytes)
  }

  private windowBytes (slice: number): number {
    const oldest = slice - WINDOW_MS / SLICE_MS + 1
    let sum = 0
    for (const [index, bytes] of this.bytesBySlice) {
      if (index < oldest) this.bytesBySlice.delete(index)
      else sum += bytes
    }
    return sum
  }
}

/** Topics in the order in which they are dropped. */
export const DROP_ORDER: readonly GossipTopic[] = [...GOSSIP_TOPICS].reverse()
