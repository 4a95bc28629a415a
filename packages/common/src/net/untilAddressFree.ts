import type { Log } from '../log/log.js'
import type { Clock } from '../time/clock.js'

/** An earlier process on the same address has left within its grace period. */
const MAX_WAIT_MS = 15_000
const RETRY_INTERVAL_MS = 100

const IN_USE = 'EADDRINUSE'

/**
 * Listens on an address, again and again while another process still uses it.
 *
 * @param listen - Tries to listen, with a new socket for each call.
 * @param clock - Source of time.
 * @param log - Receives a line when the address is in use.
 * @returns Result of the first try that succeeds.
 * @throws Error of the last try when the address is not free within 15,000 ms, or any other error of a try.
 */
export const untilAddressFree = async <T>(listen: () => Promise<T>, clock: Clock, log: Log): Promise<T> => {
  const startedAtMs = clock.monotonicMs()
  for (let tries = 1; ; tries++) {
    try {
      const listening = await listen()
      if (tries > 1) log.info('address is free', { waitedMs: Math.round(clock.monotonicMs() - startedAtMs) })
      return listening
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== IN_USE || clock.monotonicMs() - startedAtMs >= MAX_WAIT_MS) throw error
      if (tries === 1) log.warn('address in use by another process; waiting for it', { detail: (error as Error).message, maxWaitMs: MAX_WAIT_MS })
      await clock.sleepMs(RETRY_INTERVAL_MS)
    }
  }
}
