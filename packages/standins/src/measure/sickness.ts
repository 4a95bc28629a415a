import type { JournalEntry } from '../target/journal.js'

/** One time in which a target was sick. */
export interface Sickness {
  readonly targetId: string
  readonly fromMs: number
  readonly toMs: number
}

/** Time after its recovery in which a target may still be taken out for what it did. */
const AFTERMATH_MS = 10_000
/** Silence at the end of a sickness that shows that the target gets no work. */
const QUIET_MS = 1_000

/**
 * Tells whether a target was sick at a time or shortly before.
 *
 * @param sicknesses - Times in which targets were sick.
 * @returns The test.
 */
export const sicknessTest = (sicknesses: readonly Sickness[]) => (targetId: string, atMs: number): boolean =>
  sicknesses.some(sickness => sickness.targetId === targetId && atMs >= sickness.fromMs && atMs < sickness.toMs + AFTERMATH_MS)

/**
 * Time from the first real request that a sick target failed to the last one that it got.
 *
 * @param journal - Everything that targets began to run.
 * @param sickness - Time in which the target was sick; too short for a trial to begin.
 * @returns The time in milliseconds; null when the target still got work at the end.
 */
export const detectionMsOf = (journal: readonly JournalEntry[], { targetId, fromMs, toMs }: Sickness): number | null => {
  const entries = journal.filter(entry => entry.targetId === targetId && entry.atMs >= fromMs && entry.atMs < toMs)
  const firstFailureMs = Math.min(...entries.filter(entry => entry.status !== 200).map(entry => entry.atMs))
  const lastMs = Math.max(...entries.map(entry => entry.atMs))
  return Number.isFinite(firstFailureMs) && lastMs < toMs - QUIET_MS ? lastMs - firstFailureMs : null
}

/** Work that a sick target got. */
export interface SickWork {
  readonly tries: number
  readonly failures: number
}

/**
 * Counts what a target ran while it was sick.
 *
 * @param journal - Everything that targets began to run.
 * @param sickness - Time in which the target was sick.
 * @returns Tries and failures.
 */
export const sickWorkOf = (journal: readonly JournalEntry[], { targetId, fromMs, toMs }: Sickness): SickWork => {
  const entries = journal.filter(entry => entry.targetId === targetId && entry.atMs >= fromMs && entry.atMs < toMs)
  return { tries: entries.length, failures: entries.filter(entry => entry.status !== 200).length }
}
