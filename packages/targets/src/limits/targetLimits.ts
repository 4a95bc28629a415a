import type { Clock, Log, ObservedLimit, PerTarget } from '@lovagehoist/common'
import type { NamedLimit } from './parseLimit.js'

/** How the newest state of a limit became known here. */
export type LimitOrigin = 'own' | 'zone' | 'fleet'

/** Newest known state of a target's limit. */
interface LimitState {
  /** Requests per second that the target takes from the whole fleet; undefined while it names none. */
  readonly perSecond: number | undefined
  /** Monotonic time at which the request was sent whose answer showed this. */
  readonly sentAtMs: number
  /** Monotonic time at which an answer last named a limit. */
  readonly namedAtMs: number
  readonly origin: LimitOrigin
  /** Monotonic time of the last change that is worth telling other daemons. */
  readonly changedAtMs: number
}

/** A target with the limit that it names. */
export interface LimitedTarget {
  readonly targetId: string
  readonly perSecond: number
}

/** Time after which a daemon tells again that a target still names the same limit. */
const REFRESH_INTERVAL_MS = 1_000
/** Time for which a lifted limit is remembered, so that late news of it are ignored. */
const LIFTED_TTL_MS = 60_000

/**
 * Limits that targets name in their answers. Of several answers the one counts whose request was sent last, whichever daemon received it;
 * an answer without a limit lifts it only if its request was sent after the limit was last named.
 */
export class TargetLimits {
  private readonly states = new Map<string, LimitState>()
  private readonly targetsWithInvalidLimit = new Set<string>()
  private notify: () => void = () => {}

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

  /** Sets the listener for limits that answers to this daemon named or lifted. */
  onChange (listener: () => void): void {
    this.notify = listener
  }

  /**
   * Records what an answer of a target says of its limit.
   *
   * @param targetId - Target that answered.
   * @param named - Limit named in the answer.
   * @param sentAtMs - Monotonic time at which the request was sent.
   */
  recordAnswer (targetId: string, named: NamedLimit, sentAtMs: number): void {
    if (named.type === 'invalid') {
      this.reportInvalid(targetId, named.reason)
      return
    }
    const namedAtMs = named.type === 'limited' ? this.clock.monotonicMs() : this.states.get(targetId)?.namedAtMs
    if (namedAtMs === undefined) return
    const perSecond = named.type === 'limited' ? named.perSecond : undefined
    if (this.update(targetId, { perSecond, sentAtMs, namedAtMs }, 'own')) this.notify()
  }

  /**
   * Applies what other daemons know.
   *
   * @param limits - Limits with their ages.
   * @param origin - Where the news come from.
   * @returns Whether a limit was named, changed or lifted.
   */
  apply (limits: PerTarget<ObservedLimit>, origin: Exclude<LimitOrigin, 'own'>): boolean {
    const nowMs = this.clock.monotonicMs()
    return limits
      .map(([targetId, { perSecond, sentAgeMs, namedAgeMs }]) => this.update(targetId, { perSecond, sentAtMs: nowMs - sentAgeMs, namedAtMs: nowMs - namedAgeMs }, origin))
      .some(isChanged => isChanged)
  }

  /** Requests per second that a target takes from the whole fleet; undefined if it names no limit. */
  limitOf (targetId: string): number | undefined {
    return this.states.get(targetId)?.perSecond
  }

  /** Targets that name a limit. */
  limitedTargets (): readonly LimitedTarget[] {
    return [...this.states].flatMap(([targetId, { perSecond }]) => perSecond === undefined ? [] : [{ targetId, perSecond }])
  }

  /**
   * Returns limits to tell other daemons.
   *
   * @param origins - Origins to include.
   * @param changedSinceMs - Monotonic time; limits that changed before it are left out.
   */
  collect (origins: ReadonlySet<LimitOrigin>, changedSinceMs: number): PerTarget<ObservedLimit> {
    const nowMs = this.clock.monotonicMs()
    return [...this.states]
      .filter(([, { origin, changedAtMs }]) => origins.has(origin) && changedAtMs >= changedSinceMs)
      .map(([targetId, { perSecond, sentAtMs, namedAtMs }]) => [targetId, { perSecond, sentAgeMs: nowMs - sentAtMs, namedAgeMs: nowMs - namedAtMs }] as const)
  }

  /** Drops the limit of a target that was removed or restarted; later news of answers from before are ignored. */
  forget (targetId: string): void {
    this.targetsWithInvalidLimit.delete(targetId)
    if (!this.states.has(targetId)) return
    const nowMs = this.clock.monotonicMs()
    this.states.set(targetId, { perSecond: undefined, sentAtMs: nowMs, namedAtMs: nowMs, origin: 'fleet', changedAtMs: -Infinity })
  }

  /** Drops limits that were lifted long ago. */
  sweep (): void {
    const oldestMs = this.clock.monotonicMs() - LIFTED_TTL_MS
    for (const [targetId, { perSecond, sentAtMs }] of this.states) if (perSecond === undefined && sentAtMs < oldestMs) this.states.delete(targetId)
  }

  /** Applies a newer state; returns whether the limit differs from the one known before. */
  private update (targetId: string, next: Pick<LimitState, 'perSecond' | 'sentAtMs' | 'namedAtMs'>, origin: LimitOrigin): boolean {
    const known = this.states.get(targetId)
    if (known !== undefined && next.sentAtMs <= known.sentAtMs) return false
    if (next.perSecond === undefined && (known?.perSecond === undefined || next.sentAtMs <= known.namedAtMs)) return false
    const nowMs = this.clock.monotonicMs()
    const isChanged = known?.perSecond !== next.perSecond
    if (isChanged || known === undefined || nowMs - known.changedAtMs >= REFRESH_INTERVAL_MS) this.states.set(targetId, { ...next, origin, changedAtMs: nowMs })
    // The ages in news of others grow inexact on the way: unchanged limits keep the times at which they became known here.
    else if (origin === 'own') this.states.set(targetId, { ...known, ...next })
    if (isChanged) this.logChange(targetId, known?.perSecond, next.perSecond, origin)
    return isChanged
  }

  private logChange (targetId: string, previousPerSecond: number | undefined, perSecond: number | undefined, origin: LimitOrigin): void {
    if (perSecond === undefined) this.log.info('target limit lifted', { targetId, previousPerSecond, origin })
    else this.log.info('target limit named', { targetId, perSecond, previousPerSecond, origin })
  }

  private reportInvalid (targetId: string, reason: string): void {
    if (this.targetsWithInvalidLimit.has(targetId)) return
    this.targetsWithInvalidLimit.add(targetId)
    this.log.warn('invalid target limit ignored', { targetId, reason })
  }
}
