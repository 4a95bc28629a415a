import type { Clock } from '@lovagehoist/common'

/** Inputs that bound a daemon's share of a service's slots. */
export interface SlotBounds {
  /** Total slots of the targets that accept requests. */
  readonly totalSlots: number
  /** Number of daemons that receive traffic; undefined if not known. */
  readonly daemons: number | undefined
}

/** How the share adapts: from feedback and the number of daemons, from feedback alone, or as a fixed even share. */
export type SharePolicy = 'shared' | 'learned' | 'counted'

interface SlotRange {
  readonly min: number
  readonly max: number
  /** Value that a share above it drops to at most when a target is full. */
  readonly fallback: number
  /** Initial value, which an underused share also shrinks back to. */
  readonly initial: number
}

/** Factor by which shares exceed an even split, so that no slot idles while a response is in transit. */
const OVERCOMMIT = 1.1
const MIN_SHARE_OF_EVEN = 0.5
const MIN_SLOTS_UNKNOWN_FLEET = 0.25
/** Allowance for a burst above the even share while no target is full. */
const BURST_FACTOR = 1.5
const BURST_SLOTS = 0.5

const evenShare = ({ totalSlots, daemons }: SlotBounds): number => totalSlots * OVERCOMMIT / Math.max(1, daemons ?? 1)

const learnedRange = ({ totalSlots }: SlotBounds): SlotRange => {
  const max = Math.max(1, totalSlots)
  return { min: MIN_SLOTS_UNKNOWN_FLEET, max, fallback: MIN_SLOTS_UNKNOWN_FLEET, initial: max }
}

const sharedRange = (bounds: SlotBounds): SlotRange => {
  const even = evenShare(bounds)
  const max = Math.max(even, bounds.totalSlots)
  return { min: even * MIN_SHARE_OF_EVEN, max, fallback: even, initial: Math.min(max, even * BURST_FACTOR + BURST_SLOTS) }
}

const countedRange = (bounds: SlotBounds): SlotRange => {
  const even = evenShare(bounds)
  return { min: even, max: even, fallback: even, initial: even }
}

const RANGES: Readonly<Record<SharePolicy, (bounds: SlotBounds) => SlotRange>> = {
  shared: bounds => bounds.daemons === undefined ? learnedRange(bounds) : sharedRange(bounds),
  learned: learnedRange,
  counted: countedRange
}

/** Factor by which the share shrinks when a target is full. */
const DECREASE_FACTOR = 0.85
/** Time within which several refusals count as one. */
const DECREASE_INTERVAL_MS = 100
/** Growth of the share per successful exchange that used all of it, below the even share. */
const RECOVERY_SLOTS = 0.05
/** The same above the even share, right after a refusal. */
const GROWTH_SLOTS = 0.002
/** Time without a refusal after which the growth doubles. */
const GROWTH_DOUBLES_MS = 1_000
const MAX_GROWTH_SLOTS = 0.25
/** Factor by which an underused share shrinks with each successful exchange. */
const UNDERUSED_FACTOR = 0.98

/** Fractional number of a service's slots that this daemon may hold at once, adapted by feedback similar to AIMD congestion control. */
export class SlotShare {
  private adaptedSlots: number | undefined
  private decreasedAtMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly clock: Clock, private readonly policy: SharePolicy, private readonly bounds: () => SlotBounds) {}

  /**
   * Creates a share with its initial value.
   *
   * @param clock - Source of time.
   * @param policy - How the share adapts.
   * @param bounds - Returns the current slots and daemons.
   * @returns The share.
   */
  static create (clock: Clock, policy: SharePolicy, bounds: () => SlotBounds): SlotShare {
    return new SlotShare(clock, policy, bounds)
  }

  /** Returns the number of slots that may be held now, which may be fractional. */
  slots (): number {
    const { min, max, initial } = RANGES[this.policy](this.bounds())
    return Math.min(max, Math.max(min, this.adaptedSlots ?? initial))
  }

  /**
   * Shrinks the share because a target had no free slot for this daemon.
   *
   * @param held - Slots that the daemon holds.
   */
  onTargetFull (held: number): void {
    const nowMs = this.clock.monotonicMs()
    if (nowMs - this.decreasedAtMs < DECREASE_INTERVAL_MS) return
    this.decreasedAtMs = nowMs
    const { min, fallback } = RANGES[this.policy](this.bounds())
    const slots = this.slots()
    const used = Math.min(slots, Math.max(held, min))
    this.adaptedSlots = slots > fallback ? Math.max(fallback, used * DECREASE_FACTOR) : Math.max(min, slots * DECREASE_FACTOR)
  }

  /**
   * Adapts the share after a successful exchange.
   *
   * @param held - Highest number of slots held at once since the last successful exchange.
   */
  onSuccess (held: number): void {
    const slots = this.slots()
    if (held >= Math.max(1, Math.floor(slots))) this.grow(slots)
    else if (held < slots / 2) this.shrinkUnderused(slots)
  }

  private grow (slots: number): void {
    const sinceDecreaseMs = this.clock.monotonicMs() - this.decreasedAtMs
    const { fallback } = RANGES[this.policy](this.bounds())
    const base = slots < fallback ? RECOVERY_SLOTS : GROWTH_SLOTS
    const growth = Math.min(MAX_GROWTH_SLOTS, base * 2 ** (sinceDecreaseMs / GROWTH_DOUBLES_MS))
    this.adaptedSlots = slots + growth / Math.max(1, slots)
  }

  private shrinkUnderused (slots: number): void {
    const { initial } = RANGES[this.policy](this.bounds())
    if (slots > initial) this.adaptedSlots = Math.max(initial, slots * UNDERUSED_FACTOR)
  }
}
