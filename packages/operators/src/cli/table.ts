const GAP = '  '

/**
 * Writes rows with aligned columns.
 *
 * @param heads - Names of the columns.
 * @param rows - Cells, one for each column.
 * @returns Lines without trailing spaces.
 */
export const renderTable = (heads: readonly string[], rows: ReadonlyArray<readonly string[]>): string => {
  const lines = [heads, ...rows]
  const widths = heads.map((_, column) => Math.max(...lines.map(line => (line[column] ?? '').length)))
  return lines
    .map(line => widths.map((width, column) => (line[column] ?? '').padEnd(width)).join(GAP).trimEnd())
    .join('\n')
}

const DIGEST_CHARACTERS = 12

/** Shortens a digest for tables. */
export const shortDigest = (digest: string): string => digest === '' ? '-' : digest.slice(0, DIGEST_CHARACTERS)
