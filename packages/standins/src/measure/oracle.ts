import type { CallerResult } from '../load/caller.js'
import type { JournalEntry } from '../target/journal.js'

/** Responses that the callers received and requests that the targets ran. */
export interface ObservedRequests {
  readonly results: readonly CallerResult[]
  readonly journal: readonly JournalEntry[]
  /** Run IDs of the requests that must run at most once. */
  readonly atMostOnceIds: ReadonlySet<string>
}

/** Number of breaches of the guarantees given to callers, by kind. */
export interface GuaranteeBreaches {
  /** Successful responses with the body of another request or a damaged one. */
  readonly wrongAnswers: number
  /** At-most-once requests that ran several times. */
  readonly duplicateRuns: number
  /** Requests reported as not run that a target did run. */
  readonly falseNotRun: number
}

/**
 * Compares the responses that callers received with the requests that targets ran.
 *
 * @param observed - Results of callers, journals of targets and the requests that must run at most once.
 * @returns The number of breaches of each kind.
 */
export const countGuaranteeBreaches = ({ results, journal, atMostOnceIds }: ObservedRequests): GuaranteeBreaches => {
  const runs = new Map<string, number>()
  for (const entry of journal) runs.set(entry.runId, (runs.get(entry.runId) ?? 0) + 1)
  return {
    wrongAnswers: results.filter(result => result.verdict === 'ran' && result.status === 200 && !result.isCorrect).length,
    duplicateRuns: [...atMostOnceIds].filter(runId => (runs.get(runId) ?? 0) > 1).length,
    falseNotRun: results.filter(result => result.verdict === 'not-run' && runs.has(result.runId)).length
  }
}
