/* eslint-disable no-restricted-globals -- Date parses the timestamps of log lines */
import { compareByTime, parseLogLine } from './logLine.js'
import type { LogLine } from './logLine.js'

export type { LogLine } from './logLine.js'

/** Log lines about one request, in order of time, and its outcome. */
export interface RequestTimeline {
  readonly requestId: string
  /** Lines that name the request. */
  readonly lines: readonly LogLine[]
  /** Lines about the targets that it was sent to, from shortly before it to shortly after. */
  readonly around: readonly LogLine[]
  /** Description of the outcome. */
  readonly ending: string
}

/** Time before and after a request in which a state change of a target may explain its outcome. */
const CONTEXT_WINDOW_MS = 10_000
const OUTCOME_DESCRIPTIONS: Readonly<Record<string, (fields: Readonly<Record<string, unknown>>) => string>> = {
  answered: ({ status, delivery, totalMs }) => `answered by a target with ${String(status)} after ${String(totalMs)} ms (${String(delivery)})`,
  'caller left': ({ afterMs }) => `the caller left after ${String(afterMs)} ms`,
  'answered by the gateway': ({ status, problem, verdict, detail }) => `the gateway answered ${String(status)} (${String(problem)}, ${String(verdict)}): ${String(detail)}`
}

/** Keeps only the first of the lines that several daemons write about the same event. */
const deduplicateEvents = (lines: readonly LogLine[]): readonly LogLine[] => {
  const seen = new Set<string>()
  return lines.filter(({ message, fields }) => {
    const event = `${message} ${String(fields.targetId)} ${String(fields.startedAtMs)}`
    const isFirst = !seen.has(event)
    seen.add(event)
    return isFirst
  })
}

/**
 * Collects the log lines about a request from the logs of any number of daemons.
 *
 * @param text - Log lines; text before the JSON object of a line is ignored.
 * @param requestId - Id of the request.
 * @returns The timeline; `lines` is empty when no log line names the request.
 */
export const collectRequestTimeline = (text: string, requestId: string): RequestTimeline => {
  const allLines = text.split('\n').flatMap(line => {
    const parsed = parseLogLine(line)
    return parsed === undefined ? [] : [parsed]
  })
  const lines = allLines.filter(({ fields }) => fields.requestId === requestId).sort(compareByTime)
  const targetIds = new Set(lines.flatMap(({ fields }) => typeof fields.targetId === 'string' ? [fields.targetId] : []))
  const firstMs = Date.parse(lines[0]?.at ?? '')
  const lastMs = Date.parse(lines.at(-1)?.at ?? '')
  const around = deduplicateEvents(allLines.filter(({ at, part, fields }) =>
    part === 'targets' && targetIds.has(String(fields.targetId)) && Date.parse(at) >= firstMs - CONTEXT_WINDOW_MS && Date.parse(at) <= lastMs + CONTEXT_WINDOW_MS).sort(compareByTime))
  const last = lines.findLast(({ message }) => Object.hasOwn(OUTCOME_DESCRIPTIONS, message))
  const ending = last === undefined ? 'no answer is in these logs' : OUTCOME_DESCRIPTIONS[last.message]?.(last.fields) ?? ''
  return { requestId, lines, around, ending }
}
