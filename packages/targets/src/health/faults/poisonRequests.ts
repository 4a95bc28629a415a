import { sha256Hex } from '@lovagehoist/common'
import type { AttemptReport, Clock, JsonValue, PeerBus } from '@lovagehoist/common'
import { z } from 'zod'

/** What recognition of poison needs. */
export interface PoisonOptions {
  readonly clock: Clock
  readonly bus: PeerBus
  /** Told once when a fingerprint is stopped, with the targets that died under it. */
  readonly onQuarantined: (targetIds: readonly string[]) => void
}

interface Crash {
  readonly fingerprint: string
  readonly targetId: string
  readonly atMs: number
}

interface Suspect {
  readonly deaths: ReadonlyMap<string, number>
  readonly changedAtMs: number
}

const sightingSchema = z.object({ fingerprint: z.string(), targetId: z.string(), surprise: z.number() })

/** Time between the broken exchange and the refused connection that together mean that a target died. */
const DEATH_MS = 2_000
const SIGHTING_LIFETIME_MS = 600_000
const QUARANTINE_MS = 600_000
const MIN_TARGETS = 2
/** Sum over distinct targets of the negative logarithm of the chance to be in flight by accident. */
const MIN_SURPRISE = 8
const MAX_SURPRISE_PER_DEATH = 6
const FREQUENCY_MS = 60_000
const MAX_FINGERPRINTS = 4_096
const MAX_CRASHES = 256
const MAX_SUSPECTS = 1_024
const MAX_QUARANTINED = 256
const FINGERPRINT_DIGITS = 16

const shorten = (fingerprint: string): string => sha256Hex(fingerprint).slice(0, FINGERPRINT_DIGITS)

/** Recognises requests that take down the targets that run them, across daemons. */
export class PoisonRequests {
  private frequencies = new Map<string, number>()
  private total = 0
  private countedSinceMs: number
  private crashes: readonly Crash[] = []
  private readonly suspects = new Map<string, Suspect>()
  private readonly quarantinedUntilMs = new Map<string, number>()

  private constructor (private readonly options: PoisonOptions) {
    this.countedSinceMs = options.clock.monotonicMs()
    options.bus.onEntry('poison', entry => { this.take(entry.value) })
  }

  /**
   * Creates a view in which no request is suspected.
   *
   * @param options - Time and peers.
   * @returns The view.
   */
  static create (options: PoisonOptions): PoisonRequests {
    return new PoisonRequests(options)
  }

  /** Looks at the end of a try. */
  add (report: AttemptReport): void {
    const nowMs = this.options.clock.monotonicMs()
    const fingerprint = shorten(report.fingerprint)
    this.countFrequency(fingerprint, nowMs)
    if (report.outcome === 'reset' && report.verdict === 'may-have-run') {
      this.crashes = [...this.crashes.slice(1 - MAX_CRASHES), { fingerprint, targetId: report.target.id, atMs: nowMs }]
    }
    if (report.outcome === 'refused') this.confirmDeath(report.target.id, nowMs)
  }

  /** Whether requests with this fingerprint are stopped. */
  isQuarantined (fingerprint: string): boolean {
    if (this.quarantinedUntilMs.size === 0) return false
    const untilMs = this.quarantinedUntilMs.get(shorten(fingerprint))
    return untilMs !== undefined && this.options.clock.monotonicMs() < untilMs
  }

  /** Fingerprints that are stopped now. */
  get quarantined (): readonly string[] {
    const nowMs = this.options.clock.monotonicMs()
    return [...this.quarantinedUntilMs].filter(([, untilMs]) => nowMs < untilMs).map(([fingerprint]) => fingerprint)
  }

  /** Takes in what other daemons spread before this one listened, and drops what is old. */
  sweep (): void {
    const nowMs = this.options.clock.monotonicMs()
    for (const entry of this.options.bus.entries('poison')) this.take(entry.value)
    for (const [fingerprint, suspect] of this.suspects) if (nowMs - suspect.changedAtMs > SIGHTING_LIFETIME_MS) this.suspects.delete(fingerprint)
    for (const [fingerprint, untilMs] of this.quarantinedUntilMs) if (nowMs >= untilMs) this.quarantinedUntilMs.delete(fingerprint)
  }

  private confirmDeath (targetId: string, nowMs: number): void {
    const broken = this.crashes.filter(crash => crash.targetId === targetId && nowMs - crash.atMs < DEATH_MS)
    if (broken.length === 0) return
    this.crashes = this.crashes.filter(crash => crash.targetId !== targetId)
    const inFlight = broken.length
    for (const fingerprint of new Set(broken.map(crash => crash.fingerprint))) {
      const surprise = this.surpriseOf(fingerprint, inFlight)
      this.options.bus.publish('poison', `${fingerprint}/${targetId}`, { fingerprint, targetId, surprise }, SIGHTING_LIFETIME_MS)
      this.note(fingerprint, targetId, surprise)
    }
  }

  /** How unlikely it is that such a request was there by accident; the fingerprint's own sightings at deaths count as one. */
  private surpriseOf (fingerprint: string, inFlight: number): number {
    const share = Math.max(1, this.frequencies.get(fingerprint) ?? 1) / Math.max(1, this.total)
    const byAccident = 1 - (1 - Math.min(1, share)) ** inFlight
    return Math.min(MAX_SURPRISE_PER_DEATH, -Math.log(Math.max(Number.EPSILON, byAccident)))
  }

  private take (value: JsonValue): void {
    const parsed = sightingSchema.safeParse(value)
    if (parsed.success) this.note(parsed.data.fingerprint, parsed.data.targetId, parsed.data.surprise)
  }

  private note (fingerprint: string, targetId: string, surprise: number): void {
    const nowMs = this.options.clock.monotonicMs()
    const before = this.suspects.get(fingerprint)
    const known = before?.deaths.get(targetId)
    if (known !== undefined && known <= surprise) return
    if (before === undefined && this.suspects.size >= MAX_SUSPECTS) return
    const deaths = new Map(before?.deaths).set(targetId, Math.max(0, Math.min(surprise, MAX_SURPRISE_PER_DEATH)))
    this.suspects.set(fingerprint, { deaths, changedAtMs: nowMs })
    const sum = [...deaths.values()].reduce((total, value) => total + value, 0)
    if (deaths.size >= MIN_TARGETS && sum >= MIN_SURPRISE) this.quarantine(fingerprint, [...deaths.keys()], nowMs)
  }

  private quarantine (fingerprint: string, targetIds: readonly string[], nowMs: number): void {
    if (this.quarantinedUntilMs.has(fingerprint) || this.quarantinedUntilMs.size >= MAX_QUARANTINED) return
    this.quarantinedUntilMs.set(fingerprint, nowMs + QUARANTINE_MS)
    this.options.onQuarantined(targetIds)
  }

  private countFrequency (fingerprint: string, nowMs: number): void {
    if (nowMs - this.countedSinceMs >= FREQUENCY_MS) {
      this.frequencies = new Map([...this.frequencies].filter(([, count]) => count > 1).map(([key, count]) => [key, Math.floor(count / 2)]))
      this.total = Math.floor(this.total / 2)
      this.countedSinceMs = nowMs
    }
    this.total++
    const known = this.frequencies.get(fingerprint)
    if (known !== undefined || this.frequencies.size < MAX_FINGERPRINTS) this.frequencies.set(fingerprint, (known ?? 0) + 1)
  }
}
