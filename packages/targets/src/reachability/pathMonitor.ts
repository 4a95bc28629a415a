import type { CancelTimer, Clock, ListedTarget, Log, Random } from '@lovagehoist/common'

/** Whether this daemon reaches targets: `recovering` is the time after a cut in which it returns to its own connections step by step. */
export type PathState = 'open' | 'cut' | 'recovering'

/** Sources of a path monitor. */
export interface PathMonitorOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  /** Targets that may be checked. */
  readonly targets: () => readonly ListedTarget[]
  /** Opens a connection to a target for later use and calls back with whether that succeeded. */
  readonly checkConnect: (target: ListedTarget, onDone: (isOpened: boolean) => void) => void
}

/** Successful connects are trusted for this long: a failure right after one is the target's. */
const TRUSTED_MS = 300
/** Targets of different services and zones that are checked before this daemon counts as cut off. */
const CHECKED_TARGETS = 3
/** Time after which more targets are checked if the first connection is not open yet; connections within or between zones open within milliseconds. */
const HEDGE_DELAY_MS = 60
/** Interval of checks during a cut, and the number of successful ones in a row that end it. */
const RECHECK_MS = 500
const RECHECKED_TARGETS = 2
const CHECKS_TO_RECOVER = 2
/** Time over which the share of requests on own connections rises after a cut. */
const RECOVERY_MS = 2_000
/** Time without any answer after which waiting requests raise the suspicion of a cut, and the wait from which they do. */
const SILENCE_MS = 800
/** Time after a successful check for which silence alone does not start another one. */
const SILENCE_CHECK_INTERVAL_MS = 2_000
/** Actions that wait for the end of a cut. */
const MAX_DEFERRED = 256
/** Time since the last answer for which open connections count as alive during a cut. */
const ALIVE_MS = 1_500

/**
 * Tells whether a failure to reach targets is theirs or this daemon's: after each, connections to targets of other services and zones are
 * checked. While none can be opened, the daemon is cut off, and its failures are no evidence against targets.
 */
export class PathMonitor {
  private currentState: PathState = 'open'
  /** Number of the check in progress; undefined between checks. */
  private currentCheck: number | undefined
  private checkCount = 0
  private lastConnectAtMs = -Infinity
  private lastAnswerAtMs = -Infinity
  private lastConfirmedAtMs = -Infinity
  private suspectedAtMs = -Infinity
  private recoveringSinceMs = -Infinity
  private successfulRechecks = 0
  private readonly failedTargetIds = new Set<string>()
  private pending: Array<() => void> = []
  private waiting: Array<() => void> = []
  private deferred: Array<() => void> = []
  private isClosed = false
  private cancelRecheck: CancelTimer = () => {}

  private constructor (private readonly options: PathMonitorOptions) {}

  /**
   * Creates a monitor of an open path.
   *
   * @param options - Clock, randomness and the targets to check.
   * @returns The monitor.
   */
  static create (options: PathMonitorOptions): PathMonitor {
    return new PathMonitor(options)
  }

  /** State of the path to all targets. */
  get state (): PathState {
    return this.currentState
  }

  /** Whether open connections still carry answers, although new ones can't be opened. */
  get areConnectionsAlive (): boolean {
    return this.lastAnswerAtMs > this.suspectedAtMs && this.options.clock.monotonicMs() - this.lastAnswerAtMs < ALIVE_MS
  }

  /** Decides whether the next request is sent on this daemon's own path; during a recovery, the share of such requests rises. */
  readonly usesOwnPath = (): boolean => {
    if (this.currentState !== 'recovering') return this.currentState === 'open'
    const elapsedMs = this.options.clock.monotonicMs() - this.recoveringSinceMs
    if (elapsedMs >= RECOVERY_MS) this.changeState('open')
    return this.options.random.next() < elapsedMs / RECOVERY_MS
  }

  /** Records whether a connection to a target was opened. */
  readonly recordConnect = (targetId: string, isOpened: boolean): void => {
    if (!isOpened) {
      this.failedTargetIds.add(targetId)
      this.suspect()
      return
    }
    this.lastConnectAtMs = this.options.clock.monotonicMs()
    if (this.currentState !== 'cut') this.confirm()
  }

  /** Records that a target answered on any connection. */
  readonly recordAnswer = (): void => { this.lastAnswerAtMs = this.options.clock.monotonicMs() }

  /** Records that a connection to a target broke with a request on it. */
  recordDisconnect (): void {
    this.suspect()
  }

  /**
   * Raises the suspicion of a cut if no target answers any more.
   *
   * @param longestWaitMs - How long the oldest request waits beyond the usual time of its service.
   */
  recordWaiting (longestWaitMs: number): void {
    const nowMs = this.options.clock.monotonicMs()
    const isSilent = longestWaitMs >= SILENCE_MS && nowMs - this.lastAnswerAtMs >= SILENCE_MS
    if (isSilent && nowMs - this.lastConfirmedAtMs >= SILENCE_CHECK_INTERVAL_MS) this.suspect()
  }

  /**
   * Runs an action that takes a failure as evidence against a target: at once while the path is trusted, after it was confirmed, or never if this daemon
   * turns out to be cut off.
   */
  readonly afterConfirmation = (action: () => void): void => {
    if (this.currentCheck !== undefined) this.pending.push(action)
    else if (this.currentState !== 'cut') action()
  }

  /** Runs an action as soon as the path is open: at once, after the check in progress, or at the end of the cut. */
  readonly whenOpen = (action: () => void): void => {
    if (this.currentCheck === undefined && this.currentState !== 'cut') action()
    else if (this.deferred.length < MAX_DEFERRED) this.deferred.push(action)
  }

  /** Resolves once a check that is in progress has ended; at once if there is none. */
  readonly untilChecked = async (): Promise<void> => {
    if (this.currentCheck === undefined) return
    await new Promise<void>(resolve => { this.waiting.push(resolve) })
  }

  /** Ends the checks of a cut, so that nothing keeps the process running. */
  close (): void {
    this.isClosed = true
    this.cancelRecheck()
  }

  private suspect (): void {
    if (this.currentCheck !== undefined || this.currentState === 'cut') return
    const nowMs = this.options.clock.monotonicMs()
    if (nowMs - this.lastConnectAtMs <= TRUSTED_MS) return
    this.suspectedAtMs = nowMs
    this.currentCheck = ++this.checkCount
    const [first, ...others] = this.chooseTargets(CHECKED_TARGETS)
    if (first === undefined) {
      this.confirm()
      return
    }
    this.checkInSequence(first, others)
  }

  /** Checks a target and, if it can't be connected to soon, others at the same time. */
  private checkInSequence (first: ListedTarget, others: readonly ListedTarget[]): void {
    const check = this.currentCheck
    let waiting = 1 + others.length
    const onDone = (target: ListedTarget, isOpened: boolean): void => {
      waiting--
      if (isOpened) this.lastConnectAtMs = this.options.clock.monotonicMs()
      if (this.currentCheck !== check) return
      if (!isOpened) this.failedTargetIds.add(target.id)
      if (isOpened) this.confirm()
      else if (waiting === 0) this.concludeFailed()
    }
    let haveOthersStarted = false
    const startOthers = (): void => {
      if (haveOthersStarted || this.currentCheck !== check) return
      haveOthersStarted = true
      for (const target of others) this.options.checkConnect(target, isOpened => { onDone(target, isOpened) })
    }
    const cancelHedge: CancelTimer = this.options.clock.after(HEDGE_DELAY_MS, startOthers)
    this.options.checkConnect(first, isOpened => {
      cancelHedge()
      onDone(first, isOpened)
      startOthers()
    })
  }

  /** A single target that can't be reached proves nothing about the path. */
  private concludeFailed (): void {
    const isOnlyTarget = this.failedTargetIds.size < 2
    if (isOnlyTarget) {
      this.confirm()
      return
    }
    this.pending = []
    this.successfulRechecks = 0
    this.changeState('cut')
    this.endCheck()
    this.scheduleRecheck()
  }

  private confirm (): void {
    this.failedTargetIds.clear()
    this.lastConfirmedAtMs = this.options.clock.monotonicMs()
    this.endCheck()
    const { deferred } = this
    this.deferred = []
    for (const action of deferred) action()
  }

  private endCheck (): void {
    const { pending, waiting } = this
    this.currentCheck = undefined
    this.pending = []
    this.waiting = []
    for (const action of [...pending, ...waiting]) action()
  }

  private scheduleRecheck (): void {
    const { clock, random } = this.options
    if (this.isClosed) return
    this.cancelRecheck = clock.after(RECHECK_MS * (0.75 + random.next() / 2), () => { this.recheck() })
  }

  private recheck (): void {
    const targets = this.chooseTargets(RECHECKED_TARGETS)
    let waiting = targets.length
    let areAllOpen = targets.length > 0
    if (waiting === 0) this.scheduleRecheck()
    for (const target of targets) {
      this.options.checkConnect(target, isOpened => {
        areAllOpen &&= isOpened
        if (--waiting === 0) this.concludeRecheck(areAllOpen)
      })
    }
  }

  private concludeRecheck (areAllOpen: boolean): void {
    this.successfulRechecks = areAllOpen ? this.successfulRechecks + 1 : 0
    if (this.successfulRechecks < CHECKS_TO_RECOVER) {
      this.scheduleRecheck()
      return
    }
    this.recoveringSinceMs = this.options.clock.monotonicMs()
    this.changeState('recovering')
    this.confirm()
  }

  private changeState (state: PathState): void {
    this.options.log.warn('path to targets changed', { state, previousState: this.currentState, failedTargets: this.failedTargetIds.size })
    this.currentState = state
  }

  /** Chooses targets at random, those of services and zones not chosen yet first, and none that failed already if there are others. */
  private chooseTargets (count: number): readonly ListedTarget[] {
    const { random, targets } = this.options
    const all = targets().filter(({ isLeaving }) => !isLeaving)
    const untried = all.filter(({ id }) => !this.failedTargetIds.has(id))
    let remaining = (this.currentState === 'open' && untried.length > 0 ? untried : all).map(target => ({ target, order: random.next() })).sort((a, b) => a.order - b.order).map(({ target }) => target)
    const chosen: ListedTarget[] = []
    while (chosen.length < count && remaining.length > 0) {
      const novelty = ({ service, availabilityZone }: ListedTarget): number => (chosen.some(other => other.service === service) ? 0 : 2) + (chosen.some(other => other.availabilityZone === availabilityZone) ? 0 : 1)
      const best = remaining.reduce((a, b) => novelty(b) > novelty(a) ? b : a)
      chosen.push(best)
      remaining = remaining.filter(target => target !== best)
    }
    return chosen
  }
}
