import { z } from 'zod'

/** What a daemon's heartbeats tell the others about its configuration. */
export interface InstanceStatus {
  /** Version of the configuration held here; 0 while there is none. */
  readonly configVersion: number
  /** SHA-256 of the document held here, in hexadecimal; empty while there is none. */
  readonly configDigest: string
  /** Whether this daemon takes traffic. */
  readonly isReady: boolean
}

/** Status of a daemon that holds no configuration. */
export const EMPTY_STATUS: InstanceStatus = { configVersion: 0, configDigest: '', isReady: false }

/** Latest status of this daemon: the configuration side writes it, heartbeats carry it. */
export class LocalStatus {
  private status: InstanceStatus = EMPTY_STATUS
  private readonly listeners = new Set<(status: InstanceStatus) => void>()

  private constructor () {}

  /**
   * Creates the status of a daemon that holds nothing yet.
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
   * @param status - New status; listeners hear of it only when it differs.
   */
  readonly set = (status: InstanceStatus): void => {
    const { configVersion, configDigest, isReady } = this.status
    if (status.configVersion === configVersion && status.configDigest === configDigest && status.isReady === isReady) return
    this.status = status
    for (const listener of this.listeners) listener(status)
  }

  /**
   * Watches the status.
   *
   * @param listener - Called after each change.
   * @returns Ends the watch.
   */
  readonly onChange = (listener: (status: InstanceStatus) => void): (() => void) => {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }
}

/** Schema of a value of topic `config`, published under the environment's name as key. */
export const configAnnouncementSchema = z.object({
  environment: z.string(),
  version: z.int().min(1),
  /** SHA-256 of the document's bytes, in hexadecimal. */
  digest: z.string().regex(/^[0-9a-f]{64}$/)
}).readonly()

/** Tells other daemons that a version is accepted. */
export type ConfigAnnouncement = z.infer<typeof configAnnouncementSchema>
