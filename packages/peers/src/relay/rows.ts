/** A name followed by numbers, as messages carry them. */
export type Row = readonly [string, ...number[]]

/**
 * Validates rows of a message.
 *
 * @param value - Parsed JSON.
 * @returns The rows.
 * @throws TypeError when the value is not an array of strings followed by finite numbers.
 */
export const decodeRows = (value: unknown): readonly Row[] => {
  if (!Array.isArray(value)) throw new TypeError('rows must be an array')
  for (const row of value as readonly unknown[]) {
    const isRow = Array.isArray(row) && typeof row[0] === 'string' && row.slice(1).every(part => typeof part === 'number' && Number.isFinite(part))
    if (!isRow) throw new TypeError('a row must be a string followed by finite numbers')
  }
  return value as readonly Row[]
}
