/** Usage of one account in one zone, as its relay knows it. */
export interface ZoneUsage {
  readonly account: string
  readonly demandPerSecond: number
  /** Requests admitted since the relay began to count. */
  readonly admitted: number
  /** Level of the relay's token bucket. */
  readonly level: number
}

/** Usage that the relay of a zone tells the relays of other zones. */
export interface ZoneReport {
  readonly zone: string
  readonly startId: string
  /** Time since the relay's process started; orders its reports. */
  readonly uptimeMs: number
  readonly usages: readonly ZoneUsage[]
}

/** What is known of the usage of one account in another zone; between two reports it is extrapolated. */
export class RemoteUsage {
  private startId = ''
  private uptimeMs = -Infinity
  private admitted = 0
  private heardAtMs = -Infinity
  private latestPerSecond = 0
  /** Requests that were assumed since the latest report. */
  private assumed = 0
  private drainedTotal = 0

  private constructor () {}

  /** Creates a usage of which nothing is known. */
  static create (): RemoteUsage {
    return new RemoteUsage()
  }

  /** Requests admitted there that were subtracted from the level here. */
  get drained (): number {
    return this.drainedTotal
  }

  /** Requests per second demanded there; 0 once the zone no longer mentions the account, since it is then far below its quota. */
  perSecond (nowMs: number): number {
    return nowMs - this.heardAtMs <= MAX_EXTRAPOLATION_MS ? this.latestPerSecond : 0
  }

  /**
   * Extrapolates the usage.
   *
   * @param fromMs - Monotonic time up to which it is known.
   * @param toMs - Monotonic time now.
   * @param fraction - Share of the requests that is admitted.
   * @returns Requests assumed to have been admitted meanwhile.
   */
  advance (fromMs: number, toMs: number, fraction: number): number {
    const untilMs = Math.min(toMs, this.heardAtMs + MAX_EXTRAPOLATION_MS)
    const count = Math.max(0, untilMs - fromMs) * this.latestPerSecond * fraction / MS_PER_SECOND
    this.assumed += count
    this.drainedTotal += count
    return count
  }

  /**
   * Applies a report; one that is older than the latest changes nothing.
   *
   * @returns Requests by which the extrapolation was too low; negative if it was too high.
   */
  apply ({ startId, uptimeMs }: ZoneReport, { demandPerSecond, admitted }: ZoneUsage, nowMs: number, fraction: number): number {
    const isSameRelay = startId === this.startId
    if (isSameRelay && uptimeMs <= this.uptimeMs) return 0
    // The standby relay counts on its own; its reports count once the first one has stopped.
    if (!isSameRelay && nowMs - this.heardAtMs < RELAY_CHANGE_MS) return 0
    const isKnown = nowMs - this.heardAtMs <= MAX_EXTRAPOLATION_MS
    const count = isSameRelay && isKnown ? admitted - this.admitted - this.assumed : isKnown ? 0 : demandPerSecond * fraction * UNKNOWN_MS / MS_PER_SECOND
    Object.assign(this, { startId, uptimeMs, admitted, heardAtMs: nowMs, latestPerSecond: demandPerSecond, assumed: 0 })
    this.drainedTotal += count
    return count
  }
}

/** Time for which a usage is extrapolated without a report. */
const MAX_EXTRAPOLATION_MS = 2_000
/** Silence of a zone's relay from which another relay of the zone is believed. */
const RELAY_CHANGE_MS = 400
/** Time that the first report after a long silence stands for: zones begin to report soon after an account's demand rises. */
const UNKNOWN_MS = 400
const MS_PER_SECOND = 1_000
