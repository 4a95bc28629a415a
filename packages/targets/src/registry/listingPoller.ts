import { backoffMs } from '@lovagehoist/common'
import type { Clock, GatewayStore, Log, PlatformError, Random, ReadTurn } from '@lovagehoist/common'
import type { TargetRegistry } from './targetRegistry.js'

/** Dependencies of the poller. */
export interface ListingPollerOptions {
  readonly store: Pick<GatewayStore, 'readTargets'>
  readonly registry: TargetRegistry
  /** Decides whether this daemon reads the store or relies on others. */
  readonly readTurn: Pick<ReadTurn, 'isDue' | 'isFirst'>
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  /** Called when the store responds again after failures. */
  readonly onStoreRecovered?: () => void
}

/** Age of the listing at which a daemon reads it from the store, by its place among the relays of its zone. */
export const MAX_LISTING_AGE_MS = { first: 450, second: 800, other: 1_000 } as const
/** Time between two checks of the listing's age. */
const CHECK_INTERVAL_MS = 100
/** Backoff after failed reads, doubled from the minimum to the maximum. */
const MIN_BACKOFF_MS = 300
const MAX_BACKOFF_MS = 1_500

/** Polls the store for the listing of targets unless another daemon has confirmed the listing recently. */
export class ListingPoller {
  private failures = 0
  private retryAtMs = -Infinity
  private readAtMs = -Infinity

  private constructor (private readonly options: ListingPollerOptions) {}

  /**
   * Creates a poller that has not read anything.
   *
   * @param options - Store, registry and relay rank.
   * @returns The poller.
   */
  static create (options: ListingPollerOptions): ListingPoller {
    return new ListingPoller(options)
  }

  /** Monotonic time at which this daemon started its last read that succeeded; -Infinity if there was none. */
  get lastReadAtMs (): number {
    return this.readAtMs
  }

  /**
   * Reads the listing whenever it is due, until stopped.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    while (!signal.aborted) {
      if (this.isDue()) await this.readListing()
      await clock.sleepMs(CHECK_INTERVAL_MS, signal)
    }
  }

  private isDue (): boolean {
    const { clock, registry, readTurn } = this.options
    // The first relay reads whatever others confirm: its reads also show whether its watch of the configuration can still be trusted.
    return clock.monotonicMs() >= this.retryAtMs && readTurn.isDue(readTurn.isFirst ? this.readAtMs : registry.confirmedAtMs)
  }

  private async readListing (): Promise<void> {
    const { clock, registry, store, log } = this.options
    const startedAtMs = clock.monotonicMs()
    const read = await store.readTargets()
    if (read.isErr()) {
      this.handleFailure(read.error)
      return
    }
    if (this.failures > 0) {
      log.info('store regained for the listing of targets', { failures: this.failures })
      this.options.onStoreRecovered?.()
    }
    this.failures = 0
    this.readAtMs = startedAtMs
    registry.apply(read.value, startedAtMs)
  }

  private handleFailure ({ kind, message }: PlatformError): void {
    const { clock, random, log, registry } = this.options
    const nowMs = clock.monotonicMs()
    if (this.failures++ === 0) log.warn('store lost for the listing of targets', { kind, detail: message, listingAgeMs: Math.round(nowMs - registry.confirmedAtMs) })
    this.retryAtMs = nowMs + backoffMs(random, this.failures, MIN_BACKOFF_MS, MAX_BACKOFF_MS)
  }
}
