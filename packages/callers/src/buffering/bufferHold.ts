import type { BodyClaim, BufferBudget, BufferUse } from './bufferBudget.js'

/** Bytes that one request holds of the buffer budget. */
export class BufferHold {
  private readonly heldBytes: Record<BufferUse, number> = { body: 0, response: 0 }
  private isClosed = false
  private withdraw: () => void = () => {}
  private withdrawRead: () => void = () => {}
  /** Bytes held for a read of the response whose data has not arrived. */
  private readBytes = 0

  private constructor (private readonly budget: BufferBudget) {}

  /**
   * Creates a hold without bytes.
   *
   * @param budget - Budget that the bytes are reserved in.
   * @returns The hold.
   */
  static create (budget: BufferBudget): BufferHold {
    return new BufferHold(budget)
  }

  /** Bytes held for a use. */
  heldFor (use: BufferUse): number {
    return this.heldBytes[use]
  }

  /** Whether more of the response may be read from the target before the caller has read what is held. */
  get hasReadAheadRoom (): boolean {
    return this.budget.hasReadAheadRoom
  }

  /**
   * Reserves more bytes for the body, now or as soon as there is room.
   *
   * @param claim - Size, priority and the callback with the result.
   * @returns Withdraws the claim if it has not been settled.
   */
  claimBody (claim: BodyClaim): () => void {
    if (this.isClosed) {
      claim.settle('no-room')
      return () => {}
    }
    this.withdraw = this.budget.claimBody({
      ...claim,
      settle: refusal => {
        if (refusal === undefined) this.heldBytes.body += claim.bytes
        if (refusal === undefined && this.isClosed) this.shrinkBody(0)
        claim.settle(refusal)
      }
    })
    return this.withdraw
  }

  /** Releases what the body does not need of its reservation. */
  shrinkBody (toBytes: number): void {
    this.release('body', Math.max(0, this.heldBytes.body - toBytes))
  }

  /**
   * Waits for room for one more read of the response from its target.
   *
   * @param read - Starts the read, now or as soon as there is room; not called if the hold is closed while it waits.
   */
  awaitReadRoom (read: () => void): void {
    if (this.isClosed) {
      read()
      return
    }
    this.withdrawRead()
    this.withdrawRead = this.budget.claimRead(bytes => {
      this.readBytes += bytes
      this.heldBytes.response += bytes
      read()
    })
  }

  /** Reserves bytes for a response; false when they don't fit. */
  tryReserveResponse (bytes: number): boolean {
    this.endRead()
    if (this.isClosed || !this.budget.tryReserveResponse(bytes)) return false
    this.heldBytes.response += bytes
    return true
  }

  /** Counts bytes of a response that have been received already. */
  addResponse (bytes: number): void {
    if (this.isClosed) return
    this.budget.add('response', bytes)
    this.heldBytes.response += bytes
    this.endRead()
  }

  /** Releases bytes of a response that the caller has read. */
  releaseResponse (bytes: number): void {
    this.release('response', Math.min(bytes, this.heldBytes.response))
  }

  /** Releases everything; the request has ended. */
  close (): void {
    if (this.isClosed) return
    this.isClosed = true
    this.withdraw()
    this.shrinkBody(0)
    this.withdrawRead()
    this.readBytes = 0
    this.releaseResponse(this.heldBytes.response)
  }

  /** Releases the reservation of a read: its bytes are counted as what arrived. */
  private endRead (): void {
    const bytes = this.readBytes
    this.readBytes = 0
    this.releaseResponse(bytes)
  }

  private release (use: BufferUse, bytes: number): void {
    if (bytes === 0) return
    this.heldBytes[use] -= bytes
    this.budget.release(use, bytes)
  }
}
