import type { Random } from '../random/random.js'
import type { Clock } from '../time/clock.js'

/** Position of a daemon among those that read the store: 0 reads for the whole fleet, the next ones are its standbys; undefined for a daemon that is no relay. */
export type ReaderOrder = number | undefined

/** Age and position that decide whether a daemon reads the store by itself. */
export interface ReadTurnOptions {
  readonly clock: Clock
  readonly random: Random
  /** Age of what is known from which a daemon reads the store. */
  readonly maxAgeMs: (order: ReaderOrder) => number
  /** Rank of this daemon among the relays of its zone: 0 is the first relay, -1 means it is not a relay. */
  readonly relayRank: () => number
  /** Names of all availability zones that are known. */
  readonly zones: () => readonly string[]
  /** The own one. */
  readonly zone: string
  /** Whether others hold something newer that did not arrive from them in time. */
  readonly isOverdue: () => boolean
  /** Whether a daemon that has just started should wait for other daemons to answer before it reads the store. */
  readonly isAwaitingPeers: () => boolean
  /** Whether a relay of the zone has been heard from recently. */
  readonly isHearingRelay: () => boolean
  /** Number of daemons of the zone. */
  readonly zoneSize: () => number
}

/** Age at which the reader of the fleet reads. With the time that the result takes to all daemons this stays well below 2 s, the time within which a draining target must get no more requests. */
const READER_AGE_MS = 700
/** Age at which the first standby reads: within 1 s of the loss of the reader, and later than the reader's result arrives. */
const STANDBY_AGE_MS = 950
const STANDBY_STEP_MS = 100
const MAX_STANDBY_AGE_MS = 1_400
/** Age at which daemons that are no relays read: above what views that arrive late make of it. */
const OTHER_AGE_MS = 1_600
/** Relays that watch the configuration; the second one covers a connection of the first that died unnoticed. */
const WATCHING_RELAYS = 2
/** Daemons that hear no relay spread their reads over this time. */
const ISOLATED_SPREAD_MS = 300
/** Those that hear one wait for it longer, by this time for each daemon of their zone: the store turns their relays away, and one of them finds out whether it does so with all. */
const SPREAD_PER_DAEMON_MS = 250
/** Time after its start in which a daemon that hears relays leaves the store to them: first the standbys in their order, then the others. */
const STANDBY_START_MS = 150
const STANDBY_START_STEP_MS = 50
const MAX_STANDBY_START_MS = 400
const OTHER_START_MS = 600

/** Age of the listing of targets from which a daemon reads it. */
export const maxListingAgeMs = (order: ReaderOrder): number => {
  if (order === undefined) return OTHER_AGE_MS
  return order === 0 ? READER_AGE_MS : Math.min(MAX_STANDBY_AGE_MS, STANDBY_AGE_MS + (order - 1) * STANDBY_STEP_MS)
}

/** Age of the configuration from which a daemon reads it, or 0 for those that always watch it. */
export const maxConfigAgeMs = (order: ReaderOrder): number => order !== undefined && order < WATCHING_RELAYS ? 0 : maxListingAgeMs(order)

/** Decides when a daemon reads the store: one relay does for the whole fleet, others if they hear nothing recent of what it reads. */
export class ReadTurn {
  private dueSinceMs: number | undefined
  private spreadShare = 0
  private hasBeenFresh = false
  private readonly startedAtMs: number

  private constructor (private readonly options: ReadTurnOptions) {
    this.startedAtMs = options.clock.monotonicMs()
  }

  /**
   * Creates the turn of a daemon that knows nothing yet.
   *
   * @param options - Ages, and the daemon's place in its zone and among all zones.
   * @returns The turn.
   */
  static create (options: ReadTurnOptions): ReadTurn {
    return new ReadTurn(options)
  }

  /** Position of this daemon among the readers: the first relays of all zones by the zones' names, then the second ones. */
  get order (): ReaderOrder {
    const { zones, zone } = this.options
    const relayRank = this.options.relayRank()
    if (relayRank < 0) return undefined
    const ordered = [...new Set([...zones(), zone])].sort()
    return ordered.indexOf(zone) + relayRank * ordered.length
  }

  /**
   * Tells whether this daemon reads the store now.
   *
   * @param confirmedAtMs - Monotonic time at which the store was last known to hold what this daemon knows; -Infinity if it knows nothing.
   */
  isDue (confirmedAtMs: number): boolean {
    const { clock, random, maxAgeMs, isAwaitingPeers } = this.options
    const nowMs = clock.monotonicMs()
    if (isAwaitingPeers()) return false
    if (this.options.isOverdue()) return true
    const { order } = this
    if (nowMs - confirmedAtMs < maxAgeMs(order)) {
      this.hasBeenFresh = true
      this.dueSinceMs = undefined
      return false
    }
    if (!this.hasBeenFresh) return this.isDueAfterStart(order, nowMs)
    if (order !== undefined) return true
    if (this.dueSinceMs === undefined) {
      this.dueSinceMs = nowMs
      this.spreadShare = random.next()
    }
    if (nowMs - this.dueSinceMs < this.spreadShare * this.spreadMs()) return false
    this.dueSinceMs = undefined
    return true
  }

  private isDueAfterStart (order: ReaderOrder, nowMs: number): boolean {
    if (order === 0) return true
    const uptimeMs = nowMs - this.startedAtMs
    if (order !== undefined) return uptimeMs >= Math.min(MAX_STANDBY_START_MS, STANDBY_START_MS + (order - 1) * STANDBY_START_STEP_MS)
    return uptimeMs >= OTHER_START_MS
  }

  private spreadMs (): number {
    const { isHearingRelay, zoneSize } = this.options
    return isHearingRelay() ? Math.max(ISOLATED_SPREAD_MS, zoneSize() * SPREAD_PER_DAEMON_MS) : ISOLATED_SPREAD_MS
  }
}
