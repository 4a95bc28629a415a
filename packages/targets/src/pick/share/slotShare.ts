import type { Clock } from '@lovagehoist/common'

/** Bounds of a daemon's share of a service's slots. */
export interface SlotBounds {
  /** Slots of the targets that take work. */
  readonly totalSlots: number
  /** Daemons that take traffic; undefined when they are not known. */
  readonly daemons: number | undefined
}

/** How a share follows what was seen. */
export type SharePolicy = 'shared' | 'learned' | 'counted'

interface Range {
  readonly least: number
  readonly most: number
  /** Value that the first sign of full targets falls back to. */
  readonly fallback: number
  /** Value at the start and while less than half of the share is used. */
  readonly unused: number
}

/** Factor by which shares exceed an even division, so that no slot idles while an answer travels. */
const OVERCOMMIT = 1.1
const LEAST_SHARE_OF_EVEN = 0.5
const LEAST_SLOTS_UNKNOWN = 0.25
/** Room for a burst above the even share while no target is full. */
const BURST_FACTOR = 1.5
const BURST_SLOTS = 0.5

const evenShare = ({ totalSlots, daemons }: SlotBounds): number => totalSlots * OVERCOMMIT / Math.max(1, daemons ?? 1)

const learnedRange = ({ totalSlots }: SlotBounds): Range => {
  const most = Math.max(1, totalSlots)
  return { least: LEAST_SLOTS_UNKNOWN, most, fallback: LEAST_SLOTS_UNKNOWN, unused: most }
}

const sharedRange = (bounds: SlotBounds): Range => {
  const even = evenShare(bounds)
  const most = Math.max(even, bounds.totalSlots)
  return { least: even * LEAST_SHARE_OF_EVEN, most, fallback: even, unused: Math.min(most, even * BURST_FACTOR + BURST_SLOTS) }
}

const countedRange = (bounds: SlotBounds): Range => {
  const even = evenShare(bounds)
  return { least: even, most: even, fallback: even, unused: even }
}

const RANGES: Readonly<Record<SharePolicy, (bounds: SlotBounds) => Range>> = {
  shared: bounds => bounds.daemons === undefined ? learnedRange(bounds) : sharedRange(bounds),
  learned: learnedRange,
  counted: countedRange
}

/** Factor by which the share shrinks at a sign of full targets. */
const DECREASE_FACTOR = 0.85
/** Time within which several signs count as one. */
const DECREASE_INTERVAL_MS = 100
/** Growth of the share for each exchange that used all of it, below the even share. */
const RECOVERY_SLOTS = 0.05
/** The same above the even share, right after a sign of full targets. */
const GROWTH_SLOTS = 0.002
/** Time without a sign of full targets after which growth doubles. */
const GROWTH_DOUBLES_MS = 1_000
const FASTEST_GROWTH_SLOTS = 0.25
/** Factor by which a share that is little used falls back with each exchange. */
const UNUSED_FACTOR = 0.98

/** Fractional number of slots of a service that this daemon may hold at once. */
export class SlotShare {
  private learnedSlots: number | undefined
  private decreasedAtMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly clock: Clock, private readonly policy: SharePolicy, private readonly bounds: () => SlotBounds) {}

  /**
   * Creates a share of all slots.
   *
   * @param clock - Source of time.
   * @param policy - What moves the share.
   * @param bounds - Slots and daemons now.
   * @returns The share.
   */
  static create (clock: Clock, policy: SharePolicy, bounds: () => SlotBounds): SlotShare {
    return new SlotShare(clock, policy, bounds)
  }

  /** Slots that may be held now; not a whole number. */
  slots (): number {
    const { least, most, unused } = RANGES[this.policy](this.bounds())
    return Math.min(most, Math.max(least, this.learnedSlots ?? unused))
  }

  /**
   * Notes that a target had no slot for this daemon.
   *
   * @param held - Slots that the daemon holds.
   */
  onFull (held: number): void {
    const nowMs = this.clock.monotonicMs()
    if (nowMs - this.decreasedAtMs < DECREASE_INTERVAL_MS) return
    this.decreasedAtMs = nowMs
    const { least, fallback } = RANGES[this.policy](this.bounds())
    const slots = this.slots()
    const used = Math.min(slots, Math.max(held, least))
    this.learnedSlots = slots > fallback ? Math.max(fallback, used * DECREASE_FACTOR) : Math.max(least, slots * DECREASE_FACTOR)
  }

  /**
   * Notes that an exchange ended well.
   *
   * @param held - Most slots that the daemon held since the last exchange that ended well.
   */
  onServed (held: number): void {
    const slots = this.slots()
    if (held >= Math.max(1, Math.floor(slots))) this.grow(slots)
    else if (held < slots / 2) this.shrinkUnused(slots)
  }

  private grow (slots: number): void {
    const quietMs = this.clock.monotonicMs() - this.decreasedAtMs
    const { fallback } = RANGES[this.policy](this.bounds())
    const base = slots < fallback ? RECOVERY_SLOTS : GROWTH_SLOTS
    const growth = Math.min(FASTEST_GROWTH_SLOTS, base * 2 ** (quietMs / GROWTH_DOUBLES_MS))
    this.learnedSlots = slots + growth / Math.max(1, slots)
  }

  private shrinkUnused (slots: number): void {
    const { unused } = RANGES[this.policy](this.bounds())
    if (slots > unused) this.learnedSlots = Math.max(unused, slots * UNUSED_FACTOR)
  }
}
