import { SharedRecords, sha256Hex } from '@lovagehoist/common'
import type { Clock, NewsTopic } from '@lovagehoist/common'
import { findPoisonRequests } from './findPoisonRequests.js'
import { REQUEST_SCOPES, fingerprintsOf } from './requestDescription.js'
import type { DescribedRequest, RequestFingerprint, RequestScope } from './requestDescription.js'

/** Identifies one start of a target process. */
export interface TargetStart {
  readonly id: string
  readonly startedAtMs: number
}

/** What the whole fleet knows of a request under which targets crashed; daemons only add to it. */
interface CrashEvidence {
  readonly scope: RequestScope
  /** Starts of targets that crashed while they executed the request. */
  readonly crashedStarts: ReadonlySet<string>
  /** Those among them whose crash was not the request's, since a target served an equal one later. */
  readonly clearedStarts: ReadonlySet<string>
  readonly lastCrashAtMs: number
}

/** What is known of a request, for the log. */
export interface CrashSummary {
  /** Starts of targets that crashed under requests like it, as known here, for each scope. */
  readonly fingerprints: ReadonlyArray<RequestFingerprint & { readonly crashes: number }>
  readonly isPoison: boolean
}

/** Number of crashes from which the evidence is kept as long as a quarantine lasts. */
const MIN_CRASHES = 3
/** Retention of fewer crashes: callers repeat such a request within seconds. */
const SUSPICION_RETENTION_MS = 60_000
const QUARANTINE_MS = 600_000
const MAX_RECORDS = 512
/** Time after which expired evidence is noticed. */
const POISON_CACHE_MS = 1_000
/** Starts kept for one request; more change nothing. */
const MAX_STARTS = 16
const START_LENGTH = 8
const CLEARED_MARK = '-'
const NO_STARTS: ReadonlySet<string> = new Set()

const startOf = ({ id, startedAtMs }: TargetStart): string => sha256Hex(`${id} ${startedAtMs}`).slice(0, START_LENGTH)

const effectiveStarts = ({ crashedStarts, clearedStarts }: CrashEvidence): readonly string[] => [...crashedStarts].filter(start => !clearedStarts.has(start))

const union = (a: ReadonlySet<string>, b: ReadonlySet<string>): ReadonlySet<string> => new Set([...a, ...b].slice(0, MAX_STARTS))

const mergeEvidence = (known: CrashEvidence | undefined, news: CrashEvidence): CrashEvidence | undefined => {
  if (known === undefined) return news
  const crashedStarts = union(known.crashedStarts, news.crashedStarts)
  const clearedStarts = union(known.clearedStarts, news.clearedStarts)
  const hasNewCrash = crashedStarts.size > known.crashedStarts.size
  if (!hasNewCrash && clearedStarts.size === known.clearedStarts.size) return undefined
  return { scope: known.scope, crashedStarts, clearedStarts, lastCrashAtMs: hasNewCrash ? Math.max(known.lastCrashAtMs, news.lastCrashAtMs) : known.lastCrashAtMs }
}

const encodeEvidence = ({ scope, crashedStarts, clearedStarts, lastCrashAtMs }: CrashEvidence, nowMs: number): ReadonlyArray<string | number> =>
  [REQUEST_SCOPES.indexOf(scope), Math.round(nowMs - lastCrashAtMs), ...[...crashedStarts].map(start => clearedStarts.has(start) ? CLEARED_MARK + start : start)]

const decodeEvidence = ([scopeIndex, ageMs, ...starts]: ReadonlyArray<string | number>, nowMs: number): CrashEvidence | undefined => {
  const scope = REQUEST_SCOPES[Number(scopeIndex)]
  if (scope === undefined || typeof ageMs !== 'number' || ageMs < 0 || starts.length === 0 || starts.length > MAX_STARTS) return undefined
  const texts = starts.filter(start => typeof start === 'string')
  const cleared = texts.filter(start => start.startsWith(CLEARED_MARK)).map(start => start.slice(CLEARED_MARK.length))
  return { scope, crashedStarts: new Set(texts.map(start => start.startsWith(CLEARED_MARK) ? start.slice(CLEARED_MARK.length) : start)), clearedStarts: new Set(cleared), lastCrashAtMs: nowMs - ageMs }
}

/** Detects poison requests: requests that crash every target that executes them. */
export class PoisonRequestDetector {
  private readonly evidence: SharedRecords<CrashEvidence>
  private poison: { readonly hashes: ReadonlySet<string>, readonly revision: number, readonly atMs: number } = { hashes: new Set(), revision: 0, atMs: -Infinity }

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
   * @param describe - Returns the request; called only while crashes are recorded.
   * @returns Whether enough targets of the whole fleet crashed under requests like it.
   */
  isPoison (describe: () => DescribedRequest): boolean {
    return this.evidence.size > 0 && fingerprintsOf(describe()).some(({ hash }) => this.poisonHashes().has(hash))
  }

  /** What is known of a request. */
  summarize (request: DescribedRequest): CrashSummary {
    const fingerprints = fingerprintsOf(request).map(({ scope, hash }) => {
      const evidence = this.evidence.get(hash)
      return { scope, hash, crashes: evidence === undefined ? 0 : effectiveStarts(evidence).length }
    })
    return { fingerprints, isPoison: this.isPoison(() => request) }
  }

  /** Records that a target crashed while it executed a request. */
  recordCrash (request: DescribedRequest, target: TargetStart): void {
    const evidence = { crashedStarts: new Set([startOf(target)]), clearedStarts: NO_STARTS, lastCrashAtMs: this.clock.monotonicMs() }
    for (const { scope, hash } of fingerprintsOf(request)) this.evidence.record(hash, { scope, ...evidence })
  }

  /**
   * Records that a target served a request: the crashes under requests like it had other causes.
   *
   * @param describe - Returns the request; called only while crashes are recorded.
   */
  recordServed (describe: () => DescribedRequest): void {
    if (this.evidence.size === 0) return
    for (const { hash } of fingerprintsOf(describe())) {
      const known = this.evidence.get(hash)
      if (known !== undefined) this.evidence.record(hash, { ...known, clearedStarts: known.crashedStarts })
    }
  }

  private poisonHashes (): ReadonlySet<string> {
    const nowMs = this.clock.monotonicMs()
    if (this.poison.revision !== this.evidence.revision || nowMs - this.poison.atMs > POISON_CACHE_MS) {
      const suspects = this.evidence.all().map(([hash, evidence]) => ({ scope: evidence.scope, hash, starts: effectiveStarts(evidence) }))
      this.poison = { hashes: findPoisonRequests(suspects), revision: this.evidence.revision, atMs: nowMs }
    }
    return this.poison.hashes
  }
}
