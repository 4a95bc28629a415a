import type { AttemptReport, AttemptSink, Clock, HealthView, JsonValue, OutcomeKind, StateSource, Target, TargetRating } from '@lovagehoist/common'

const CONSECUTIVE_FAILURES_TO_EJECT = 5
const EJECTION_MS = 30_000

const FAILURE_OUTCOMES: ReadonlySet<OutcomeKind> = new Set(['refused', 'reset', 'timeout', 'broken-answer', 'server-error', 'silent-connection'])

interface FailureStreak {
  /** Consecutive failures so far. */
  readonly failures: number
  /** Monotonic end of the ejection; 0 if the target is not ejected. */
  readonly ejectedUntilMs: number
}

/** Outlier detection that serves as the baseline in measurements: each daemon by itself ejects a target after consecutive failures. */
export class ConsecutiveFailureHealth implements HealthView, AttemptSink, StateSource {
  readonly name = 'health'
  private readonly streaks = new Map<string, FailureStreak>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates a view in which every target is healthy.
   *
   * @param clock - Source of time.
   * @returns The view.
   */
  static create (clock: Clock): ConsecutiveFailureHealth {
    return new ConsecutiveFailureHealth(clock)
  }

  readonly record = (report: AttemptReport): void => {
    if (!FAILURE_OUTCOMES.has(report.outcome)) {
      this.streaks.delete(report.target.id)
      return
    }
    const count = (this.streaks.get(report.target.id)?.failures ?? 0) + 1
    const ejectedUntilMs = count >= CONSECUTIVE_FAILURES_TO_EJECT ? this.clock.monotonicMs() + EJECTION_MS : 0
    this.streaks.set(report.target.id, { failures: count, ejectedUntilMs })
  }

  readonly ratingOf = (target: Target): TargetRating => {
    if (target.isLeaving) return { status: 'leaving', weight: 0, idempotentOnly: false }
    const ejectedUntilMs = this.streaks.get(target.id)?.ejectedUntilMs ?? 0
    if (ejectedUntilMs > this.clock.monotonicMs()) return { status: 'ejected', weight: 0, idempotentOnly: false }
    return { status: 'healthy', weight: 1, idempotentOnly: false }
  }

  readonly dump = (): JsonValue => {
    const nowMs = this.clock.monotonicMs()
    const ejected = [...this.streaks].filter(([, streak]) => streak.ejectedUntilMs > nowMs)
    return { targets: ejected.map(([targetId]) => ({ targetId, status: 'ejected', weight: 0 })) }
  }

  readonly isQuarantined = (): boolean => false

  readonly isPoolShedding = (): boolean => false
}
