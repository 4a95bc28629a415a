import type { Clock, ListedTarget, Log, Random, RawHeaders } from '@lovagehoist/common'
import { parseRest } from './parseRest.js'

/** Identifies one start of a target. */
type TargetStart = Pick<ListedTarget, 'id' | 'startedAtMs'>

/** Dependencies of the rests. */
export interface TargetRestsOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
}

const SERVICE_UNAVAILABLE = 503
/** Time after a rest in which the target gets one request at a time from this daemon, unless all others are worse. */
const RETURN_MS = 500
/** Time after the earliest end of a rest over which refused callers return. */
const RETURN_SPREAD_MS = 1_000
/** Targets whose ended rests are remembered; more are dropped at the next rest. */
const MAX_ENDED_RESTS = 256

const keyOf = ({ id, startedAtMs }: TargetStart): string => `${id} ${startedAtMs}`

/** Rests that targets asked this daemon for when they turned requests away. Each holds for one start of a target and for this daemon only. */
export class TargetRests {
  /** Monotonic time at which the latest rest of a target start ends. */
  private readonly endsAtMs = new Map<string, number>()
  private readonly targetsWithInvalidRest = new Set<string>()

  private constructor (private readonly options: TargetRestsOptions) {}

  /**
   * Creates rests of a daemon that was asked for none.
   *
   * @param options - Clock, randomness and log.
   * @returns The rests.
   */
  static create (options: TargetRestsOptions): TargetRests {
    return new TargetRests(options)
  }

  /**
   * Records the head of an answer that is known to come from the target. A rest ends no sooner because of a later answer.
   *
   * @param target - Target that answered.
   * @param status - Status of the answer.
   * @param headers - Header fields as alternating names and values.
   */
  recordAnswer (target: TargetStart, status: number, headers: RawHeaders): void {
    if (status !== SERVICE_UNAVAILABLE) return
    const rest = parseRest(headers)
    if (rest.type === 'invalid') this.reportInvalid(target.id, rest.reason)
    if (rest.type !== 'rest') return
    const endsAtMs = this.options.clock.monotonicMs() + rest.durationMs
    if (endsAtMs <= (this.endsAtMs.get(keyOf(target)) ?? -Infinity)) return
    this.dropEnded()
    if (!this.isResting(target)) this.options.log.info('target asked for rest', { targetId: target.id, durationMs: Math.round(rest.durationMs) })
    this.endsAtMs.set(keyOf(target), endsAtMs)
  }

  /** Whether a target must not get any request of this daemon now. */
  isResting (target: TargetStart): boolean {
    return this.remainingMs(target) > 0
  }

  /** Whether the rest of a target has just ended. */
  isReturning (target: TargetStart): boolean {
    const remainingMs = this.remainingMs(target)
    return remainingMs <= 0 && remainingMs > -RETURN_MS
  }

  /**
   * Returns the delay after which a caller may return whose request found only targets at rest.
   *
   * @param targets - Targets of the service; at least one of them rests.
   * @returns Time until the earliest end, with a random addition so that callers don't return together.
   */
  retryDelayMs (targets: readonly TargetStart[]): number {
    const earliestMs = Math.min(...targets.map(target => Math.max(0, this.remainingMs(target))))
    return earliestMs + this.options.random.next() * RETURN_SPREAD_MS
  }

  private remainingMs (target: TargetStart): number {
    return (this.endsAtMs.get(keyOf(target)) ?? -Infinity) - this.options.clock.monotonicMs()
  }

  private dropEnded (): void {
    if (this.endsAtMs.size < MAX_ENDED_RESTS) return
    const nowMs = this.options.clock.monotonicMs()
    for (const [key, endsAtMs] of this.endsAtMs) if (endsAtMs + RETURN_MS < nowMs) this.endsAtMs.delete(key)
  }

  private reportInvalid (targetId: string, reason: string): void {
    if (this.targetsWithInvalidRest.has(targetId) || this.targetsWithInvalidRest.size >= MAX_ENDED_RESTS) return
    this.targetsWithInvalidRest.add(targetId)
    this.options.log.warn('invalid target rest ignored', { targetId, reason })
  }
}
