import { z } from 'zod'

/** Configuration status that a daemon publishes to its peers in heartbeats. */
export interface InstanceStatus {
  /** Version of the loaded configuration; 0 when none is loaded. */
  readonly configVersion: number
  /** SHA-256 of the loaded document, in hexadecimal; empty when none is loaded. */
  readonly configDigest: string
  /** Whether this daemon accepts traffic. */
  readonly isReady: boolean
}

/** Status of a daemon without a configuration. */
export const EMPTY_STATUS: InstanceStatus = { configVersion: 0, configDigest: '', isReady: false }

/** Latest status of this daemon; the configuration follower sets it and heartbeats publish it. */
export class LocalStatus {
  private status: InstanceStatus = EMPTY_STATUS
  private readonly listeners = new Set<(status: InstanceStatus) => void>()

  private constructor () {}

  /**
   * Creates the status of a daemon that has not loaded a configuration.
   *
   * @returns The status.
   */
  static create (): LocalStatus {
    return new LocalStatus()
  }

  /** The latest status. */
  readonly current = (): InstanceStatus => this.status

  /**
   * Replaces the status.
   *
   * @param status - New status; listeners are called only when it differs from the current one.
   */
  readonly set = (status: InstanceStatus): void => {
    const { configVersion, configDigest, isReady } = this.status
    if (status.configVersion === configVersion && status.configDigest === configDigest && status.isReady === isReady) return
    this.status = status
    for (const listener of this.listeners) listener(status)
  }

  /**
   * Subscribes to changes of the status.
   *
   * @param listener - Called after each change.
   * @returns A function that unsubscribes.
   */
  readonly onChange = (listener: (status: InstanceStatus) => void): (() => void) => {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }
}

/** Schema of the gossip entries of topic `config`, whose key is the environment's name. */
export const configAnnouncementSchema = z.object({
  environment: z.string(),
  version: z.int().min(1),
  /** SHA-256 of the document's bytes, in hexadecimal. */
  digest: z.string().regex(/^[0-9a-f]{64}$/)
}).readonly()

/** Announces to the other daemons that a configuration version was promoted. */
export type ConfigAnnouncement = z.infer<typeof configAnnouncementSchema>
