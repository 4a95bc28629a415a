import { Client } from 'undici'
import type { Clock, Target } from '@lovagehoist/common'

/** One connection to a target; carries one exchange at a time. */
export interface Connection {
  readonly client: Client
  readonly openedAtMs: number
  /** Exchanges that ended whole on this connection. */
  readonly exchanges: number
  /** Monotonic time of the last whole exchange. */
  readonly provenAtMs: number
}

/** Idle connections are closed before targets close theirs. */
const KEEP_ALIVE_MS = 60_000

/**
 * Opens a connection; the socket is connected at the first exchange.
 *
 * @param target - Where to connect.
 * @param clock - Source of time.
 * @param connectTimeoutMs - Limit of connecting.
 * @returns The connection.
 */
export const openConnection = (target: Target, clock: Clock, connectTimeoutMs: number): Connection => {
  const client = new Client(`http://${target.host}:${target.port}`, {
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: { timeout: connectTimeoutMs }
  })
  const nowMs = clock.monotonicMs()
  return { client, openedAtMs: nowMs, exchanges: 0, provenAtMs: nowMs }
}
