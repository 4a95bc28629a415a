interface Period {
  readonly fromMs: number
  untilMs: number
}

/** Record of the periods in which a component had a fault. */
export class FaultPeriods {
  private readonly periods: Period[] = []

  private constructor (private readonly nowMs: () => number) {}

  /**
   * Creates an empty record.
   *
   * @param nowMs - Returns the monotonic time, in milliseconds.
   * @returns The record.
   */
  static create (nowMs: () => number): FaultPeriods {
    return new FaultPeriods(nowMs)
  }

  /**
   * Records the start of a fault.
   *
   * @returns A function that records the end of the fault.
   */
  start (): () => void {
    const period: Period = { fromMs: this.nowMs(), untilMs: Infinity }
    this.periods.push(period)
    return () => { period.untilMs = this.nowMs() }
  }

  /** Whether any period overlaps the given one, whose ends are included. */
  overlaps (fromMs: number, toMs: number): boolean {
    return this.periods.some(period => period.fromMs <= toMs && period.untilMs >= fromMs)
  }
}
