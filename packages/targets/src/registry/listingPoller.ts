import { backoffMs, withTimeout } from '@lovagehoist/common'
import type { Clock, GatewayStore, Log, PlatformError, Random, ReadTurn } from '@lovagehoist/common'
import type { TargetRegistry } from './targetRegistry.js'

/** Dependencies of the poller. */
export interface ListingPollerOptions {
  readonly store: Pick<GatewayStore, 'readTargets'>
  readonly registry: TargetRegistry
  /** Decides whether this daemon reads the store or relies on others. */
  readonly readTurn: Pick<ReadTurn, 'isDue' | 'order'>
  /** Time after the store accepted that a target leaves from which no request may reach it. */
  readonly boundMs: () => number
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  /** Called with the start of each read. */
  readonly onReadStarted?: () => void
  /** Called when a read has succeeded. */
  readonly onRead?: () => void
  /** Called when the store responds again after failures. */
  readonly onStoreRecovered?: () => void
}

/** Time between two checks of the listing's age. */
const CHECK_INTERVAL_MS = 50
/** Backoff after failed reads, doubled from the minimum to the maximum, of the reader of the fleet and its first standby, which notice for all that the store responds again. */
const READER_BACKOFF = { minMs: 300, maxMs: 1_500 } as const
/** Backoff of the others, and of a reader while others read in its place: each refused call is billed. */
const OTHER_BACKOFF = { minMs: 1_500, maxMs: 6_000 } as const
/** Number of daemons whose backoff stays short. */
const SHORT_BACKOFF_READERS = 2
/** Age up to which the listing shows that others read it. */
const MAX_READ_BY_OTHERS_AGE_MS = 2_000

/** Share of the bound from which the listing is too old to choose a target by: the rest is for the way there. */
const CHOICE_AGE_SHARE = 0.95
/** Longest time for which requests wait for one read; the store answers within a few milliseconds or not at all. */
const MAX_HOLD_MS = 100

/** Polls the store for the listing of targets unless another daemon has confirmed the listing recently. */
export class ListingPoller {
  private failures = 0
  private retryAtMs = -Infinity
  private readAtMs = -Infinity
  private readStartedAtMs = -Infinity
  private reading: Promise<void> | undefined

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

  /** Whether the store turned the last read away, or the listing is old and this daemon has not read it yet: then it is not known whether the store responds. */
  get isStoreDoubtful (): boolean {
    const { clock, registry } = this.options
    return this.failures > 0 || clock.monotonicMs() - Math.max(this.readAtMs, registry.confirmedAtMs) > MAX_READ_BY_OTHERS_AGE_MS
  }

  /**
   * Reads the listing whenever it is due, until stopped.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    while (!signal.aborted) {
      if (this.isDue()) await this.read()
      await clock.sleepMs(CHECK_INTERVAL_MS, signal)
    }
  }

  /** Whether a target that leaves may be listed as ready, and a read is likely to tell. */
  get isTooOld (): boolean {
    const { clock, registry, boundMs } = this.options
    const nowMs = clock.monotonicMs()
    const isStoreSilent = this.failures > 0 || (this.reading !== undefined && nowMs - this.readStartedAtMs >= MAX_HOLD_MS)
    return !isStoreSilent && registry.hasListing && nowMs - registry.confirmedAtMs > CHOICE_AGE_SHARE * boundMs()
  }

  /** Reads a listing that is too old to choose a target by and waits for it for a moment; while the store does not respond, serving goes on without it. */
  readonly untilRecent = async (): Promise<void> => {
    if (!this.isTooOld) return
    const { clock, log, registry } = this.options
    const reading = this.read()
    const leftMs = this.readStartedAtMs + MAX_HOLD_MS - clock.monotonicMs()
    const listingAgeMs = Math.round(clock.monotonicMs() - registry.confirmedAtMs)
    await withTimeout(clock, leftMs, reading)
    log.info('request held for a read of the listing', { listingAgeMs, isRecent: !this.isTooOld })
  }

  private async read (): Promise<void> {
    this.reading ??= this.readListing().finally(() => { this.reading = undefined })
    await this.reading
  }

  private isDue (): boolean {
    const { clock, registry, readTurn } = this.options
    // The reader of the fleet reads whatever others confirm: with each read it also checks its watch of the configuration.
    return clock.monotonicMs() >= this.retryAtMs && readTurn.isDue(readTurn.order === 0 ? this.readAtMs : registry.confirmedAtMs)
  }

  private async readListing (): Promise<void> {
    const { clock, registry, store, log } = this.options
    const startedAtMs = clock.monotonicMs()
    this.readStartedAtMs = startedAtMs
    this.options.onReadStarted?.()
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
    this.options.onRead?.()
  }

  private handleFailure ({ kind, message }: PlatformError): void {
    const { clock, random, log, registry, readTurn } = this.options
    const nowMs = clock.monotonicMs()
    if (this.failures++ === 0) log.warn('store lost for the listing of targets', { kind, detail: message, listingAgeMs: Math.round(nowMs - registry.confirmedAtMs) })
    const isReader = (readTurn.order ?? Infinity) < SHORT_BACKOFF_READERS && nowMs - registry.confirmedAtMs > MAX_READ_BY_OTHERS_AGE_MS
    const { minMs, maxMs } = isReader ? READER_BACKOFF : OTHER_BACKOFF
    this.retryAtMs = nowMs + backoffMs(random, this.failures, minMs, maxMs)
  }
}
