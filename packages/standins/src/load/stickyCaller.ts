import { Client } from 'undici'

/** What a sticky caller saw until its connection was closed. */
export interface StickyResult {
  readonly answered: number
  /** Requests that had no whole answer. */
  readonly cut: number
  /** Whether the last answer announced that the connection closes. */
  readonly isAnnounced: boolean
}

/** Target of a sticky caller. */
export interface StickyOptions {
  readonly baseUrl: string
  readonly path: string
  /** Waits before the next request. */
  readonly pause: () => Promise<void>
  /** Header fields of each request, by its number. */
  readonly headers: (index: number) => Readonly<Record<string, string>>
  /** Ends the loop after the exchange in progress. */
  readonly signal: AbortSignal
}

/**
 * Sends requests one after another on one kept-alive connection until the daemon closes it.
 *
 * @param options - Where to send.
 * @returns Counts of this connection.
 */
export const runStickyCaller = async (options: StickyOptions): Promise<StickyResult> => {
  const client = new Client(options.baseUrl, { pipelining: 1, keepAliveTimeout: 600_000, keepAliveMaxTimeout: 600_000 })
  const closed = new AbortController()
  client.on('disconnect', () => { closed.abort() })
  let [answered, cut, isAnnounced] = [0, 0, false]
  while (!closed.signal.aborted && !options.signal.aborted) {
    try {
      const reply = await client.request({ method: 'GET', path: options.path, headers: options.headers(answered) })
      await reply.body.dump()
      answered++
      isAnnounced = reply.headers.connection === 'close'
      await options.pause()
    } catch {
      cut++
    }
  }
  await client.destroy()
  return { answered, cut, isAnnounced }
}
