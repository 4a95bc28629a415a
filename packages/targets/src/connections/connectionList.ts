import type { Clock, Target } from '@lovagehoist/common'
import { openConnection } from './connection.js'
import type { Connection } from './connection.js'

/** Idle connections of one daemon to one target, the most recently used first. */
export class ConnectionList {
  private idle: readonly Connection[] = []

  private constructor (private readonly target: Target, private readonly clock: Clock, private readonly connectTimeoutMs: number) {}

  /**
   * Creates an empty list.
   *
   * @param target - Where connections go.
   * @param clock - Source of time.
   * @param connectTimeoutMs - Limit of connecting.
   * @returns The list.
   */
  static create (target: Target, clock: Clock, connectTimeoutMs: number): ConnectionList {
    return new ConnectionList(target, clock, connectTimeoutMs)
  }

  /** Takes the most recently used idle connection, or opens one. */
  take (): Connection {
    const [first, ...others] = this.idle
    if (first === undefined) return openConnection(this.target, this.clock, this.connectTimeoutMs)
    this.idle = others
    return first
  }

  /** Gives back a connection whose exchange ended whole. */
  giveBack (connection: Connection): void {
    if (connection.client.destroyed || connection.client.closed) return
    const proven = { ...connection, exchanges: connection.exchanges + 1, provenAtMs: this.clock.monotonicMs() }
    this.idle = [proven, ...this.idle]
  }

  /** Destroys idle connections that were opened longer ago than a time. */
  retire (olderThanMs: number): void {
    const limitMs = this.clock.monotonicMs() - olderThanMs
    const old = this.idle.filter(connection => connection.openedAtMs < limitMs)
    this.idle = this.idle.filter(connection => connection.openedAtMs >= limitMs)
    for (const connection of old) connection.client.destroy().catch(() => {})
  }

  /** Number of idle connections. */
  get idleCount (): number {
    return this.idle.length
  }
}
