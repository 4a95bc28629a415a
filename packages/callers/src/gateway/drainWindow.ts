import type { CancelTimer, Clock } from '@lovagehoist/common'

/** Time after the start of a shutdown during which requests are still accepted: by its end the load balancer routes new connections elsewhere. */
const ACCEPT_MS = 2_900
/** Largest share of the grace period in which requests are still accepted: the rest is left for requests in progress. */
const MAX_ACCEPT_SHARE = 0.5

/** Time reserved at the end of the grace period; requests still in progress are cut off by then. */
const CUT_MARGIN_MS = 800
/** How often the usual time of a request has to fit into what is left: work has a tail, and callers that are refused find another instance at once. */
const EARLY_FACTOR = 2
const LATE_FACTOR = { idempotent: 4, nonIdempotent: 8 } as const

/** What decides whether a request can still end within the grace period. */
export interface DrainNeeds {
  /** Usual time of such a request at a target, in milliseconds. */
  readonly usualMs: number
  readonly isIdempotent: boolean
  /** Monotonic time by which the request ends in any case. */
  readonly deadlineAtMs: number
}

/** Decides whether a process that is shutting down still accepts requests: a late one would be cut off when the process is killed. */
export class DrainWindow {
  private acceptUntilMs = Infinity
  private cutAtMs = Infinity
  private readonly watchers = new Set<() => void>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates the drain window of a process that is not shutting down yet.
   *
   * @param clock - Source of time.
   * @returns The drain window.
   */
  static create (clock: Clock): DrainWindow {
    return new DrainWindow(clock)
  }

  /**
   * Starts the shutdown; can't be undone.
   *
   * @param graceMs - Grace period, in milliseconds, until the process is killed.
   */
  begin (graceMs: number): void {
    const nowMs = this.clock.monotonicMs()
    this.acceptUntilMs = nowMs + Math.min(ACCEPT_MS, MAX_ACCEPT_SHARE * graceMs)
    this.cutAtMs = nowMs + Math.max(0, graceMs - CUT_MARGIN_MS)
    for (const start of this.watchers) start()
  }

  /** Monotonic time at which requests in progress are cut off; infinite while the process is not shutting down. */
  get endsAtMs (): number {
    return this.cutAtMs
  }

  /** Whether a request that is passed on now can be expected to end before it would be cut off. */
  canFinish (needs: DrainNeeds): boolean {
    return this.clock.monotonicMs() <= this.latestStartMs(needs)
  }

  /**
   * Watches for the moment from which a request can't be passed on any more.
   *
   * @param needs - What the request needs.
   * @param onTooLate - Called once at that moment, if the process shuts down.
   * @returns Ends the watch.
   */
  watch (needs: DrainNeeds, onTooLate: () => void): () => void {
    let cancelTimer: CancelTimer = () => {}
    const start = (): void => { cancelTimer = this.clock.after(Math.max(0, this.latestStartMs(needs) - this.clock.monotonicMs()), onTooLate) }
    this.watchers.add(start)
    if (this.isDraining) start()
    return () => {
      this.watchers.delete(start)
      cancelTimer()
    }
  }

  private latestStartMs ({ usualMs, isIdempotent, deadlineAtMs }: DrainNeeds): number {
    if (deadlineAtMs <= this.cutAtMs) return Infinity
    const lateFactor = isIdempotent ? LATE_FACTOR.idempotent : LATE_FACTOR.nonIdempotent
    const earlyMs = Math.min(this.acceptUntilMs, this.cutAtMs - EARLY_FACTOR * usualMs)
    return Math.max(earlyMs, this.cutAtMs - lateFactor * usualMs)
  }

  /** Whether the process is shutting down. */
  get isDraining (): boolean {
    return this.acceptUntilMs !== Infinity
  }

  /** Whether a request that arrives now is accepted. */
  get isAccepting (): boolean {
    return this.clock.monotonicMs() <= this.acceptUntilMs
  }
}
