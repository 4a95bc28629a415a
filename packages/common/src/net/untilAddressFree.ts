import type { Log } from '../log/log.js'
import type { Clock } from '../time/clock.js'

const MIN_LIMIT_MS = 15_000
/** An earlier process on the same address is killed at the end of its grace period, and may have been stopped a moment later than this one started. */
const GRACE_MARGIN_MS = 5_000
const RETRY_INTERVAL_MS = 100

/** In use by an earlier process, or not yet assigned to this machine. */
const PASSING_ERRORS: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL'])

/** What waiting for an address depends on. */
export interface AddressWait {
  readonly clock: Clock
  /** Receives a line when the address can't be used yet. */
  readonly log: Log
  /** Ends the wait when the process is stopped. */
  readonly stopSignal: AbortSignal
  /** Time after which an address that is still in use ends the start. */
  readonly maxWaitMs: number
}

/** Returns the time within which an earlier process has left its addresses. */
export const addressWaitMs = (graceMs: number): number => Math.max(MIN_LIMIT_MS, graceMs + GRACE_MARGIN_MS)

/**
 * Listens on an address, again and again while another process still uses it or this machine does not have it yet.
 *
 * @param listen - Tries to listen, with a new socket for each call.
 * @param wait - Clock, log, stop signal and limit.
 * @returns Result of the first try that succeeds; undefined when the process is stopped before.
 * @throws Error of the last try when the address is not free within the limit, or any other error of a try.
 */
export const untilAddressFree = async <T>(listen: () => Promise<T>, { clock, log, stopSignal, maxWaitMs }: AddressWait): Promise<T | undefined> => {
  const startedAtMs = clock.monotonicMs()
  for (let tries = 1; !stopSignal.aborted; tries++) {
    try {
      const listening = await listen()
      if (tries > 1) log.info('address is free', { waitedMs: Math.round(clock.monotonicMs() - startedAtMs) })
      return listening
    } catch (error) {
      if (!PASSING_ERRORS.has((error as NodeJS.ErrnoException).code) || clock.monotonicMs() - startedAtMs >= maxWaitMs) throw error
      if (tries === 1) log.warn('address in use by another process, or not assigned yet; waiting for it', { detail: (error as Error).message, maxWaitMs })
      await clock.sleepMs(RETRY_INTERVAL_MS, stopSignal)
    }
  }
  return undefined
}
