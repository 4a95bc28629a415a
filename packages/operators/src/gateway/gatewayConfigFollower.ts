import { backoffMs } from '@lovagehoist/common'
import type { Clock, ConfigSnapshot, GatewayConfig, GatewayStore, Log, LogFields, PlatformError, Random, ReadTurn } from '@lovagehoist/common'

/** Store, clock and callback of the follower. */
export interface GatewayConfigFollowerOptions {
  readonly store: Pick<GatewayStore, 'readConfig' | 'watchConfig'>
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  /** Decides whether this daemon reads the store or relies on others. */
  readonly readTurn: Pick<ReadTurn, 'isDue'>
  /** Whether the store turns other reads of this daemon away, or it has yet to be seen if it does; one kind of call finds out for both. */
  readonly isStoreDoubtful: () => boolean
  /** Called with each newer configuration, before it is put in force. */
  readonly onConfig: (config: GatewayConfig) => void
}

/** Longest wait of one watch; also bounds how long a dead connection goes unnoticed when no call to `restart` ends it earlier. */
const WATCH_TIMEOUT_MS = 10_000
/** Pause between two watches, so that changes in quick succession arrive together. */
const MIN_WATCH_INTERVAL_MS = 250
/** Time for which a read is recent enough for a watch to continue from it. */
const READ_VALID_MS = 2_000
/** Time between two checks whether this daemon has to read the store. */
const TURN_CHECK_INTERVAL_MS = 50
/** Delay after the first failure; doubled by each further one up to the maximum. */
const FIRST_RETRY_DELAY_MS = 250
const MAX_RETRY_DELAY_MS = 2_000

/** Watches the store and keeps the newest configuration in force; its version only grows. */
export class GatewayConfigFollower {
  private config: GatewayConfig | undefined
  private text: string | undefined
  private storeVersion: number | undefined
  private watchAbort = new AbortController()
  private failures = 0
  private refusals = 0
  private isWatching = false
  private readAtMs = -Infinity
  private othersConfirmedAtMs = -Infinity
  private confirmedBy: 'nobody' | 'store' | 'watch' | 'peer' = 'nobody'

  private constructor (private readonly options: GatewayConfigFollowerOptions) {}

  /**
   * Creates a follower without a configuration.
   *
   * @param options - Store, clock and the callback for changes.
   * @returns The follower.
   */
  static create (options: GatewayConfigFollowerOptions): GatewayConfigFollower {
    return new GatewayConfigFollower(options)
  }

  /** Stored text of the configuration in force, to be sent to instances that can't reach the store. */
  readonly currentText = (): string | undefined => this.text

  /** Version in force; 0 while there is none. */
  get version (): number {
    return this.config?.version ?? 0
  }

  /** Monotonic time of the last response of the store; -Infinity if there was none. */
  get lastResponseAtMs (): number {
    return this.readAtMs
  }

  /** Monotonic time at which this daemon last found nothing newer in the store: now while a watch is open; -Infinity if never. */
  get ownConfirmedAtMs (): number {
    return this.isWatching && this.failures === 0 ? this.options.clock.monotonicMs() : this.readAtMs
  }

  /** Monotonic time at which another daemon last did. */
  get confirmedByOthersAtMs (): number {
    return this.othersConfirmedAtMs
  }

  /** Monotonic time at which this daemon or another one last did. */
  get confirmedAtMs (): number {
    return Math.max(this.ownConfirmedAtMs, this.othersConfirmedAtMs)
  }

  /**
   * Records that another daemon found nothing newer than the configuration in force in the store.
   *
   * @param atMs - Monotonic time at which it did.
   * @param peer - Instance that told it.
   */
  confirm (atMs: number, peer: string): void {
    if (atMs <= this.othersConfirmedAtMs) return
    this.othersConfirmedAtMs = atMs
    if (atMs > this.ownConfirmedAtMs) this.recordConfirmation('peer', { peer, ageMs: Math.round(this.options.clock.monotonicMs() - atMs) })
  }

  /** Number of configurations refused because they could not be decoded. */
  get refusedCount (): number {
    return this.refusals
  }

  /**
   * Applies a snapshot from the store or from another instance.
   *
   * @param snapshot - Ignored unless its version is newer than the one in force.
   * @param source - Origin of the snapshot, for the log.
   */
  applySnapshot (snapshot: ConfigSnapshot, source: 'store' | 'peer'): void {
    const { config, text, error } = snapshot
    if (error !== undefined) {
      this.refusals++
      this.options.log.error('configuration refused; the last good one stays in force', { error, source, versionInForce: this.version })
      return
    }
    if (config === undefined || text === undefined || config.version <= this.version) return
    this.options.onConfig(config)
    this.options.log.info('configuration applied', { version: config.version, previousVersion: this.version, source, routes: config.routes.length, services: config.services.length })
    this.config = config
    this.text = text
  }

  /** Aborts the watch, which may hang on a connection from before an outage, and reads the configuration again. */
  readonly restart = (): void => {
    this.options.log.info('restarting the configuration watch', { versionInForce: this.version })
    this.watchAbort.abort()
  }

  /**
   * Reads and watches the store until stopped.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, readTurn, isStoreDoubtful } = this.options
    while (!signal.aborted) {
      const delayMs = !isStoreDoubtful() && readTurn.isDue(this.confirmedAtMs) ? await this.readOrWatch() : this.relyOnOthers()
      await clock.sleepMs(delayMs, signal)
    }
  }

  /** Leaves the store to others; after a while the next own call reads the configuration, since the store's history may be gone by then. */
  private relyOnOthers (): number {
    if (this.options.clock.monotonicMs() - this.readAtMs > READ_VALID_MS) this.storeVersion = undefined
    return TURN_CHECK_INTERVAL_MS
  }

  /** Performs one read or watch; returns the delay before the next in milliseconds. */
  private async readOrWatch (): Promise<number> {
    return this.storeVersion === undefined ? await this.read() : await this.watch(this.storeVersion)
  }

  private async read (): Promise<number> {
    const read = await this.options.store.readConfig()
    if (read.isErr()) return this.onStoreFailure(read.error)
    this.onStoreRecovered()
    this.storeVersion = read.value.storeVersion
    this.applySnapshot(read.value, 'store')
    return 0
  }

  private async watch (afterVersion: number): Promise<number> {
    this.watchAbort = new AbortController()
    const { signal } = this.watchAbort
    this.isWatching = true
    this.recordConfirmation('watch')
    const watched = await this.options.store.watchConfig(afterVersion, WATCH_TIMEOUT_MS, signal)
    this.isWatching = false
    if (signal.aborted) {
      this.storeVersion = undefined
      return 0
    }
    if (watched.isErr()) {
      // A read finds changes made during the failure, even if the store's history was lost.
      this.storeVersion = undefined
      return this.onStoreFailure(watched.error)
    }
    this.onStoreRecovered()
    const result = watched.value
    if (result.type === 'history-lost') {
      this.options.log.info('history of the store lost; reading the configuration again')
      this.storeVersion = undefined
      return 0
    }
    this.storeVersion = result.type === 'reading' ? result.snapshot.storeVersion : result.storeVersion
    if (result.type === 'reading') this.applySnapshot(result.snapshot, 'store')
    return MIN_WATCH_INTERVAL_MS
  }

  /** Logs each change of what confirms that the configuration in force is the newest. */
  private recordConfirmation (source: typeof this.confirmedBy, fields: LogFields = {}): void {
    if (this.confirmedBy === source) return
    this.options.log.info('configuration confirmed by another source', { source, previousSource: this.confirmedBy, versionInForce: this.version, ...fields })
    this.confirmedBy = source
  }

  private onStoreFailure ({ kind, message }: PlatformError): number {
    if (this.failures++ === 0) this.options.log.warn('store lost for the configuration', { kind, detail: message, versionInForce: this.version })
    return backoffMs(this.options.random, this.failures, FIRST_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS)
  }

  private onStoreRecovered (): void {
    if (this.failures > 0) this.options.log.info('store regained for the configuration', { failures: this.failures })
    this.failures = 0
    this.readAtMs = this.options.clock.monotonicMs()
    this.recordConfirmation('store')
  }
}
