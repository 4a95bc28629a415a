import type { EnvironmentDocument } from '../document/schema.js'

/** A promoted configuration document as an instance holds it. */
export interface AcceptedConfig {
  /** Increases by one with each promotion in an environment. */
  readonly version: number
  /** SHA-256 of the document's bytes, in hexadecimal. */
  readonly digest: string
  readonly document: EnvironmentDocument
}

/** Provides the active configuration of this instance and notifies of changes. */
export interface ConfigSource {
  /** The active configuration; undefined until the first one is loaded. */
  readonly current: () => AcceptedConfig | undefined
  /**
   * Subscribes to newer configurations.
   *
   * @param listener - Called after each change; versions only increase.
   * @returns A function that unsubscribes.
   */
  readonly onChange: (listener: (config: AcceptedConfig) => void) => () => void
  /**
   * Registers work that is awaited before each new configuration becomes active, such as building routing tables.
   *
   * @param prepare - The work; it must yield to the event loop often enough not to delay requests.
   */
  readonly onPrepare?: (prepare: (config: AcceptedConfig) => Promise<void>) => void
}
