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
}

/** Share of all slots that an even division is exceeded by, so that no slot idles while an answer travels. */
const OVERCOMMIT = 1.1
const LEAST_SHARE_OF_EVEN = 0.5
const LEAST_SLOTS_UNKNOWN = 0.25

const evenShare = ({ totalSlots, daemons }: SlotBounds): number => totalSlots * OVERCOMMIT / Math.max(1, daemons ?? 1)

const RANGES: Readonly<Record<SharePolicy, (bounds: SlotBounds) => Range>> = {
  shared: bounds => bounds.daemons === undefined
    ? RANGES.learned(bounds)
    : { least: evenShare(bounds) * LEAST_SHARE_OF_EVEN, most: Math.max(evenShare(bounds), bounds.totalSlots), fallback: evenShare(bounds) },
  learned: bounds => ({ least: LEAST_SLOTS_UNKNOWN, most: Math.max(1, bounds.totalSlots), fallback: LEAST_SLOTS_UNKNOWN }),
  counted: bounds => ({ least: evenShare(bounds), most: evenShare(bounds), fallback: evenShare(bounds) })
}

/** Factor by which the share shrinks at a sign of full targets. */
const DECREASE_FACTOR = 0.8
/** Time within which several signs count as one. */
const DECREASE_INTERVAL_MS = 100
/** Growth of the share for each exchange that used all of it. */
const GROWTH_SLOTS = 0.02
/** Time without a sign of full targets after which growth doubles. */
const GROWTH_DOUBLES_MS = 500
const FASTEST_GROWTH_SLOTS = 1

/** Fractional number of slots of a service that this daemon may hold at once. */
export class SlotShare {
  private learnedSlots = Number.POSITIVE_INFINITY
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
    const { least, most } = RANGES[this.policy](this.bounds())
    return Math.min(most, Math.max(least, this.learnedSlots))
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
    const used = Math.min(this.slots(), Math.max(held, least))
    this.learnedSlots = Math.max(used > fallback ? fallback : least, used * DECREASE_FACTOR)
  }

  /**
   * Notes that an exchange ended well.
   *
   * @param held - Slots that the daemon held then.
   */
  onServed (held: number): void {
    const slots = this.slots()
    if (held < Math.floor(slots)) return
    const quietMs = this.clock.monotonicMs() - this.decreasedAtMs
    const growth = Math.min(FASTEST_GROWTH_SLOTS, GROWTH_SLOTS * 2 ** (quietMs / GROWTH_DOUBLES_MS))
    this.learnedSlots = slots + growth / Math.max(1, slots)
  }
}
