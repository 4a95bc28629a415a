/* eslint-disable no-restricted-globals -- Date parses the times of log lines */
/** A line of a daemon's log. */
export interface LogLine {
  /** Time of day, ISO 8601. */
  readonly at: string
  readonly instance: string
  readonly part: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** What is known of one request, in order of time. */
export interface RequestStory {
  readonly requestId: string
  /** Lines that name the request. */
  readonly lines: readonly LogLine[]
  /** Lines on the targets that it was sent to, shortly before and after. */
  readonly around: readonly LogLine[]
  /** How it ended, in a sentence. */
  readonly ending: string
}

/** Time before and after a request in which changes of its targets may be its cause. */
const AROUND_MS = 10_000
const ENDINGS: Readonly<Record<string, (fields: Readonly<Record<string, unknown>>) => string>> = {
  answered: ({ status, delivery, totalMs }) => `answered by a target with ${String(status)} after ${String(totalMs)} ms (${String(delivery)})`,
  'caller left': ({ afterMs }) => `the caller left after ${String(afterMs)} ms`,
  'answered by the gateway': ({ status, problem, verdict, detail }) => `the gateway answered ${String(status)} (${String(problem)}, ${String(verdict)}): ${String(detail)}`
}

const parseLine = (text: string): LogLine | undefined => {
  const begin = text.indexOf('{')
  if (begin < 0) return undefined
  try {
    const { at, instance, part, message, level: _, ...fields } = JSON.parse(text.slice(begin)) as Record<string, unknown>
    return { at: String(at ?? ''), instance: String(instance ?? ''), part: String(part ?? ''), message: String(message ?? ''), fields }
  } catch {
    // Lines of other programs may stand between those of daemons.
    return undefined
  }
}

const byTime = (a: LogLine, b: LogLine): number => a.at < b.at ? -1 : a.at > b.at ? 1 : 0

/** Leaves the first of the lines that many daemons write of one event. */
const firstOfEach = (lines: readonly LogLine[]): readonly LogLine[] => {
  const seen = new Set<string>()
  return lines.filter(({ message, fields }) => {
    const event = `${message} ${String(fields.targetId)} ${String(fields.startedAtMs)}`
    const isFirst = !seen.has(event)
    seen.add(event)
    return isFirst
  })
}

/**
 * Collects the story of a request from the logs of any number of daemons.
 *
 * @param text - Log lines; a prefix before the JSON of a line is passed over.
 * @param requestId - Id of the request.
 * @returns The story; its lines are empty when no daemon wrote of the request.
 */
export const tellRequest = (text: string, requestId: string): RequestStory => {
  const all = text.split('\n').flatMap(line => {
    const parsed = parseLine(line)
    return parsed === undefined ? [] : [parsed]
  })
  const lines = all.filter(({ fields }) => fields.requestId === requestId).sort(byTime)
  const targetIds = new Set(lines.flatMap(({ fields }) => typeof fields.targetId === 'string' ? [fields.targetId] : []))
  const firstMs = Date.parse(lines[0]?.at ?? '')
  const lastMs = Date.parse(lines.at(-1)?.at ?? '')
  const around = firstOfEach(all.filter(({ at, part, fields }) =>
    part === 'targets' && targetIds.has(String(fields.targetId)) && Date.parse(at) >= firstMs - AROUND_MS && Date.parse(at) <= lastMs + AROUND_MS).sort(byTime))
  const last = lines.findLast(({ message }) => Object.hasOwn(ENDINGS, message))
  const ending = last === undefined ? 'no answer is in these logs' : ENDINGS[last.message]?.(last.fields) ?? ''
  return { requestId, lines, around, ending }
}
