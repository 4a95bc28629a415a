import { backoffMs } from '@lovagehoist/common'
import type { Clock, ConfigSnapshot, ConfigWatchResult, GatewayConfig, GatewayStore, Log, LogFields, PlatformError, Random, ReadTurn } from '@lovagehoist/common'

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

/** Longest wait of one watch. */
const WATCH_TIMEOUT_MS = 10_000
/** Wait and time limit of a check, which asks for changes that an open watch should have delivered. */
const CHECK_WAIT_MS = 1
const CHECK_TIMEOUT_MS = 600
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
  private hasOpenWatch = false
  private isChecking = false
  private readAtMs = -Infinity
  private provenAtMs = -Infinity
  private othersConfirmedAtMs = -Infinity
  private confirmedBy: 'nobody' | 'store' | 'peer' = 'nobody'

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

  /** Whether a watch is open, which delivers changes unless its connection has died. */
  get isWatching (): boolean {
    return this.hasOpenWatch && this.failures === 0
  }

  /** Monotonic time at which a response of the store last proved that it held nothing newer; -Infinity if none did. */
  get ownConfirmedAtMs (): number {
    return this.provenAtMs
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
    this.storeVersion = undefined
    this.watchAbort.abort()
  }

  /** Asks the store for changes that the open watch has not delivered: its connection may have died unnoticed. Does nothing without an open watch. */
  readonly check = (): void => {
    const { storeVersion } = this
    if (!this.isWatching || this.isChecking || storeVersion === undefined) return
    this.isChecking = true
    this.checkAfter(storeVersion)
      .catch((error: unknown) => { this.options.log.error('checking the configuration watch failed', { error: String(error) }) })
      .finally(() => { this.isChecking = false })
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
    const startedAtMs = this.options.clock.monotonicMs()
    const read = await this.options.store.readConfig()
    if (read.isErr()) return this.onStoreFailure(read.error)
    this.onStoreRecovered()
    this.recordProof(startedAtMs)
    this.storeVersion = read.value.storeVersion
    this.applySnapshot(read.value, 'store')
    return 0
  }

  private async watch (afterVersion: number): Promise<number> {
    const { store, clock } = this.options
    this.watchAbort = new AbortController()
    const { signal } = this.watchAbort
    const startedAtMs = clock.monotonicMs()
    this.hasOpenWatch = true
    const watched = await store.watchConfig(afterVersion, WATCH_TIMEOUT_MS, signal)
    this.hasOpenWatch = false
    if (signal.aborted) return 0
    if (watched.isErr()) {
      // A read finds changes made during the failure, even if the store's history was lost.
      this.storeVersion = undefined
      return this.onStoreFailure(watched.error)
    }
    this.onStoreRecovered()
    if (watched.value.type !== 'history-lost') this.recordProof(this.provenByWatch(watched.value, startedAtMs))
    return this.applyWatchResult(watched.value) ? MIN_WATCH_INTERVAL_MS : 0
  }

  /** The store answers a watch without changes at the end of its wait, and any other one at a time that is not known. */
  private provenByWatch ({ type }: ConfigWatchResult, startedAtMs: number): number {
    const waitedUntilMs = startedAtMs + WATCH_TIMEOUT_MS
    return type === 'unchanged' && this.options.clock.monotonicMs() >= waitedUntilMs ? waitedUntilMs : startedAtMs
  }

  /** Applies what a watch or a check found; returns false if the configuration has to be read, since the store's history is gone. */
  private applyWatchResult (result: ConfigWatchResult): boolean {
    if (result.type === 'history-lost') {
      this.options.log.info('history of the store lost; reading the configuration again')
      this.storeVersion = undefined
      return false
    }
    this.storeVersion = result.type === 'reading' ? result.snapshot.storeVersion : result.storeVersion
    if (result.type === 'reading') this.applySnapshot(result.snapshot, 'store')
    return true
  }

  private async checkAfter (afterVersion: number): Promise<void> {
    const { store, clock, log } = this.options
    const timeout = new AbortController()
    const cancelTimeout = clock.after(CHECK_TIMEOUT_MS, () => { timeout.abort() })
    const startedAtMs = clock.monotonicMs()
    const checked = await store.watchConfig(afterVersion, CHECK_WAIT_MS, timeout.signal)
    cancelTimeout()
    if (checked.isErr()) {
      log.debug('no response to a check of the configuration watch', { detail: checked.error.message, versionInForce: this.version })
      return
    }
    const hasWatchProgressed = this.storeVersion !== afterVersion
    if (hasWatchProgressed) return
    if (checked.value.type !== 'history-lost') this.recordProof(startedAtMs)
    if (checked.value.type === 'unchanged') return
    log.info('change found that the open watch has not delivered; watching again', { versionInForce: this.version, found: checked.value.type })
    this.applyWatchResult(checked.value)
    this.watchAbort.abort()
  }

  private recordProof (atMs: number): void {
    this.provenAtMs = Math.max(this.provenAtMs, atMs)
    this.recordConfirmation('store')
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
  }
}
