const COLUMN_GAP = '  '

/**
 * Renders rows as text with aligned columns.
 *
 * @param headers - Column headers.
 * @param rows - Cells of each row, one for each column.
 * @returns The lines, without trailing spaces.
 */
export const renderTable = (headers: readonly string[], rows: ReadonlyArray<readonly string[]>): string => {
  const lines = [headers, ...rows]
  const widths = headers.map((_, column) => Math.max(...lines.map(line => (line[column] ?? '').length)))
  return lines
    .map(line => widths.map((width, column) => (line[column] ?? '').padEnd(width)).join(COLUMN_GAP).trimEnd())
    .join('\n')
}

const SHORT_DIGEST_LENGTH = 12

/** Shortens a digest for display in a table; an empty one becomes "-". */
export const shortDigest = (digest: string): string => digest === '' ? '-' : digest.slice(0, SHORT_DIGEST_LENGTH)
