import type { Clock } from './clock.js'

/** Reason of an abort after the end; a constant costs no stack trace. */
const ENDED = 'ended'

/** Outcome of waiting for a promise with a limit. */
export type TimeoutResult<T> = { readonly type: 'done', readonly value: T } | { readonly type: 'timeout' }

/**
 * Waits for a promise, but no longer than a limit on the injected clock.
 *
 * @param clock - Source of time.
 * @param limitMs - Longest wait.
 * @param work - Promise to wait for; it goes on when the limit passes.
 * @returns The value, or that the limit passed first.
 */
export const withTimeout = async <T>(clock: Clock, limitMs: number, work: Promise<T>): Promise<TimeoutResult<T>> => {
  const stop = new AbortController()
  const timeout = clock.sleepMs(limitMs, stop.signal).then((): TimeoutResult<T> => ({ type: 'timeout' }))
  try {
    return await Promise.race([work.then((value): TimeoutResult<T> => ({ type: 'done', value })), timeout])
  } finally {
    stop.abort(ENDED)
  }
}
