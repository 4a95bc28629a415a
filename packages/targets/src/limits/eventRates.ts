import type { Clock } from '@lovagehoist/common'

interface RateState {
  readonly perSecond: number
  readonly atMs: number
}

/** Time constant of the average. */
const AVERAGING_MS = 2_000
const MS_PER_SECOND = 1_000
/** Rates below this count as none. */
const MIN_RATE = 0.01

/** Recent rate of events by name, as an exponential average over about two seconds. */
export class EventRates {
  private readonly states = new Map<string, RateState>()

  private constructor (private readonly clock: Clock) {}

  /**
   * Creates rates without events.
   *
   * @param clock - Source of time.
   * @returns The rates.
   */
  static create (clock: Clock): EventRates {
    return new EventRates(clock)
  }

  /** Adds events that happen now. */
  record (name: string, count = 1): void {
    this.states.set(name, { perSecond: this.perSecond(name) + count * MS_PER_SECOND / AVERAGING_MS, atMs: this.clock.monotonicMs() })
  }

  /** Events per second of a name. */
  perSecond (name: string): number {
    const state = this.states.get(name)
    return state === undefined ? 0 : state.perSecond * Math.exp(-(this.clock.monotonicMs() - state.atMs) / AVERAGING_MS)
  }

  /** Events per second of all names with recent events. */
  all (): ReadonlyArray<readonly [name: string, perSecond: number]> {
    const rates = [...this.states.keys()].map(name => [name, this.perSecond(name)] as const)
    for (const [name, rate] of rates) if (rate < MIN_RATE) this.states.delete(name)
    return rates.filter(([, rate]) => rate >= MIN_RATE)
  }
}
