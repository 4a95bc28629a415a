/** What an answer says of the target's request limit. */
export type NamedLimit =
  | { readonly type: 'none' }
  | { readonly type: 'limited', readonly perSecond: number }
  | { readonly type: 'invalid', readonly reason: string }

const DECIMAL = /^\d+(\.\d+)?$/
/** Longest value that is read; longer ones can't be a sensible rate. */
const MAX_DIGITS = 32

const limitValues = (headers: readonly string[], name: string): readonly string[] =>
  headers.filter((_, index) => index % 2 === 1 && headers[index - 1]?.toLowerCase() === name)

/**
 * Reads the limit that a target names in an answer.
 *
 * @param headers - Header fields of the answer, as alternating names and values.
 * @param name - Name of the limit's header field, in lower case.
 * @returns The limit in requests per second of the whole fleet; `invalid` for several fields, or one that is not a decimal number.
 */
export const parseLimit = (headers: readonly string[], name: string): NamedLimit => {
  const [value, ...others] = limitValues(headers, name)
  if (value === undefined) return { type: 'none' }
  if (others.length > 0) return { type: 'invalid', reason: `expected one field, got ${others.length + 1}` }
  const text = value.trim()
  if (text.length > MAX_DIGITS || !DECIMAL.test(text)) return { type: 'invalid', reason: `expected a decimal number, got ${JSON.stringify(text.slice(0, MAX_DIGITS))}` }
  return { type: 'limited', perSecond: Number(text) }
}
