import type { Random } from '../random/random.js'
import type { Clock } from '../time/clock.js'

/** Position of a daemon among those that read the store: 0 reads for the whole fleet, the next ones are its standbys; undefined for a daemon that is no relay. */
export type ReaderOrder = number | undefined

/** Age and position that decide whether a daemon reads the store by itself. */
export interface ReadTurnOptions {
  readonly clock: Clock
  readonly random: Random
  /** Age of what is known from which a daemon reads the store. */
  readonly maxAgeMs: (order: ReaderOrder, boundMs: number) => number
  /** Time after the store accepted a change from which every daemon has to act on it. */
  readonly boundMs: () => number
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
  /** Whether a relay of the zone has been heard from recently, through which others of the zone are heard. */
  readonly isHearingRelay: () => boolean
  /** Rank of this daemon among those of its zone that are no relays: 0 reads first when the relays can't. */
  readonly rankBehindRelays: () => number
}

/** Age at which the reader of the fleet reads, unless the bound is short. */
const READER_AGE_MS = 700
const READER_AGE_SHARE = 0.35
/** Age at which the first standby reads: within 1 s of the loss of the reader, and later than the reader's result arrives. */
const STANDBY_DELAY_MS = 250
const STANDBY_STEP_MS = 100
/** Share of the bound by which the last standby reads. */
const MAX_STANDBY_AGE_SHARE = 0.7
/** Share of the bound at which the first daemon of a zone reads that is no relay: above what views that arrive late make of the age. */
const OTHER_AGE_SHARE = 0.8
/** Share of the bound at which the first daemon reads of those that hear no relay. */
const ISOLATED_AGE_SHARE = 0.75
/** Share of the bound by which every daemon reads, whatever it hears: what is left covers the read and the way of a request to its target. */
const LAST_AGE_SHARE = 0.9
/** Share of the time between these two ages in which the fittest daemons of a zone take turns, so that one reads and tells the others. */
const TURN_SHARE = 0.5
/** Daemons of a zone that get a turn of their own. */
const TURNS = 2
/** Relays that watch the configuration; the second one covers a connection of the first that died unnoticed. */
const WATCHING_RELAYS = 2
/** Time after its start in which a daemon that hears relays leaves the store to them: first the standbys in their order, then the others. */
const STANDBY_START_MS = 150
const STANDBY_START_STEP_MS = 50
const MAX_STANDBY_START_MS = 400
const OTHER_START_MS = 600

/**
 * Age of what is known from which a daemon reads the store.
 *
 * @param order - Position of the daemon among the readers.
 * @param boundMs - Time after the store accepted a change from which every daemon has to act on it.
 * @returns Age in milliseconds.
 */
export const maxListingAgeMs = (order: ReaderOrder, boundMs: number): number => {
  if (order === undefined) return OTHER_AGE_SHARE * boundMs
  const readerAgeMs = Math.min(READER_AGE_MS, READER_AGE_SHARE * boundMs)
  return order === 0 ? readerAgeMs : Math.min(MAX_STANDBY_AGE_SHARE * boundMs, readerAgeMs + STANDBY_DELAY_MS + (order - 1) * STANDBY_STEP_MS)
}

/** Age of the configuration from which a daemon reads it, or 0 for those that always watch it. */
export const maxConfigAgeMs = (order: ReaderOrder, boundMs: number): number => order !== undefined && order < WATCHING_RELAYS ? 0 : maxListingAgeMs(order, boundMs)

/** Decides when a daemon reads the store: one relay does for the whole fleet, others if they hear nothing recent of what it reads. */
export class ReadTurn {
  private spreadShare: number | undefined
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
    const { clock, random, isAwaitingPeers } = this.options
    const nowMs = clock.monotonicMs()
    if (isAwaitingPeers()) return false
    if (this.options.isOverdue()) return true
    const { order } = this
    const ageMs = nowMs - confirmedAtMs
    if (ageMs < this.firstAgeMs(order)) {
      this.hasBeenFresh = true
      this.spreadShare = undefined
      return false
    }
    if (!this.hasBeenFresh) return this.isDueAfterStart(order, nowMs)
    if (order !== undefined) return true
    this.spreadShare ??= random.next()
    if (ageMs < this.turnAgeMs(this.spreadShare)) return false
    this.spreadShare = undefined
    return true
  }

  private isDueAfterStart (order: ReaderOrder, nowMs: number): boolean {
    if (order === 0) return true
    const uptimeMs = nowMs - this.startedAtMs
    if (order !== undefined) return uptimeMs >= Math.min(MAX_STANDBY_START_MS, STANDBY_START_MS + (order - 1) * STANDBY_START_STEP_MS)
    return uptimeMs >= OTHER_START_MS
  }

  /**
   * Age at which it is the turn of a daemon that is no relay: the first ones of a zone read one after the other, the rest spread their reads up to the last age.
   * The age of what is known binds each daemon, whether or not another one was expected to read.
   */
  private turnAgeMs (spreadShare: number): number {
    const firstAgeMs = this.firstAgeMs(undefined)
    const spanMs = LAST_AGE_SHARE * this.options.boundMs() - firstAgeMs
    if (!this.options.isHearingRelay()) return firstAgeMs + spreadShare * spanMs
    const turnsMs = TURN_SHARE * spanMs
    const rank = this.options.rankBehindRelays()
    return firstAgeMs + (rank < TURNS ? rank * turnsMs / TURNS : turnsMs + spreadShare * (spanMs - turnsMs))
  }

  /** Age from which a daemon may read; without a relay nobody tells of a read, so that there is nothing to wait for. */
  private firstAgeMs (order: ReaderOrder): number {
    const { maxAgeMs, boundMs, isHearingRelay } = this.options
    return order === undefined && !isHearingRelay() ? ISOLATED_AGE_SHARE * boundMs() : maxAgeMs(order, boundMs())
  }
}
