import type { CallerResult } from '../load/caller.js'
import type { JournalEntry } from '../target/journal.js'

/** What the callers got and the targets ran. */
export interface Observed {
  readonly results: readonly CallerResult[]
  readonly journal: readonly JournalEntry[]
  /** Ids of requests that must run at most once. */
  readonly onceOnly: ReadonlySet<string>
}

/** Breaches of the promises to callers. */
export interface Verified {
  readonly wrongAnswers: number
  readonly duplicateRuns: number
  readonly falseNotRun: number
}

/**
 * Compares what callers were told with what targets ran.
 *
 * @param observed - Results, journals and the requests that must run at most once.
 * @returns The number of breaches of each promise.
 */
export const verify = ({ results, journal, onceOnly }: Observed): Verified => {
  const runs = new Map<string, number>()
  for (const entry of journal) runs.set(entry.runId, (runs.get(entry.runId) ?? 0) + 1)
  return {
    wrongAnswers: results.filter(result => result.verdict === 'ran' && result.status === 200 && !result.isRight).length,
    duplicateRuns: [...onceOnly].filter(runId => (runs.get(runId) ?? 0) > 1).length,
    falseNotRun: results.filter(result => result.verdict === 'not-run' && runs.has(result.runId)).length
  }
}
