/** Rest that a target asks for in an answer. */
export type RequestedRest =
  | { readonly type: 'none' }
  | { readonly type: 'rest', readonly durationMs: number }
  | { readonly type: 'invalid', readonly reason: string }

const RETRY_AFTER = 'retry-after'
const SECONDS = /^\d+(\.\d+)?$/
/** Longest value that is read; longer ones can't be a sensible duration. */
const MAX_DIGITS = 32
/** Longest rest that is granted. */
const MAX_REST_MS = 86_400_000
const MS_PER_SECOND = 1_000

/**
 * Reads the rest that a target asks for.
 *
 * @param headers - Header fields of the answer, as alternating names and values.
 * @returns The longest of the durations that can be read, a day at most; `invalid` when there are fields, but none that is a decimal number of seconds.
 */
export const parseRest = (headers: readonly string[]): RequestedRest => {
  const values = headers.filter((_, index) => index % 2 === 1 && headers[index - 1]?.toLowerCase() === RETRY_AFTER).map(value => value.trim())
  const durationsMs = values.filter(value => value.length <= MAX_DIGITS && SECONDS.test(value)).map(value => Number(value) * MS_PER_SECOND)
  if (durationsMs.length > 0) return { type: 'rest', durationMs: Math.min(MAX_REST_MS, Math.max(...durationsMs)) }
  const [first] = values
  return first === undefined ? { type: 'none' } : { type: 'invalid', reason: `expected a decimal number of seconds, got ${JSON.stringify(first.slice(0, MAX_DIGITS))}` }
}
