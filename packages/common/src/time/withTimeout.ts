import type { Clock } from './clock.js'

/** Abort reason; passing a constant avoids the stack trace of the default error. */
const ABORT_REASON = 'ended'

/** Result of waiting for a promise with a timeout. */
export type TimeoutResult<T> = { readonly type: 'done', readonly value: T } | { readonly type: 'timeout' }

/**
 * Waits for a promise with a timeout on the injected clock.
 *
 * @param clock - Source of time.
 * @param timeoutMs - Longest wait.
 * @param work - Promise to wait for; the timeout does not cancel it.
 * @returns The value, or that the timeout expired first.
 */
export const withTimeout = async <T>(clock: Clock, timeoutMs: number, work: Promise<T>): Promise<TimeoutResult<T>> => {
  const timerController = new AbortController()
  const timeout = clock.sleepMs(timeoutMs, timerController.signal).then((): TimeoutResult<T> => ({ type: 'timeout' }))
  try {
    return await Promise.race([work.then((value): TimeoutResult<T> => ({ type: 'done', value })), timeout])
  } finally {
    timerController.abort(ABORT_REASON)
  }
}
