/** A line of a daemon's log. */
export interface LogLine {
  /** Timestamp, ISO 8601. */
  readonly at: string
  readonly instance: string
  readonly part: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/**
 * Parses a line of a daemon's log.
 *
 * @param text - Line; text before its JSON object is ignored.
 * @returns The line; undefined if it holds no JSON object, since the files may also contain lines of other programs.
 */
export const parseLogLine = (text: string): LogLine | undefined => {
  const begin = text.indexOf('{')
  if (begin < 0) return undefined
  try {
    const { at, instance, part, message, level: _, ...fields } = JSON.parse(text.slice(begin)) as Record<string, unknown>
    return { at: String(at ?? ''), instance: String(instance ?? ''), part: String(part ?? ''), message: String(message ?? ''), fields }
  } catch {
    return undefined
  }
}

/** Orders log lines by time. */
export const compareByTime = (a: Pick<LogLine, 'at'>, b: Pick<LogLine, 'at'>): number => a.at < b.at ? -1 : a.at > b.at ? 1 : 0
