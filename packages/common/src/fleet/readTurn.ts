import type { Random } from '../random/random.js'
import type { Clock } from '../time/clock.js'

/** Place of a daemon among those that read the store. */
type ReaderRole = 'first' | 'second' | 'other'

/** Age and position that decide whether a daemon reads the store by itself. */
export interface ReadTurnOptions {
  readonly clock: Clock
  readonly random: Random
  /** Age of what is known from which a daemon reads the store, by its place among the relays of its zone. */
  readonly maxAgeMs: Readonly<Record<ReaderRole, number>>
  /** Rank of this daemon among the relays of its zone: 0 is the first relay, -1 means it is not a relay. */
  readonly relayRank: () => number
  /** Whether a daemon that has just started should wait for other daemons to answer before it reads the store. */
  readonly isAwaitingPeers: () => boolean
}

/** Daemons that are not relays spread their reads over this time; what the first ones read reaches the others meanwhile. */
const TURN_SPREAD_MS = 400

const roleOf = (relayRank: number): ReaderRole => relayRank === 0 ? 'first' : relayRank > 0 ? 'second' : 'other'

/** Decides when a daemon reads the store: the first relay of a zone does for all, the others if they hear nothing recent from it. */
export class ReadTurn {
  private turnAtMs: number | undefined
  private hasBeenFresh = false

  private constructor (private readonly options: ReadTurnOptions) {}

  /**
   * Creates the turn of a daemon that knows nothing yet.
   *
   * @param options - Ages, and the daemon's place in its zone.
   * @returns The turn.
   */
  static create (options: ReadTurnOptions): ReadTurn {
    return new ReadTurn(options)
  }

  /** Whether this daemon is the first relay of its zone, which reads for all. */
  get isFirst (): boolean {
    return this.options.relayRank() === 0
  }

  /**
   * Tells whether this daemon reads the store now.
   *
   * @param confirmedAtMs - Monotonic time at which the store was last known to hold what this daemon knows; -Infinity if it knows nothing.
   */
  isDue (confirmedAtMs: number): boolean {
    const { clock, random, maxAgeMs, relayRank, isAwaitingPeers } = this.options
    const nowMs = clock.monotonicMs()
    if (isAwaitingPeers()) return false
    const role = roleOf(relayRank())
    if (nowMs - confirmedAtMs < maxAgeMs[role]) {
      this.hasBeenFresh = true
      this.turnAtMs = undefined
      return false
    }
    if (role !== 'other' || !this.hasBeenFresh) return true
    this.turnAtMs ??= nowMs + random.next() * TURN_SPREAD_MS
    if (nowMs < this.turnAtMs) return false
    this.turnAtMs = undefined
    return true
  }
}
