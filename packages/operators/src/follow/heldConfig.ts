import type { AcceptedConfig, ConfigSource, Invariants, Log } from '@lovagehoist/common'

/** A configuration together with the compressed bytes that other daemons may ask for. */
export interface HeldDocument {
  readonly config: AcceptedConfig
  readonly packed: Uint8Array
}

/** Work that has to be done before a configuration may come into force, such as building tables. */
export type Preparation = (config: AcceptedConfig) => Promise<void>

/** The configuration that this daemon holds; its version only grows. */
export class HeldConfig implements ConfigSource {
  private held: HeldDocument | undefined
  private readonly listeners = new Set<(config: AcceptedConfig) => void>()
  private readonly preparations = new Set<Preparation>()

  private constructor (private readonly invariants: Invariants, private readonly log: Log) {}

  /**
   * Creates a holder of nothing.
   *
   * @param invariants - Asserts that versions only grow.
   * @param log - Receives a line for each version.
   * @returns The holder.
   */
  static create (invariants: Invariants, log: Log): HeldConfig {
    return new HeldConfig(invariants, log)
  }

  readonly current = (): AcceptedConfig | undefined => this.held?.config

  /** Version held; 0 for none. */
  get version (): number {
    return this.held?.config.version ?? 0
  }

  /** Digest held; empty for none. */
  get digest (): string {
    return this.held?.config.digest ?? ''
  }

  /** Compressed bytes of the document held. */
  get packed (): Uint8Array | undefined {
    return this.held?.packed
  }

  readonly onChange = (listener: (config: AcceptedConfig) => void): (() => void) => {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /**
   * Adds work that is awaited before each configuration comes into force.
   *
   * @param preparation - Work; yields often enough not to block requests.
   */
  onPrepare (preparation: Preparation): void {
    this.preparations.add(preparation)
  }

  /**
   * Takes a configuration into force, unless a newer one came meanwhile.
   *
   * @param next - Configuration with its compressed bytes.
   * @returns Whether it is in force now.
   */
  async adopt (next: HeldDocument): Promise<boolean> {
    for (const prepare of this.preparations) await prepare(next.config)
    const { version, digest } = next.config
    if (version <= this.version) return false
    const before = this.version
    this.held = next
    this.invariants.check('version-monotonic', this.version > before, { before, after: this.version })
    this.log.info('configuration in force', { version, digest })
    for (const listener of this.listeners) listener(next.config)
    return true
  }
}
