import type { JournalEntry } from '../target/journal.js'
import type { SoakRecord } from './workload.js'
import { groupBy } from './groups.js'

/** Breach of a guarantee, with all records and runs of the unit of work concerned. */
export interface SoakBreach {
  readonly kind: 'wrong-answer' | 'duplicate-run' | 'false-not-run'
  readonly key: string
  readonly records: readonly SoakRecord[]
  readonly runs: readonly JournalEntry[]
}

const keyOfRunId = (runId: string): string => runId.slice(0, runId.lastIndexOf('.'))

type BreachCheck = (records: readonly SoakRecord[], runs: readonly JournalEntry[]) => boolean

const breachChecks: Readonly<Record<SoakBreach['kind'], BreachCheck>> = {
  'wrong-answer': records => records.some(record => record.verdict === 'ran' && record.status === 200 && !record.isCorrect),
  'duplicate-run': (records, runs) => records.some(record => !record.isIdempotent) && runs.length > 1,
  'false-not-run': (records, runs) => {
    const ran = new Set(runs.map(run => run.runId))
    return records.some(record => record.verdict === 'not-run' && ran.has(record.runId))
  }
}

/**
 * Compares the outcomes reported to callers with the runs at the targets, one unit of work at a time.
 *
 * @param records - Requests and their outcomes, as callers saw them.
 * @param journal - Requests that the targets began to run.
 * @returns All breaches.
 */
export const findBreaches = (records: readonly SoakRecord[], journal: readonly JournalEntry[]): readonly SoakBreach[] => {
  const runsByKey = groupBy(journal, entry => keyOfRunId(entry.runId))
  return [...groupBy(records, record => record.key)].flatMap(([key, group]) => {
    const runs = runsByKey.get(key) ?? []
    return Object.entries(breachChecks)
      .filter(([, check]) => check(group, runs))
      .map(([kind]) => ({ kind: kind as SoakBreach['kind'], key, records: group, runs }))
  })
}
