import type { Clock, Log } from '@lovagehoist/common'
import type { NamedLimit } from './parseLimit.js'

/** Newest known state of a target's limit. */
export interface LimitState {
  /** Requests per second that the target takes from the whole fleet; undefined while it names none. */
  readonly perSecond: number | undefined
  /** Monotonic time at which the request was sent whose answer showed this. */
  readonly sentAtMs: number
  /** Monotonic time at which an answer last named a limit. */
  readonly namedAtMs: number
}

/** Limits that targets name in their answers. */
export class TargetLimits {
  private readonly states = new Map<string, LimitState>()
  private readonly targetsWithInvalidLimit = new Set<string>()

  private constructor (private readonly clock: Clock, private readonly log: Log) {}

  /**
   * Creates a registry without limits.
   *
   * @param clock - Source of time.
   * @param log - Receives named, changed and lifted limits.
   * @returns The registry.
   */
  static create (clock: Clock, log: Log): TargetLimits {
    return new TargetLimits(clock, log)
  }

  /**
   * Records what an answer of a target says of its limit.
   *
   * @param targetId - Target that answered.
   * @param named - Limit named in the answer.
   * @param sentAtMs - Monotonic time at which the request was sent.
   */
  recordAnswer (targetId: string, named: NamedLimit, sentAtMs: number): void {
    if (named.type === 'invalid') this.reportInvalid(targetId, named.reason)
    else if (named.type === 'limited') this.recordNamed(targetId, named.perSecond, sentAtMs)
    else this.recordUnnamed(targetId, sentAtMs)
  }

  /** Requests per second that a target takes from the whole fleet; undefined if it names no limit. */
  limitOf (targetId: string): number | undefined {
    return this.states.get(targetId)?.perSecond
  }

  /** Drops the limit of a target that was removed or restarted. */
  forget (targetId: string): void {
    this.states.delete(targetId)
    this.targetsWithInvalidLimit.delete(targetId)
  }

  private recordNamed (targetId: string, perSecond: number, sentAtMs: number): void {
    const before = this.states.get(targetId)
    if (before !== undefined && sentAtMs < before.sentAtMs) return
    this.setState(targetId, { perSecond, sentAtMs, namedAtMs: this.clock.monotonicMs() })
  }

  /** An answer without a limit may have been under way when another one named it, so only a later request lifts the limit. */
  private recordUnnamed (targetId: string, sentAtMs: number): void {
    const before = this.states.get(targetId)
    if (before?.perSecond === undefined || sentAtMs <= before.namedAtMs) return
    this.setState(targetId, { perSecond: undefined, sentAtMs, namedAtMs: before.namedAtMs })
  }

  private setState (targetId: string, state: LimitState): void {
    const before = this.states.get(targetId)
    this.states.set(targetId, state)
    if (before?.perSecond === state.perSecond) return
    if (state.perSecond === undefined) this.log.info('target limit lifted', { targetId, previousPerSecond: before?.perSecond })
    else this.log.info('target limit named', { targetId, perSecond: state.perSecond, previousPerSecond: before?.perSecond })
  }

  private reportInvalid (targetId: string, reason: string): void {
    if (this.targetsWithInvalidLimit.has(targetId)) return
    this.targetsWithInvalidLimit.add(targetId)
    this.log.warn('invalid target limit ignored', { targetId, reason })
  }
}
