import type { JournalEntry } from '../target/journal.js'

/** Period in which a target was made faulty, on the wall clock. */
export interface FaultPeriod {
  readonly targetId: string
  readonly fromMs: number
  readonly toMs: number
}

/** Time after its recovery in which a target may still be ejected for earlier failures. */
const EJECTION_GRACE_MS = 10_000
/** Time without requests at the end of a fault period that shows that the target is out of service. */
const MIN_IDLE_MS = 1_000

/**
 * Creates a predicate that tells whether a target was faulty at a time or shortly before.
 *
 * @param periods - Fault periods of all targets.
 * @returns The predicate.
 */
export const createFaultPredicate = (periods: readonly FaultPeriod[]) => (targetId: string, atMs: number): boolean =>
  periods.some(period => period.targetId === targetId && atMs >= period.fromMs && atMs < period.toMs + EJECTION_GRACE_MS)

/**
 * Returns the time from the first request that a faulty target failed to the last request that it received.
 *
 * @param journal - Requests that targets started to run.
 * @param period - Fault period, too short for a trial request to the ejected target.
 * @returns The time in milliseconds; null when the target failed no request or still received requests at the end of the period.
 */
export const detectionMsOf = (journal: readonly JournalEntry[], { targetId, fromMs, toMs }: FaultPeriod): number | null => {
  const entries = journal.filter(entry => entry.targetId === targetId && entry.atMs >= fromMs && entry.atMs < toMs)
  const firstFailureMs = Math.min(...entries.filter(entry => entry.status !== 200).map(entry => entry.atMs))
  const lastMs = Math.max(...entries.map(entry => entry.atMs))
  return Number.isFinite(firstFailureMs) && lastMs < toMs - MIN_IDLE_MS ? lastMs - firstFailureMs : null
}

/** Number of requests that a faulty target ran, and of those that it failed. */
export interface FaultyTargetRequests {
  readonly tries: number
  readonly failures: number
}

/**
 * Counts the requests that a target ran while it was faulty.
 *
 * @param journal - Requests that targets started to run.
 * @param period - Fault period of the target.
 * @returns All requests (`tries`) and the failed ones.
 */
export const countRequestsDuringFault = (journal: readonly JournalEntry[], { targetId, fromMs, toMs }: FaultPeriod): FaultyTargetRequests => {
  const entries = journal.filter(entry => entry.targetId === targetId && entry.atMs >= fromMs && entry.atMs < toMs)
  return { tries: entries.length, failures: entries.filter(entry => entry.status !== 200).length }
}
