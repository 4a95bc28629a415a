import type { FullPart } from './splitParams.js'

interface PendingWhole {
  readonly wholeId: number
  readonly missing: Set<number>
}

/** Tells when all parts of a full message have arrived. */
export class FullPartTracker {
  private readonly pending = new Map<string, PendingWhole>()

  private constructor () {}

  /** Creates a tracker that has seen no parts. */
  static create (): FullPartTracker {
    return new FullPartTracker()
  }

  /**
   * Records a message.
   *
   * @param sender - Process that sent it.
   * @param message - Whether it is full, and which part of a full one it is.
   * @returns Whether all parts of the full message have arrived.
   */
  isWhole (sender: string, { isFull, fullPart }: { readonly isFull: boolean, readonly fullPart?: FullPart }): boolean {
    if (fullPart === undefined) return isFull
    const { wholeId, index, count } = fullPart
    const known = this.pending.get(sender)
    const whole = known?.wholeId === wholeId ? known : { wholeId, missing: new Set(Array.from({ length: Math.min(count, MAX_PARTS) }, (_, part) => part)) }
    whole.missing.delete(index)
    this.pending.set(sender, whole)
    if (whole.missing.size > 0) return false
    this.pending.delete(sender)
    return true
  }
}

/** Bound of the parts of one message, against malformed counts. */
const MAX_PARTS = 4_096
