import { digestOf, loadDocument } from '@lovagehoist/common'
import type { AcceptedConfig, Clock, ConfigSource, Invariants, Log, Platform } from '@lovagehoist/common'
import { ENVIRONMENTS_TABLE, documentKey, environmentRowSchema } from '../environment/environmentRow.js'
import type { EnvironmentRow } from '../environment/environmentRow.js'

/** What the follower needs. */
export interface ConfigFollowerOptions {
  readonly environment: string
  readonly platform: Platform
  readonly clock: Clock
  readonly log: Log
  readonly invariants: Invariants
  /** Time between two reads of the environment's row. */
  readonly pollMs: number
}

/** Follows the accepted configuration of an environment; versions only grow. */
export class ConfigFollower implements ConfigSource {
  private held: AcceptedConfig | undefined
  private readonly listeners = new Set<(config: AcceptedConfig) => void>()

  private constructor (private readonly options: ConfigFollowerOptions) {}

  /**
   * Creates a follower that holds nothing yet.
   *
   * @param options - Environment, platform and time between reads.
   * @returns The follower.
   */
  static create (options: ConfigFollowerOptions): ConfigFollower {
    return new ConfigFollower(options)
  }

  readonly current = (): AcceptedConfig | undefined => this.held

  readonly onChange = (listener: (config: AcceptedConfig) => void): (() => void) => {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /**
   * Follows the environment's row until stopped.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh()
      await this.options.clock.sleepMs(this.options.pollMs, signal)
    }
  }

  /** Reads the environment's row once and takes a newer document into force. */
  async refresh (): Promise<void> {
    const { table } = this.options.platform
    const found = await table.get(ENVIRONMENTS_TABLE, this.options.environment)
    if (found.isErr() || found.value === undefined) return
    const row = environmentRowSchema.safeParse(found.value.value)
    if (!row.success || row.data.version <= (this.held?.version ?? 0)) return
    const config = await this.fetch(row.data)
    if (config !== undefined) this.adopt(config)
  }

  private async fetch (row: EnvironmentRow): Promise<AcceptedConfig | undefined> {
    const stored = await this.options.platform.objects.get(documentKey(row.digest))
    if (stored.isErr() || stored.value === undefined || digestOf(stored.value) !== row.digest) return undefined
    const loaded = loadDocument(row.digest, Buffer.from(stored.value).toString('utf8'))
    return loaded.isErr() ? undefined : { version: row.version, digest: row.digest, document: loaded.value }
  }

  private adopt (config: AcceptedConfig): void {
    const heldVersion = this.held?.version ?? 0
    if (config.version <= heldVersion) return
    this.options.invariants.check('version-monotonic', config.version > heldVersion, { held: heldVersion, next: config.version })
    this.held = config
    this.options.log.info('configuration in force', { version: config.version, digest: config.digest })
    for (const listener of this.listeners) listener(config)
  }
}
