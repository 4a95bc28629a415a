import type { AttemptReport, Clock, Target } from '@lovagehoist/common'

/** Dependencies of the detection. */
export interface SilentConnectionsOptions {
  readonly clock: Clock
  /** Closes the idle connections to a target that are older than `olderThanMs`. */
  readonly closeIdleConnections: (targetId: string, olderThanMs: number) => void
  /** Other targets that are reached by the same network path. */
  readonly targetsOnSamePath: (target: Target) => readonly Target[]
  /** Counts a deferred attempt after the check has shown that the target is at fault. */
  readonly countReport: (report: AttemptReport) => void
  /** Called when connections to a target turned out to be silent, while the target works. */
  readonly onSilentConnections: (target: Target) => void
}

/** Check, started by a timeout on a reused connection, whether the connections or the target are at fault. */
interface ConnectionCheck {
  /** Monotonic time at which the idle connections were closed. */
  readonly startedAtMs: number
  /** Attempts that timed out and are counted only if the target is at fault. */
  readonly deferredReports: readonly AttemptReport[]
  readonly isFinished: boolean
}

/** Time to wait for a successful attempt on a fresh connection before the target is considered at fault. */
const CHECK_TIMEOUT_MS = 3_000
/** Time after the start of a check during which timeouts of attempts begun after it count against the target; later a timeout starts a new check. */
const CHECK_LIFETIME_MS = 60_000
const MAX_DEFERRED_REPORTS = 64

/**
 * Distinguishes connections that went silent from targets that do not respond. After a timeout on
 * a reused connection the idle connections are closed; if an attempt on a fresh connection then succeeds, the connections were at fault.
 */
export class SilentConnections {
  private readonly checks = new Map<string, ConnectionCheck>()

  private constructor (private readonly options: SilentConnectionsOptions) {}

  /**
   * Creates a detection without running checks.
   *
   * @param options - Dependencies.
   * @returns The detection.
   */
  static create (options: SilentConnectionsOptions): SilentConnections {
    return new SilentConnections(options)
  }

  /**
   * Handles a finished attempt; it may start or finish a check of the connections to its target.
   *
   * @param report - The finished attempt.
   * @returns Whether to count it now; false if its connection may be at fault.
   */
  shouldCountNow (report: AttemptReport): boolean {
    const check = this.checks.get(report.target.id)
    if (report.outcome === 'timeout' && !report.isFreshConnection) return this.checkConnections(report, check)
    if (check !== undefined && !check.isFinished && report.isFreshConnection) this.finishIfHealthy(report, check)
    return true
  }

  /** Counts the deferred attempts of checks in which no attempt on a fresh connection succeeded in time, and drops old checks. */
  finishTimedOutChecks (): void {
    const nowMs = this.options.clock.monotonicMs()
    for (const [targetId, check] of this.checks) {
      if (!check.isFinished && nowMs - check.startedAtMs >= CHECK_TIMEOUT_MS) this.attributeToTarget(targetId, check)
      if (nowMs - check.startedAtMs >= CHECK_LIFETIME_MS) this.checks.delete(targetId)
    }
  }

  private checkConnections (report: AttemptReport, check: ConnectionCheck | undefined): boolean {
    const { clock, closeIdleConnections } = this.options
    const nowMs = clock.monotonicMs()
    const attemptStartedAtMs = nowMs - report.latencyMs
    if (check === undefined) {
      closeIdleConnections(report.target.id, 0)
      this.checks.set(report.target.id, { startedAtMs: nowMs, deferredReports: [report], isFinished: false })
      return false
    }
    if (attemptStartedAtMs > check.startedAtMs) return true
    if (!check.isFinished && check.deferredReports.length < MAX_DEFERRED_REPORTS) this.checks.set(report.target.id, { ...check, deferredReports: [...check.deferredReports, report] })
    return false
  }

  private finishIfHealthy (report: AttemptReport, check: ConnectionCheck): void {
    const { clock, closeIdleConnections, targetsOnSamePath, onSilentConnections } = this.options
    if (clock.monotonicMs() - report.latencyMs < check.startedAtMs) return
    if (report.outcome !== 'ok') return
    this.checks.set(report.target.id, { ...check, deferredReports: [], isFinished: true })
    onSilentConnections(report.target)
    const ageMs = clock.monotonicMs() - check.startedAtMs
    for (const target of targetsOnSamePath(report.target)) closeIdleConnections(target.id, ageMs)
  }

  private attributeToTarget (targetId: string, check: ConnectionCheck): void {
    this.checks.set(targetId, { ...check, deferredReports: [], isFinished: true })
    for (const report of check.deferredReports) this.options.countReport(report)
  }
}
