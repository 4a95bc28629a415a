import { sha256Hex } from '@lovagehoist/common'
import type { RunVerdict } from '@lovagehoist/common'
import { createResponseBody } from '../target/responseBody.js'
import type { JournalEntry } from '../target/journal.js'
import type { RequestStep } from './fuzzSteps.js'

/** Outcome of a request as the caller observed it. */
export interface FuzzResult {
  readonly runId: string
  readonly step: RequestStep
  /** Idempotency key; undefined when sent without one. */
  readonly key: string | undefined
  readonly sentBody: string
  /** Status of the response; 0 when it was truncated or missing. */
  readonly status: number
  readonly verdict: RunVerdict | undefined
  /** Whether the fleet itself generated the response (`application/problem+json`). */
  readonly isProblem: boolean
  readonly body: Buffer
}

/** Breach of a guarantee to callers (`promise`) or of an internal invariant. */
export interface FuzzBreach {
  readonly promise: 'not-run' | 'at-most-once' | 'whole-answer' | 'verdict' | 'invariant'
  readonly detail: string
}

const countRuns = (journal: readonly JournalEntry[]): ReadonlyMap<string, number> => {
  const runs = new Map<string, number>()
  for (const { runId } of journal) runs.set(runId, (runs.get(runId) ?? 0) + 1)
  return runs
}

const isOwnResponse = (result: FuzzResult, runIds: readonly string[]): boolean =>
  runIds.some(runId => result.body.equals(createResponseBody(runId, sha256Hex(result.sentBody), result.step.responseBytes)))

const groupByIdempotencyKey = (results: readonly FuzzResult[]): ReadonlyMap<string, readonly FuzzResult[]> => {
  const groups = new Map<string, FuzzResult[]>()
  for (const result of results) {
    const groupId = result.key ?? result.runId
    groups.set(groupId, [...groups.get(groupId) ?? [], result])
  }
  return groups
}

/**
 * Compares the responses that callers received with the requests that targets ran.
 *
 * @param results - Outcomes of all requests.
 * @param journal - Journals of all targets.
 * @returns The breaches.
 */
export const findBreaches = (results: readonly FuzzResult[], journal: readonly JournalEntry[]): readonly FuzzBreach[] => {
  const runs = countRuns(journal)
  const breaches: FuzzBreach[] = []
  for (const [groupId, group] of groupByIdempotencyKey(results)) {
    const runIds = group.map(({ runId }) => runId)
    const runCount = runIds.reduce((sum, runId) => sum + (runs.get(runId) ?? 0), 0)
    if (runCount > 1 && group[0]?.step.kind !== 'read') breaches.push({ promise: 'at-most-once', detail: `${groupId} ran ${runCount} times` })
    for (const result of group) {
      const detail = `${result.runId}: ${result.status} ${String(result.verdict)}`
      if (result.verdict === 'not-run' && runs.has(result.runId)) breaches.push({ promise: 'not-run', detail })
      if (result.status !== 0 && result.verdict === undefined) breaches.push({ promise: 'verdict', detail })
      if (result.status !== 0 && !result.isProblem && !isOwnResponse(result, runIds)) breaches.push({ promise: 'whole-answer', detail })
    }
  }
  return breaches
}
