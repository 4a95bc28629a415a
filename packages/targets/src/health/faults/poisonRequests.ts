import { sha256Hex } from '@lovagehoist/common'
import type { AttemptReport, Clock, JsonValue, PeerBus } from '@lovagehoist/common'
import { z } from 'zod'

/** Dependencies of the detection. */
export interface PoisonRequestsOptions {
  readonly clock: Clock
  readonly bus: PeerBus
  /** Called once per quarantine, with the targets that crashed while such a request was in flight. */
  readonly onQuarantined: (targetIds: readonly string[]) => void
}

/** An exchange that was reset after the target may have begun to execute the request. */
interface BrokenExchange {
  readonly fingerprint: string
  readonly targetId: string
  readonly atMs: number
}

interface SuspectFingerprint {
  /** Surprisal of the fingerprint at the crash of each target, by target id. */
  readonly surprisalByTarget: ReadonlyMap<string, number>
  readonly changedAtMs: number
}

/** Gossip entry about one crash; `surprise` is the surprisal of the fingerprint, see `surprisalOf`. */
const suspicionSchema = z.object({ fingerprint: z.string(), targetId: z.string(), surprise: z.number() })

/** Longest time between a reset exchange and a refused connection that together count as a crash of the target. */
const CRASH_CONFIRMATION_MS = 2_000
/** Time after which a suspicion is dropped unless another crash adds to it. */
const SUSPICION_LIFETIME_MS = 600_000
const QUARANTINE_MS = 600_000
/** Distinct crashed targets that a quarantine needs. */
const MIN_CRASHED_TARGETS = 2
/** Sum of the surprisals over distinct crashed targets that a quarantine needs; see `surprisalOf`. */
const MIN_TOTAL_SURPRISAL = 8
const MAX_SURPRISAL_PER_CRASH = 6
/** Interval at which the counted frequencies are halved. */
const FREQUENCY_DECAY_INTERVAL_MS = 60_000
const MAX_FINGERPRINTS = 4_096
const MAX_BROKEN_EXCHANGES = 256
const MAX_SUSPECTS = 1_024
const MAX_QUARANTINED = 256
const HASHED_FINGERPRINT_LENGTH = 16

const hashFingerprint = (fingerprint: string): string => sha256Hex(fingerprint).slice(0, HASHED_FINGERPRINT_LENGTH)

/**
 * Detects and quarantines requests that crash the targets that execute them. Daemons share their suspicions by gossip. A fingerprint becomes suspect when
 * such a request was in flight at the crash of a target; the rarer it is otherwise, the stronger the suspicion.
 */
export class PoisonRequests {
  /** Decaying number of attempts by fingerprint. */
  private frequencies = new Map<string, number>()
  private totalCount = 0
  private decayedAtMs: number
  private brokenExchanges: readonly BrokenExchange[] = []
  private readonly suspects = new Map<string, SuspectFingerprint>()
  private readonly quarantinedUntilMs = new Map<string, number>()

  private constructor (private readonly options: PoisonRequestsOptions) {
    this.decayedAtMs = options.clock.monotonicMs()
    options.bus.onEntry('poison', entry => { this.mergeGossip(entry.value) })
  }

  /**
   * Creates a detection without suspects.
   *
   * @param options - Dependencies.
   * @returns The detection.
   */
  static create (options: PoisonRequestsOptions): PoisonRequests {
    return new PoisonRequests(options)
  }

  /** Records a finished attempt: its fingerprint, and whether it indicates the crash of a target. */
  record (report: AttemptReport): void {
    const nowMs = this.options.clock.monotonicMs()
    const fingerprint = hashFingerprint(report.fingerprint)
    this.countFrequency(fingerprint, nowMs)
    if (report.outcome === 'reset' && report.verdict === 'may-have-run') {
      this.brokenExchanges = [...this.brokenExchanges.slice(1 - MAX_BROKEN_EXCHANGES), { fingerprint, targetId: report.target.id, atMs: nowMs }]
    }
    if (report.outcome === 'refused') this.confirmCrash(report.target.id, nowMs)
  }

  /** Whether requests with this fingerprint are quarantined. */
  isQuarantined (fingerprint: string): boolean {
    if (this.quarantinedUntilMs.size === 0) return false
    const untilMs = this.quarantinedUntilMs.get(hashFingerprint(fingerprint))
    return untilMs !== undefined && this.options.clock.monotonicMs() < untilMs
  }

  /** Hashes of the quarantined fingerprints. */
  get quarantined (): readonly string[] {
    const nowMs = this.options.clock.monotonicMs()
    return [...this.quarantinedUntilMs].filter(([, untilMs]) => nowMs < untilMs).map(([fingerprint]) => fingerprint)
  }

  /** Merges gossip entries that arrived before this daemon subscribed, and drops expired suspicions and quarantines. */
  refresh (): void {
    const nowMs = this.options.clock.monotonicMs()
    for (const entry of this.options.bus.entries('poison')) this.mergeGossip(entry.value)
    for (const [fingerprint, suspect] of this.suspects) if (nowMs - suspect.changedAtMs > SUSPICION_LIFETIME_MS) this.suspects.delete(fingerprint)
    for (const [fingerprint, untilMs] of this.quarantinedUntilMs) if (nowMs >= untilMs) this.quarantinedUntilMs.delete(fingerprint)
  }

  private confirmCrash (targetId: string, nowMs: number): void {
    const exchanges = this.brokenExchanges.filter(exchange => exchange.targetId === targetId && nowMs - exchange.atMs < CRASH_CONFIRMATION_MS)
    if (exchanges.length === 0) return
    this.brokenExchanges = this.brokenExchanges.filter(exchange => exchange.targetId !== targetId)
    const inFlight = exchanges.length
    for (const fingerprint of new Set(exchanges.map(exchange => exchange.fingerprint))) {
      const surprisal = this.surprisalOf(fingerprint, inFlight)
      this.options.bus.publish('poison', `${fingerprint}/${targetId}`, { fingerprint, targetId, surprise: surprisal }, SUSPICION_LIFETIME_MS)
      this.recordSuspicion(fingerprint, targetId, surprisal)
    }
  }

  /** Negative logarithm of the probability that such a request was in flight by chance; a fingerprint without a count is treated as seen once. */
  private surprisalOf (fingerprint: string, inFlight: number): number {
    const share = Math.max(1, this.frequencies.get(fingerprint) ?? 1) / Math.max(1, this.totalCount)
    const chance = 1 - (1 - Math.min(1, share)) ** inFlight
    return Math.min(MAX_SURPRISAL_PER_CRASH, -Math.log(Math.max(Number.EPSILON, chance)))
  }

  private mergeGossip (value: JsonValue): void {
    const parsed = suspicionSchema.safeParse(value)
    if (parsed.success) this.recordSuspicion(parsed.data.fingerprint, parsed.data.targetId, parsed.data.surprise)
  }

  /** Keeps the lowest surprisal reported for a target, and quarantines the fingerprint once the evidence suffices. */
  private recordSuspicion (fingerprint: string, targetId: string, surprisal: number): void {
    const nowMs = this.options.clock.monotonicMs()
    const previous = this.suspects.get(fingerprint)
    const known = previous?.surprisalByTarget.get(targetId)
    if (known !== undefined && known <= surprisal) return
    if (previous === undefined && this.suspects.size >= MAX_SUSPECTS) return
    const surprisalByTarget = new Map(previous?.surprisalByTarget).set(targetId, Math.max(0, Math.min(surprisal, MAX_SURPRISAL_PER_CRASH)))
    this.suspects.set(fingerprint, { surprisalByTarget, changedAtMs: nowMs })
    const sum = [...surprisalByTarget.values()].reduce((total, value) => total + value, 0)
    if (surprisalByTarget.size >= MIN_CRASHED_TARGETS && sum >= MIN_TOTAL_SURPRISAL) this.quarantine(fingerprint, [...surprisalByTarget.keys()], nowMs)
  }

  private quarantine (fingerprint: string, targetIds: readonly string[], nowMs: number): void {
    if (this.quarantinedUntilMs.has(fingerprint) || this.quarantinedUntilMs.size >= MAX_QUARANTINED) return
    this.quarantinedUntilMs.set(fingerprint, nowMs + QUARANTINE_MS)
    this.options.onQuarantined(targetIds)
  }

  private countFrequency (fingerprint: string, nowMs: number): void {
    if (nowMs - this.decayedAtMs >= FREQUENCY_DECAY_INTERVAL_MS) {
      this.frequencies = new Map([...this.frequencies].filter(([, count]) => count > 1).map(([key, count]) => [key, Math.floor(count / 2)]))
      this.totalCount = Math.floor(this.totalCount / 2)
      this.decayedAtMs = nowMs
    }
    this.totalCount++
    const known = this.frequencies.get(fingerprint)
    if (known !== undefined || this.frequencies.size < MAX_FINGERPRINTS) this.frequencies.set(fingerprint, (known ?? 0) + 1)
  }
}
