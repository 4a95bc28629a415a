import type { EnvironmentDocument } from '../document/schema.js'

/** A document that won a promotion, as an instance holds it. */
export interface AcceptedConfig {
  /** Grows by one with each promotion in an environment. */
  readonly version: number
  /** SHA-256 of the document's bytes, in hexadecimal. */
  readonly digest: string
  readonly document: EnvironmentDocument
}

/** The configuration in force on this instance. */
export interface ConfigSource {
  /** The configuration in force; undefined until one is established. */
  readonly current: () => AcceptedConfig | undefined
  /**
   * Watches for a newer configuration.
   *
   * @param listener - Called after each change, with a version above all earlier ones.
   * @returns Ends the watch.
   */
  readonly onChange: (listener: (config: AcceptedConfig) => void) => () => void
  /**
   * Adds work that is awaited before each configuration comes into force, such as building tables.
   *
   * @param prepare - Work; yields often enough not to hold requests up.
   */
  readonly onPrepare?: (prepare: (config: AcceptedConfig) => Promise<void>) => void
}
