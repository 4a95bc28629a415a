import { sha256Hex } from '@lovagehoist/common'
import type { RunVerdict } from '@lovagehoist/common'
import { answerBody } from '../target/answerBody.js'
import type { JournalEntry } from '../target/journal.js'
import type { RequestStep } from './fuzzSteps.js'

/** A request as the caller saw it. */
export interface FuzzResult {
  readonly runId: string
  readonly step: RequestStep
  /** Key that it was sent with; undefined for none. */
  readonly key: string | undefined
  readonly sentBody: string
  /** Status; 0 when the answer broke or never came. */
  readonly status: number
  readonly verdict: RunVerdict | undefined
  readonly isProblem: boolean
  readonly body: Buffer
}

/** One breach of a promise. */
export interface FuzzBreach {
  readonly promise: 'not-run' | 'at-most-once' | 'whole-answer' | 'verdict' | 'invariant'
  readonly detail: string
}

const countRuns = (journal: readonly JournalEntry[]): ReadonlyMap<string, number> => {
  const runs = new Map<string, number>()
  for (const { runId } of journal) runs.set(runId, (runs.get(runId) ?? 0) + 1)
  return runs
}

const isOwnAnswer = (result: FuzzResult, runIds: readonly string[]): boolean =>
  runIds.some(runId => result.body.equals(answerBody(runId, sha256Hex(result.sentBody), result.step.answerBytes)))

const groupByKey = (results: readonly FuzzResult[]): ReadonlyMap<string, readonly FuzzResult[]> => {
  const groups = new Map<string, FuzzResult[]>()
  for (const result of results) {
    const name = result.key ?? result.runId
    groups.set(name, [...groups.get(name) ?? [], result])
  }
  return groups
}

/**
 * Compares what callers were told with what targets ran.
 *
 * @param results - All requests.
 * @param journal - Journals of all targets.
 * @returns The breaches.
 */
export const findBreaches = (results: readonly FuzzResult[], journal: readonly JournalEntry[]): readonly FuzzBreach[] => {
  const runs = countRuns(journal)
  const breaches: FuzzBreach[] = []
  for (const [name, group] of groupByKey(results)) {
    const runIds = group.map(({ runId }) => runId)
    const total = runIds.reduce((sum, runId) => sum + (runs.get(runId) ?? 0), 0)
    if (total > 1 && group[0]?.step.kind !== 'read') breaches.push({ promise: 'at-most-once', detail: `${name} ran ${total} times` })
    for (const result of group) {
      const detail = `${result.runId}: ${result.status} ${String(result.verdict)}`
      if (result.verdict === 'not-run' && runs.has(result.runId)) breaches.push({ promise: 'not-run', detail })
      if (result.status !== 0 && result.verdict === undefined) breaches.push({ promise: 'verdict', detail })
      if (result.status !== 0 && !result.isProblem && !isOwnAnswer(result, runIds)) breaches.push({ promise: 'whole-answer', detail })
    }
  }
  return breaches
}
