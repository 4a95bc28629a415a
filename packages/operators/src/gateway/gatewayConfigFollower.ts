import { backoffMs } from '@lovagehoist/common'
import type { Clock, ConfigSnapshot, GatewayConfig, GatewayStore, Log, PlatformError, Random } from '@lovagehoist/common'

/** What the follower needs. */
export interface GatewayConfigFollowerOptions {
  readonly store: Pick<GatewayStore, 'readConfig' | 'watchConfig'>
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  /** Called with each newer configuration, before it is in force. */
  readonly onConfig: (config: GatewayConfig) => void
}

/** Longest wait of one watch; a silent connection is noticed behind it, if nothing tells of it before. */
const WATCH_MS = 10_000
/** Least time between two watches: quick successions of changes arrive together. */
const LEAST_PAUSE_MS = 250
/** Pauses after failures double from the first to the last. */
const FIRST_RETRY_MS = 250
const LAST_RETRY_MS = 2_000

/** Keeps the newest configuration in force; its version never goes back. */
export class GatewayConfigFollower {
  private config: GatewayConfig | undefined
  private text: string | undefined
  private storeVersion: number | undefined
  private watching = new AbortController()
  private failures = 0
  private refusals = 0

  private constructor (private readonly options: GatewayConfigFollowerOptions) {}

  /**
   * Creates a follower without a configuration.
   *
   * @param options - Store and what is told of changes.
   * @returns The follower.
   */
  static create (options: GatewayConfigFollowerOptions): GatewayConfigFollower {
    return new GatewayConfigFollower(options)
  }

  /** Stored text of the configuration in force, for instances that can't reach the store. */
  readonly currentText = (): string | undefined => this.text

  /** Version in force; 0 while there is none. */
  get version (): number {
    return this.config?.version ?? 0
  }

  /** Configurations that could not be used. */
  get refusedCount (): number {
    return this.refusals
  }

  /**
   * Takes a reading of the store or of another instance.
   *
   * @param reading - Reading; an older version is left out.
   * @param source - Where it comes from, for the log.
   */
  take (reading: ConfigSnapshot, source: 'store' | 'peer'): void {
    const { config, text, error } = reading
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

  /** Gives up a watch that may hang on a connection from before an outage, and reads anew. */
  readonly restart = (): void => {
    this.options.log.info('watch of the configuration begun anew', { versionInForce: this.version })
    this.watching.abort()
  }

  /**
   * Follows the store until stopped.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    while (!signal.aborted) {
      await clock.sleepMs(await this.step(), signal)
    }
  }

  /** One read or watch; returns the pause until the next. */
  private async step (): Promise<number> {
    return this.storeVersion === undefined ? await this.read() : await this.watch(this.storeVersion)
  }

  private async read (): Promise<number> {
    const read = await this.options.store.readConfig()
    if (read.isErr()) return this.failed(read.error)
    this.regained()
    this.storeVersion = read.value.storeVersion
    this.take(read.value, 'store')
    return 0
  }

  private async watch (afterVersion: number): Promise<number> {
    this.watching = new AbortController()
    const { signal } = this.watching
    const watched = await this.options.store.watchConfig(afterVersion, WATCH_MS, signal)
    if (signal.aborted) {
      this.storeVersion = undefined
      return 0
    }
    if (watched.isErr()) {
      // What changed during the failure is found by a read, whatever became of the store's history.
      this.storeVersion = undefined
      return this.failed(watched.error)
    }
    this.regained()
    const result = watched.value
    if (result.type === 'history-lost') {
      this.options.log.info('history of the store lost; reading the configuration again')
      this.storeVersion = undefined
      return 0
    }
    this.storeVersion = result.type === 'reading' ? result.reading.storeVersion : result.storeVersion
    if (result.type === 'reading') this.take(result.reading, 'store')
    return LEAST_PAUSE_MS
  }

  private failed ({ kind, message }: PlatformError): number {
    if (this.failures++ === 0) this.options.log.warn('store lost for the configuration', { kind, detail: message, versionInForce: this.version })
    return backoffMs(this.options.random, this.failures, FIRST_RETRY_MS, LAST_RETRY_MS)
  }

  private regained (): void {
    if (this.failures > 0) this.options.log.info('store regained for the configuration', { failures: this.failures })
    this.failures = 0
  }
}
