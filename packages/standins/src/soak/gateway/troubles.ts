interface Span {
  readonly fromMs: number
  untilMs: number
}

/** Times in which something was in trouble. */
export class Troubles {
  private readonly spans: Span[] = []

  private constructor (private readonly nowMs: () => number) {}

  /**
   * Creates a record without troubles.
   *
   * @param nowMs - Monotonic time.
   * @returns The record.
   */
  static create (nowMs: () => number): Troubles {
    return new Troubles(nowMs)
  }

  /**
   * Notes that a trouble begins.
   *
   * @returns Notes that it ends.
   */
  begin (): () => void {
    const span: Span = { fromMs: this.nowMs(), untilMs: Infinity }
    this.spans.push(span)
    return () => { span.untilMs = this.nowMs() }
  }

  /** Whether there was trouble at any moment between two times. */
  between (fromMs: number, toMs: number): boolean {
    return this.spans.some(span => span.fromMs <= toMs && span.untilMs >= fromMs)
  }
}
