import { backoffMs } from '@lovagehoist/common'
import type { Clock, GatewayStore, Log, PlatformError, Random } from '@lovagehoist/common'
import type { TargetRoster } from './targetRoster.js'

/** What the follower needs. */
export interface ListingFollowerOptions {
  readonly store: Pick<GatewayStore, 'readTargets'>
  readonly roster: TargetRoster
  /** Place of this daemon among the relays of its zone: 0 for the first, -1 for none. */
  readonly relayRank: () => number
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  /** Called when the store answers again after failures. */
  readonly onRegained?: () => void
}

/** Age of the listing from which a daemon reads it: the first relay of a zone reads for all, the others stand in when that fails. */
const READ_AT_AGE_MS: Readonly<Record<'first' | 'second' | 'other', number>> = { first: 450, second: 800, other: 1_000 }
/** Rhythm in which the age is looked at. */
const LOOK_MS = 100
/** Pauses after failures double from the first to the last. */
const FIRST_RETRY_MS = 300
const LAST_RETRY_MS = 1_500

/** Reads the listing of targets from the store when nobody else has confirmed it lately. */
export class ListingFollower {
  private failures = 0
  private notBeforeMs = -Infinity

  private constructor (private readonly options: ListingFollowerOptions) {}

  /**
   * Creates a follower.
   *
   * @param options - Store, roster and rank.
   * @returns The follower.
   */
  static create (options: ListingFollowerOptions): ListingFollower {
    return new ListingFollower(options)
  }

  /**
   * Reads when it is due, until stopped.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    while (!signal.aborted) {
      if (this.isDue()) await this.read()
      await clock.sleepMs(LOOK_MS, signal)
    }
  }

  private isDue (): boolean {
    const { clock, roster, relayRank } = this.options
    const nowMs = clock.monotonicMs()
    const rank = relayRank()
    const limitMs = READ_AT_AGE_MS[rank === 0 ? 'first' : rank > 0 ? 'second' : 'other']
    return nowMs >= this.notBeforeMs && nowMs - roster.confirmedAtMs >= limitMs
  }

  private async read (): Promise<void> {
    const { clock, roster, store, log } = this.options
    const askedAtMs = clock.monotonicMs()
    const read = await store.readTargets()
    if (read.isErr()) {
      this.failed(read.error)
      return
    }
    if (this.failures > 0) {
      log.info('store regained for the listing of targets', { failures: this.failures })
      this.options.onRegained?.()
    }
    this.failures = 0
    roster.apply(read.value, askedAtMs)
  }

  private failed ({ kind, message }: PlatformError): void {
    const { clock, random, log, roster } = this.options
    const nowMs = clock.monotonicMs()
    if (this.failures++ === 0) log.warn('store lost for the listing of targets', { kind, detail: message, listingAgeMs: Math.round(nowMs - roster.confirmedAtMs) })
    this.notBeforeMs = nowMs + backoffMs(random, this.failures, FIRST_RETRY_MS, LAST_RETRY_MS)
  }
}
