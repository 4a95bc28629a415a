import type { Clock, Invariants, GossipTopic } from '@lovagehoist/common'
import { SPREAD_CLASSES } from '../wire/messages.js'

/** Time over which the budget is averaged. */
const WINDOW_MS = 10_000
const SLICE_MS = 1_000
const MS_PER_SECOND = 1_000
/** Share of the budget that refills the bucket; the rest is the bucket itself, so that no window passes the budget. */
const REFILL_SHARE = 0.75
const BUCKET_SECONDS = 2
/** Part of a receiver's room that one sender may fill, since several send before it tells again. */
const RECEIVER_SHARE = 0.25
const PERCENT = 100

/** Share of the bucket that must stay free after an entry of a class was sent. */
const RESERVED_SHARES: Readonly<Record<GossipTopic, number>> = {
  config: 0, membership: 0.15, ejection: 0.05, leaving: 0.1, poison: 0.15, evidence: 0.3, load: 0.5
}

/** Bytes of the first class that a message may carry even when the bucket is empty. */
const ALWAYS_ALLOWED_BYTES: Readonly<Partial<Record<GossipTopic, number>>> = { config: 1_024 }

/** What the budget needs. */
export interface ByteBudgetOptions {
  readonly bytesPerSecond: number
  readonly clock: Clock
  readonly invariants: Invariants
}

/** Counts the bytes of control in both directions and says what still fits. */
export class ByteBudget {
  private tokens: number
  private refilledAtMs: number
  private readonly slices = new Map<number, number>()

  private constructor (private readonly options: ByteBudgetOptions) {
    this.tokens = this.capacityBytes
    this.refilledAtMs = options.clock.monotonicMs()
  }

  /**
   * Creates a full budget.
   *
   * @param options - Bytes a second in both directions, time, and where a breach is reported.
   * @returns The budget.
   */
  static create (options: ByteBudgetOptions): ByteBudget {
    return new ByteBudget(options)
  }

  /** Free share of the bucket in percent, 0 to 100. */
  roomPercent (): number {
    this.refill()
    return Math.max(0, Math.floor(PERCENT * this.tokens / this.capacityBytes))
  }

  /**
   * Says how many bytes of a class may be sent now.
   *
   * @param topic - Class.
   * @param peerRoomPercent - Free share that the receiver told last.
   * @returns Bytes, 0 or more.
   */
  allowance (topic: GossipTopic, peerRoomPercent: number): number {
    this.refill()
    const reserved = RESERVED_SHARES[topic] * this.capacityBytes
    const here = this.tokens - reserved
    const there = (this.capacityBytes * peerRoomPercent / PERCENT - reserved) * RECEIVER_SHARE
    return Math.max(ALWAYS_ALLOWED_BYTES[topic] ?? 0, Math.floor(Math.min(here, there)))
  }

  /**
   * Says whether a call fits into the window, which is wider than the bucket.
   *
   * @param bytes - Bytes of the call and its answer.
   * @param windowShare - Share of the window's bytes that the call may reach, 0 to 1.
   * @returns Whether the call may be made.
   */
  fits (bytes: number, windowShare: number): boolean {
    const slice = Math.floor(this.options.clock.monotonicMs() / SLICE_MS)
    return this.windowBytes(slice) + bytes <= this.limitBytes * windowShare
  }

  /** Counts bytes that were sent or received. */
  spend (bytes: number): void {
    this.refill()
    this.tokens = Math.max(-this.capacityBytes, this.tokens - bytes)
    const slice = Math.floor(this.options.clock.monotonicMs() / SLICE_MS)
    this.slices.set(slice, (this.slices.get(slice) ?? 0) + bytes)
    const { limitBytes } = this
    const spentBytes = this.windowBytes(slice)
    this.options.invariants.check('byte-budget', spentBytes <= limitBytes, { spentBytes, limitBytes })
  }

  /** Bytes a second over the last ten seconds. */
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
    const gained = (nowMs - this.refilledAtMs) * this.options.bytesPerSecond * REFILL_SHARE / MS_PER_SECOND
    this.refilledAtMs = nowMs
    this.tokens = Math.min(this.capacityBytes, this.tokens + gained)
  }

  private windowBytes (slice: number): number {
    const oldest = slice - WINDOW_MS / SLICE_MS + 1
    let sum = 0
    for (const [at, bytes] of this.slices) {
      if (at < oldest) this.slices.delete(at)
      else sum += bytes
    }
    return sum
  }
}

/** Classes from the one that is dropped first. */
export const DROP_ORDER: readonly GossipTopic[] = [...SPREAD_CLASSES].reverse()
