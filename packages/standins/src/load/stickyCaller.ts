import { Client } from 'undici'

/** Responses on one kept-alive connection until it was closed. */
export interface StickyResult {
  readonly answered: number
  /** Requests without a complete response. */
  readonly broken: number
  /** Whether the last response had `Connection: close`. */
  readonly isCloseAnnounced: boolean
}

/** Destination and pacing of a caller that stays on one connection. */
export interface StickyOptions {
  readonly baseUrl: string
  readonly path: string
  /** Waits before the next request. */
  readonly pause: () => Promise<void>
  /** Returns the headers of a request by its number. */
  readonly headers: (index: number) => Readonly<Record<string, string>>
  /** Stops the loop after the exchange in progress. */
  readonly signal: AbortSignal
}

/**
 * Sends requests sequentially on one kept-alive connection until the daemon closes it.
 *
 * @param options - Destination and pacing.
 * @returns Counts for this connection.
 */
export const runStickyCaller = async (options: StickyOptions): Promise<StickyResult> => {
  const client = new Client(options.baseUrl, { pipelining: 1, keepAliveTimeout: 600_000, keepAliveMaxTimeout: 600_000 })
  const closed = new AbortController()
  client.on('disconnect', () => { closed.abort() })
  let [answered, broken, isCloseAnnounced] = [0, 0, false]
  while (!closed.signal.aborted && !options.signal.aborted) {
    try {
      const response = await client.request({ method: 'GET', path: options.path, headers: options.headers(answered) })
      await response.body.dump()
      answered++
      isCloseAnnounced = response.headers.connection === 'close'
      await options.pause()
    } catch {
      broken++
    }
  }
  await client.destroy()
  return { answered, broken, isCloseAnnounced }
}
