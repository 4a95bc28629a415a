import type { Clock, Random } from '@lovagehoist/common'

/** Share of an account's requests that each daemon admits. */
export interface AdmittedFraction {
  readonly account: string
  /** From 0 to 1. */
  readonly fraction: number
  /** Delay after which a refused caller may expect to be admitted. */
  readonly retryDelayMs: number
}

interface FractionState {
  fraction: number
  retryDelayMs: number
  receivedAtMs: number
  /** Error of the admitted share so far, between 0 and 1; a request is admitted when it reaches 1. */
  error: number
}

/** Time after which a fraction that is not repeated no longer applies. */
const FRACTION_TTL_MS = 2_000
/** Refused callers return spread over this range of the expected delay, so that they don't return all at once. */
const MIN_DELAY_SHARE = 0.75
const DELAY_SPREAD = 0.5

/** Admits the share of each account's requests that the relay names; requests of accounts that it does not mention are all admitted. */
export class FractionAdmission {
  private readonly states = new Map<string, FractionState>()

  private constructor (private readonly clock: Clock, private readonly random: Random) {}

  /**
   * Creates an admission that admits everything.
   *
   * @param clock - Source of time.
   * @param random - Spreads the refusals of different daemons, and the returns of refused callers.
   * @returns The admission.
   */
  static create (clock: Clock, random: Random): FractionAdmission {
    return new FractionAdmission(clock, random)
  }

  /** Sets the share of an account; the latest one applies. */
  set ({ account, fraction, retryDelayMs }: AdmittedFraction): void {
    const receivedAtMs = this.clock.monotonicMs()
    const known = this.states.get(account)
    if (fraction >= 1) this.states.delete(account)
    else if (known === undefined) this.states.set(account, { fraction, retryDelayMs, receivedAtMs, error: this.random.next() })
    else Object.assign(known, { fraction, retryDelayMs, receivedAtMs })
  }

  /** Decides on a request; returns 0 if it is admitted, or the delay after which its caller may return. */
  take (account: string): number {
    const state = this.states.get(account)
    if (state === undefined) return 0
    if (this.clock.monotonicMs() - state.receivedAtMs > FRACTION_TTL_MS) {
      this.states.delete(account)
      return 0
    }
    state.error += state.fraction
    if (state.error >= 1) {
      state.error--
      return 0
    }
    return state.retryDelayMs * (MIN_DELAY_SHARE + DELAY_SPREAD * this.random.next())
  }

  /** Accounts of which less than everything is admitted. */
  limited (): readonly AdmittedFraction[] {
    const oldestMs = this.clock.monotonicMs() - FRACTION_TTL_MS
    return [...this.states].filter(([, { receivedAtMs }]) => receivedAtMs >= oldestMs).map(([account, { fraction, retryDelayMs }]) => ({ account, fraction, retryDelayMs }))
  }
}
