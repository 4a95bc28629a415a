import { SharedRecords, sha256Hex } from '@lovagehoist/common'
import type { Clock, NewsTopic } from '@lovagehoist/common'

/** Identifies one start of a target process. */
export interface TargetStart {
  readonly id: string
  readonly startedAtMs: number
}

/** What the whole fleet knows of a request under which targets crashed; daemons only add to it. */
interface CrashEvidence {
  /** Starts of targets that crashed while they executed the request. */
  readonly crashedStarts: ReadonlySet<string>
  /** Those among them whose crash was not the request's, since a target served an equal one later. */
  readonly clearedStarts: ReadonlySet<string>
  readonly lastCrashAtMs: number
}

/** What is known of a request, for the log. */
export interface CrashSummary {
  /** Equal for all repetitions of the request. */
  readonly fingerprint: string
  /** Starts of targets that crashed under the request, as known here. */
  readonly crashes: number
  readonly isPoison: boolean
}

/** Number of crashes from which a request is quarantined. */
const MIN_CRASHES = 3
/** Retention of fewer crashes: callers repeat such a request within seconds. */
const SUSPICION_RETENTION_MS = 60_000
const QUARANTINE_MS = 600_000
const MAX_RECORDS = 256
/** Starts kept for one request; more change nothing. */
const MAX_STARTS = 16
const FINGERPRINT_LENGTH = 12
const START_LENGTH = 8
const CLEARED_MARK = '-'
const NO_STARTS: ReadonlySet<string> = new Set()

const fingerprintOf = (description: string): string => sha256Hex(description).slice(0, FINGERPRINT_LENGTH)
const startOf = ({ id, startedAtMs }: TargetStart): string => sha256Hex(`${id} ${startedAtMs}`).slice(0, START_LENGTH)

const effectiveStarts = ({ crashedStarts, clearedStarts }: CrashEvidence): readonly string[] => [...crashedStarts].filter(start => !clearedStarts.has(start))

const union = (a: ReadonlySet<string>, b: ReadonlySet<string>): ReadonlySet<string> => new Set([...a, ...b].slice(0, MAX_STARTS))

const mergeEvidence = (known: CrashEvidence | undefined, news: CrashEvidence): CrashEvidence | undefined => {
  if (known === undefined) return news
  const crashedStarts = union(known.crashedStarts, news.crashedStarts)
  const clearedStarts = union(known.clearedStarts, news.clearedStarts)
  const hasNewCrash = crashedStarts.size > known.crashedStarts.size
  if (!hasNewCrash && clearedStarts.size === known.clearedStarts.size) return undefined
  return { crashedStarts, clearedStarts, lastCrashAtMs: hasNewCrash ? Math.max(known.lastCrashAtMs, news.lastCrashAtMs) : known.lastCrashAtMs }
}

const encodeEvidence = ({ crashedStarts, clearedStarts, lastCrashAtMs }: CrashEvidence, nowMs: number): ReadonlyArray<string | number> =>
  [Math.round(nowMs - lastCrashAtMs), ...[...crashedStarts].map(start => clearedStarts.has(start) ? CLEARED_MARK + start : start)]

const decodeEvidence = ([ageMs, ...starts]: ReadonlyArray<string | number>, nowMs: number): CrashEvidence | undefined => {
  if (typeof ageMs !== 'number' || ageMs < 0 || starts.length === 0 || starts.length > MAX_STARTS) return undefined
  const texts = starts.filter(start => typeof start === 'string')
  const cleared = texts.filter(start => start.startsWith(CLEARED_MARK)).map(start => start.slice(CLEARED_MARK.length))
  return { crashedStarts: new Set(texts.map(start => start.startsWith(CLEARED_MARK) ? start.slice(CLEARED_MARK.length) : start)), clearedStarts: new Set(cleared), lastCrashAtMs: nowMs - ageMs }
}

/** Detects poison requests: requests that crash every target that executes them. */
export class PoisonRequestDetector {
  private readonly evidence: SharedRecords<CrashEvidence>

  private constructor (private readonly clock: Clock) {
    this.evidence = SharedRecords.create<CrashEvidence>({
      name: 'crashes',
      clock,
      maxRecords: MAX_RECORDS,
      merge: mergeEvidence,
      importanceOf: evidence => effectiveStarts(evidence).length * QUARANTINE_MS + evidence.lastCrashAtMs,
      isUrgent: evidence => effectiveStarts(evidence).length > 1,
      isExpired: (evidence, nowMs) => nowMs - evidence.lastCrashAtMs > (effectiveStarts(evidence).length >= MIN_CRASHES ? QUARANTINE_MS : SUSPICION_RETENTION_MS),
      encode: encodeEvidence,
      decode: decodeEvidence
    })
  }

  /**
   * Creates a detector without recorded crashes.
   *
   * @param clock - Source of time.
   * @returns The detector.
   */
  static create (clock: Clock): PoisonRequestDetector {
    return new PoisonRequestDetector(clock)
  }

  /** The evidence as daemons exchange it. */
  get news (): NewsTopic {
    return this.evidence
  }

  /**
   * Checks whether a request must not be sent to any further target.
   *
   * @param describe - Returns a description that is equal for all repetitions of the request; called only while crashes are recorded.
   * @returns Whether enough targets of the whole fleet crashed under equal requests.
   */
  isPoison (describe: () => string): boolean {
    return this.evidence.size > 0 && this.summarize(describe()).isPoison
  }

  /** What is known of a request. */
  summarize (description: string): CrashSummary {
    const fingerprint = fingerprintOf(description)
    const evidence = this.evidence.get(fingerprint)
    const crashes = evidence === undefined ? 0 : effectiveStarts(evidence).length
    return { fingerprint, crashes, isPoison: crashes >= MIN_CRASHES }
  }

  /** Records that a target crashed while it executed a request. */
  recordCrash (description: string, target: TargetStart): void {
    this.evidence.record(fingerprintOf(description), { crashedStarts: new Set([startOf(target)]), clearedStarts: NO_STARTS, lastCrashAtMs: this.clock.monotonicMs() })
  }
}
