import type { JournalEntry } from '../target/journal.js'
import type { SoakRecord } from './workload.js'
import { groupBy } from './groups.js'

/** A broken promise, with everything that was seen of the work. */
export interface SoakBreach {
  readonly kind: 'wrong-answer' | 'duplicate-run' | 'false-not-run'
  readonly key: string
  readonly records: readonly SoakRecord[]
  readonly runs: readonly JournalEntry[]
}

const keyOfRun = (runId: string): string => runId.slice(0, runId.lastIndexOf('.'))

type Check = (records: readonly SoakRecord[], runs: readonly JournalEntry[]) => boolean

const isBreached: Readonly<Record<SoakBreach['kind'], Check>> = {
  'wrong-answer': records => records.some(record => record.verdict === 'ran' && record.status === 200 && !record.isRight),
  'duplicate-run': (records, runs) => records.some(record => !record.isIdempotent) && runs.length > 1,
  'false-not-run': (records, runs) => {
    const ran = new Set(runs.map(run => run.runId))
    return records.some(record => record.verdict === 'not-run' && ran.has(record.runId))
  }
}

/**
 * Compares what callers were told with what targets ran, work by work.
 *
 * @param records - What the callers got.
 * @param journal - What the targets began to run.
 * @returns Every broken promise.
 */
export const findBreaches = (records: readonly SoakRecord[], journal: readonly JournalEntry[]): readonly SoakBreach[] => {
  const runsByKey = groupBy(journal, entry => keyOfRun(entry.runId))
  return [...groupBy(records, record => record.key)].flatMap(([key, group]) => {
    const runs = runsByKey.get(key) ?? []
    return Object.entries(isBreached)
      .filter(([, check]) => check(group, runs))
      .map(([kind]) => ({ kind: kind as SoakBreach['kind'], key, records: group, runs }))
  })
}
