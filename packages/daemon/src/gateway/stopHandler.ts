import type { Log } from '@lovagehoist/common'

/** A process that can stop gracefully. */
export interface Drainable {
  readonly drain: () => Promise<void>
}

/** Passes a request to stop on to the daemon, also one that arrives while the daemon is still starting. */
export class StopHandler {
  private daemon: Drainable | undefined
  private isRequested = false

  private constructor (private readonly log: Log) {}

  /**
   * Creates a handler without a daemon.
   *
   * @param log - Log for drains that fail.
   * @returns The handler.
   */
  static create (log: Log): StopHandler {
    return new StopHandler(log)
  }

  /** Drains the daemon, now or as soon as it has started. */
  readonly request = (): void => {
    this.isRequested = true
    this.daemon?.drain().catch((error: unknown) => { this.log.error('drain failed', { error: String(error) }) })
  }

  /** Sets the daemon once it serves requests. */
  attach (daemon: Drainable): void {
    this.daemon = daemon
    if (this.isRequested) this.request()
  }
}
