import type { AcceptedConfig, ConfigSource, Invariants, Log } from '@lovagehoist/common'

/** A configuration with its compressed document, which other daemons may fetch. */
export interface HeldDocument {
  readonly config: AcceptedConfig
  readonly packed: Uint8Array
}

/** Work to be completed before a configuration is put in force, such as building lookup tables. */
export type PrepareHook = (config: AcceptedConfig) => Promise<void>

/** Holds the configuration in force on this daemon; its version only grows. */
export class HeldConfig implements ConfigSource {
  private held: HeldDocument | undefined
  private readonly listeners = new Set<(config: AcceptedConfig) => void>()
  private readonly prepareHooks = new Set<PrepareHook>()

  private constructor (private readonly invariants: Invariants, private readonly log: Log) {}

  /**
   * Creates a holder without a configuration.
   *
   * @param invariants - Asserts that versions only grow.
   * @param log - Receives a line for each version put in force.
   * @returns The holder.
   */
  static create (invariants: Invariants, log: Log): HeldConfig {
    return new HeldConfig(invariants, log)
  }

  readonly current = (): AcceptedConfig | undefined => this.held?.config

  /** Held version; 0 for none. */
  get version (): number {
    return this.held?.config.version ?? 0
  }

  /** Digest of the held document; empty for none. */
  get digest (): string {
    return this.held?.config.digest ?? ''
  }

  /** Compressed bytes of the held document. */
  get packed (): Uint8Array | undefined {
    return this.held?.packed
  }

  readonly onChange = (listener: (config: AcceptedConfig) => void): (() => void) => {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /**
   * Adds a hook that is awaited before each configuration is put in force.
   *
   * @param hook - Has to yield to the event loop often enough not to block requests.
   */
  onPrepare (hook: PrepareHook): void {
    this.prepareHooks.add(hook)
  }

  /**
   * Runs the hooks and puts a configuration in force, unless the same or a newer version is in force by then.
   *
   * @param next - Configuration with its compressed bytes.
   * @returns Whether it was put in force.
   */
  async adopt (next: HeldDocument): Promise<boolean> {
    for (const prepare of this.prepareHooks) await prepare(next.config)
    const { version, digest } = next.config
    if (version <= this.version) return false
    const previousVersion = this.version
    this.held = next
    this.invariants.check('version-monotonic', this.version > previousVersion, { before: previousVersion, after: this.version })
    this.log.info('configuration in force', { version, digest })
    for (const listener of this.listeners) listener(next.config)
    return true
  }
}
