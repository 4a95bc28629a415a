import type { Invariants } from '@lovagehoist/common'
import { BufferHold } from './bufferHold.js'

/** Use of buffered bytes: request bodies, or responses of targets that callers have not read yet. */
export type BufferUse = 'body' | 'response'

/** Why a body got no room; `too-large` never fits, `no-room` did not fit now. */
export type BufferRefusal = 'too-large' | 'no-room'

/** Dependencies of a budget. */
export interface BufferBudgetOptions {
  readonly capacityBytes: number
  /** Reports corrupt counts. */
  readonly invariants: Pick<Invariants, 'check'>
}

/** A body that waits for room, with its socket unread. */
export interface BodyClaim {
  /** Bytes to reserve now. */
  readonly bytes: number
  /** Size of the whole body as far as known, which decides about order and refusal. */
  readonly bodyBytes: number
  /** Priority of the route; 0 is the highest. */
  readonly priority: number
  readonly settle: (refusal: BufferRefusal | undefined) => void
}

const BYTES_PER_MB = 1_048_576
/** Memory of the process without buffers, the program's shared pages included: 135 and 141 MB at most in `measure -- bodies --variant baseline` (seed 1). */
const PROCESS_MB = 150
/** Share of the remaining memory for buffers; the rest covers buffers that were released but not yet collected, and chunks that Node.js holds in between. */
const BUFFER_SHARE = 0.5
/** Allows the usual uploads (360 kB at most) on machines that are smaller than any planned one. */
const MIN_CAPACITY_BYTES = 8 * BYTES_PER_MB
/** Share of the capacity for responses, so that callers that don't read can't take the room of request bodies. */
const RESPONSE_SHARE = 0.5
/** Share of the responses' room that may be read ahead of callers; the rest is for responses that are buffered whole. */
const READ_AHEAD_SHARE = 0.5
/** Node.js reads up to this much from a target's socket at once. */
const READ_BYTES = 65_536
/** Share of the capacity above which a body is large. */
const LARGE_BODY_SHARE = 1 / 16
/** Share of the capacity that is left to bodies that are not large: a few large bodies that arrive slowly must not stop the usual uploads. */
const SMALL_BODY_RESERVE_SHARE = 0.25
/** Node.js holds up to one read of the socket (64 KiB) for each request that is not being read. */
const UNREAD_BYTES = 65_536
/** Share of the capacity that unread requests may hold beyond it. */
const UNREAD_SHARE = 0.25

/**
 * Derives the buffer capacity of a daemon from its memory limit.
 *
 * @param memoryMb - Memory that the process may use, in megabytes.
 * @returns Capacity in bytes.
 */
export const bufferCapacityOf = (memoryMb: number): number =>
  Math.max(MIN_CAPACITY_BYTES, Math.floor((memoryMb - PROCESS_MB) * BUFFER_SHARE) * BYTES_PER_MB)

const isBefore = (one: BodyClaim, other: BodyClaim): boolean =>
  one.priority !== other.priority ? one.priority < other.priority : one.bodyBytes < other.bodyBytes

/** Limits the bytes that a daemon holds in request bodies and responses; bodies wait for room in order of priority and size. */
export class BufferBudget {
  private readonly heldBytes: Record<BufferUse, number> = { body: 0, response: 0 }
  private readonly refusals: Record<BufferRefusal, number> = { 'too-large': 0, 'no-room': 0 }
  /** The most valuable and smallest first. */
  private waiting: BodyClaim[] = []
  /** Reads of responses that wait for room, the longest waiting first. */
  private readonly waitingReads = new Set<(bytes: number) => void>()
  private isGrantingReads = false
  private streamed = 0

  private constructor (private readonly options: BufferBudgetOptions) {}

  /**
   * Creates a budget of which nothing is held.
   *
   * @param options - Capacity and the checker for corrupt counts.
   * @returns The budget.
   */
  static create (options: BufferBudgetOptions): BufferBudget {
    return new BufferBudget(options)
  }

  get capacityBytes (): number {
    return this.options.capacityBytes
  }

  /** Number of bodies that wait for room, whose sockets are not read. */
  get waitingCount (): number {
    return this.waiting.length
  }

  /** Responses that were not buffered whole for lack of room. */
  get streamedCount (): number {
    return this.streamed
  }

  /** Bytes held for a use. */
  heldFor (use: BufferUse): number {
    return this.heldBytes[use]
  }

  /** Bodies refused for a reason. */
  refusedFor (reason: BufferRefusal): number {
    return this.refusals[reason]
  }

  /** Opens the hold of one request, through which it reserves and releases bytes. */
  open (): BufferHold {
    return BufferHold.create(this)
  }

  /** Reserves bytes for a response; false when they don't fit. */
  tryReserveResponse (bytes: number): boolean {
    const fits = this.heldBytes.response + bytes <= this.responseCapacityBytes && this.fits(bytes, this.sharedCapacityBytes)
    if (fits) this.add('response', bytes)
    else this.streamed++
    return fits
  }

  /** Whether more of a response may be read from its target before the caller has read what is held. */
  get hasReadAheadRoom (): boolean {
    return this.heldBytes.response < this.responseCapacityBytes * READ_AHEAD_SHARE && this.fits(0, this.sharedCapacityBytes)
  }

  /**
   * Reserves room for one read of a response from its target, now or as soon as there is room.
   * Responses that are buffered whole can't take all of it, and request bodies nothing.
   *
   * @param grant - Called at most once, with the bytes that were reserved.
   * @returns Withdraws the claim; without effect after the claim was granted.
   */
  claimRead (grant: (bytes: number) => void): () => void {
    // A claim of its own, since the same function may be passed again.
    const claim = (bytes: number): void => { grant(bytes) }
    this.waitingReads.add(claim)
    this.grantReads()
    return () => { this.waitingReads.delete(claim) }
  }

  /** Number of responses that are not read from their targets for lack of room. */
  get waitingReadCount (): number {
    return this.waitingReads.size
  }

  /** Counts bytes that have been received already, beyond the capacity if necessary. */
  add (use: BufferUse, bytes: number): void {
    this.heldBytes[use] += bytes
  }

  /**
   * Reserves bytes for a body, now or as soon as there is room.
   *
   * @param claim - Size and priority of the body; its `settle` is called exactly once unless the claim is withdrawn.
   * @returns Withdraws the claim; it then counts as refused. Without effect after the claim was settled.
   */
  claimBody (claim: BodyClaim): () => void {
    if (claim.bodyBytes > this.capacityFor(claim)) {
      this.refuse(claim, 'too-large')
      return () => {}
    }
    if (this.fits(claim.bytes, this.capacityFor(claim))) {
      this.grant(claim)
      return () => {}
    }
    this.enqueue(claim)
    return () => { if (this.removeWaiting(claim)) this.refusals['no-room']++ }
  }

  /** Releases bytes and grants the claims that fit now. */
  release (use: BufferUse, bytes: number): void {
    this.heldBytes[use] -= bytes
    const isValid = this.heldBytes[use] >= 0
    this.options.invariants.check('buffer-budget', isValid, { use, heldBytes: this.heldBytes[use], releasedBytes: bytes })
    // A corrupt count must neither block nor overload the daemon: it starts again at nothing held.
    if (!isValid) this.heldBytes[use] = 0
    this.grantWaiting()
    this.grantReads()
  }

  private get responseCapacityBytes (): number {
    return this.options.capacityBytes * RESPONSE_SHARE
  }

  private get maxWaiting (): number {
    return Math.max(1, Math.floor(this.options.capacityBytes * UNREAD_SHARE / UNREAD_BYTES))
  }

  /** Capacity for everything but bodies that are not large. */
  private get sharedCapacityBytes (): number {
    return this.options.capacityBytes * (1 - SMALL_BODY_RESERVE_SHARE)
  }

  private capacityFor ({ bodyBytes }: BodyClaim): number {
    return bodyBytes > this.options.capacityBytes * LARGE_BODY_SHARE ? this.sharedCapacityBytes : this.options.capacityBytes
  }

  private fits (bytes: number, capacityBytes: number): boolean {
    return this.heldBytes.body + this.heldBytes.response + bytes <= capacityBytes
  }

  private grant (claim: BodyClaim): void {
    this.add('body', claim.bytes)
    claim.settle(undefined)
  }

  private refuse (claim: BodyClaim, reason: BufferRefusal): void {
    this.refusals[reason]++
    claim.settle(reason)
  }

  private enqueue (claim: BodyClaim): void {
    const index = this.waiting.findIndex(other => isBefore(claim, other))
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, claim)
    if (this.waiting.length <= this.maxWaiting) return
    const last = this.waiting.pop()
    if (last !== undefined) this.refuse(last, 'no-room')
  }

  private removeWaiting (claim: BodyClaim): boolean {
    const index = this.waiting.indexOf(claim)
    if (index >= 0) this.waiting.splice(index, 1)
    return index >= 0
  }

  /** Grants reads in order of their claims. A read may release bytes at once, so calls from within a grant leave the rest to the loop. */
  private grantReads (): void {
    if (this.isGrantingReads) return
    this.isGrantingReads = true
    for (const claim of this.waitingReads) {
      if (this.heldBytes.response + READ_BYTES > this.options.capacityBytes) break
      this.waitingReads.delete(claim)
      this.add('response', READ_BYTES)
      claim(READ_BYTES)
    }
    this.isGrantingReads = false
  }

  /** Grants in order whatever fits; a body that does not fit does not block smaller ones behind it. */
  private grantWaiting (): void {
    for (const claim of [...this.waiting]) {
      if (this.fits(claim.bytes, this.capacityFor(claim)) && this.removeWaiting(claim)) this.grant(claim)
    }
  }
}
