import type { AttemptReport, Clock, Target } from '@lovagehoist/common'

/** What silent connections need. */
export interface SilentConnectionsOptions {
  readonly clock: Clock
  /** Destroys the idle connections to a target that are older than an age. */
  readonly retire: (targetId: string, olderThanMs: number) => void
  /** Targets reached by the same path as one. */
  readonly samePath: (target: Target) => readonly Target[]
  /** Counts a try that was held back, once it turns out that the target is to blame. */
  readonly count: (report: AttemptReport) => void
  /** Told when connections to a target turned out to be silent. */
  readonly onSilent: (target: Target) => void
}

interface Test {
  readonly retiredAtMs: number
  readonly heldBack: readonly AttemptReport[]
  readonly isSettled: boolean
}

/** Time to wait for real work on a fresh connection before the target is blamed. */
const TEST_LIMIT_MS = 3_000
/** Time within which a timeout on a connection opened after the others were retired counts against the target. */
const TRUST_MS = 60_000
const MAX_HELD_BACK = 64

/** Tells connections that went silent from targets that do not answer: fresh connections are the test. */
export class SilentConnections {
  private readonly tests = new Map<string, Test>()

  private constructor (private readonly options: SilentConnectionsOptions) {}

  /**
   * Creates a view in which no connection is suspected.
   *
   * @param options - Connections and what is told.
   * @returns The view.
   */
  static create (options: SilentConnectionsOptions): SilentConnections {
    return new SilentConnections(options)
  }

  /**
   * Looks at the end of a try.
   *
   * @param report - The try.
   * @returns Whether it is to be counted now; false when its connection is blamed first.
   */
  isCountable (report: AttemptReport): boolean {
    const test = this.tests.get(report.target.id)
    if (report.outcome === 'timeout' && !report.isFreshConnection) return this.suspect(report, test)
    if (test !== undefined && !test.isSettled && report.isFreshConnection) this.settle(report, test)
    return true
  }

  /** Blames targets whose test found no fresh connection that works. */
  sweep (): void {
    const nowMs = this.options.clock.monotonicMs()
    for (const [targetId, test] of this.tests) {
      if (!test.isSettled && nowMs - test.retiredAtMs >= TEST_LIMIT_MS) this.blame(targetId, test)
      if (nowMs - test.retiredAtMs >= TRUST_MS) this.tests.delete(targetId)
    }
  }

  private suspect (report: AttemptReport, test: Test | undefined): boolean {
    const { clock, retire } = this.options
    const nowMs = clock.monotonicMs()
    const startedAtMs = nowMs - report.latencyMs
    if (test === undefined) {
      retire(report.target.id, 0)
      this.tests.set(report.target.id, { retiredAtMs: nowMs, heldBack: [report], isSettled: false })
      return false
    }
    if (startedAtMs > test.retiredAtMs) return true
    if (!test.isSettled && test.heldBack.length < MAX_HELD_BACK) this.tests.set(report.target.id, { ...test, heldBack: [...test.heldBack, report] })
    return false
  }

  private settle (report: AttemptReport, test: Test): void {
    const { clock, retire, samePath, onSilent } = this.options
    if (clock.monotonicMs() - report.latencyMs < test.retiredAtMs) return
    if (report.outcome !== 'ok') return
    this.tests.set(report.target.id, { ...test, heldBack: [], isSettled: true })
    onSilent(report.target)
    const ageMs = clock.monotonicMs() - test.retiredAtMs
    for (const target of samePath(report.target)) retire(target.id, ageMs)
  }

  private blame (targetId: string, test: Test): void {
    this.tests.set(targetId, { ...test, heldBack: [], isSettled: true })
    for (const report of test.heldBack) this.options.count(report)
  }
}
