import type { Clock, Random } from '@lovagehoist/common'

/** Share of an account's requests that each daemon admits. */
export interface AdmittedFraction {
  readonly account: string
  /** From 0 to 1. */
  readonly fraction: number
  /** Delay after which a refused caller may expect to be admitted. */
  readonly retryDelayMs: number
}

interface ToldFraction {
  readonly fraction: number
  readonly retryDelayMs: number
  readonly receivedAtMs: number
}

interface AccountState {
  /** Latest fraction of each relay, by its start ID. */
  readonly told: Map<string, ToldFraction>
  /** Error of the admitted share so far, between 0 and 1; a request is admitted when it reaches 1. */
  error: number
}

/** Time after which a fraction that is not repeated no longer applies. */
const FRACTION_TTL_MS = 2_000
/** Time after which it no longer applies if another relay tells one. */
const OUTDATED_MS = 800
/** Refused callers return spread over this range of the expected delay, so that they don't return all at once. */
const MIN_DELAY_SHARE = 0.75
const DELAY_SPREAD = 0.5

/**
 * Admits the share of each account's requests that the relays of the zone name, the smaller one if they differ: a relay that has just started knows
 * less. Requests of accounts that they do not mention are all admitted.
 */
export class FractionAdmission {
  private readonly states = new Map<string, AccountState>()

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

  /**
   * Sets the share of an account.
   *
   * @param startId - Start ID of the relay that tells it.
   * @param admitted - Share, and the delay for those that are refused.
   */
  set (startId: string, { account, fraction, retryDelayMs }: AdmittedFraction): void {
    const known = this.states.get(account)
    if (known === undefined && fraction >= 1) return
    const state = known ?? { told: new Map<string, ToldFraction>(), error: this.random.next() }
    state.told.set(startId, { fraction, retryDelayMs, receivedAtMs: this.clock.monotonicMs() })
    this.states.set(account, state)
  }

  /** Forgets what a relay told. */
  forget (startId: string): void {
    for (const [account, { told }] of this.states) if (told.delete(startId) && told.size === 0) this.states.delete(account)
  }

  /** Decides on a request; returns 0 if it is admitted, or the delay after which its caller may return. */
  take (account: string): number {
    const state = this.states.get(account)
    if (state === undefined) return 0
    const limit = this.limitOf(account, state)
    if (limit === undefined) return 0
    state.error += limit.fraction
    if (state.error >= 1) {
      state.error--
      return 0
    }
    return limit.retryDelayMs * (MIN_DELAY_SHARE + DELAY_SPREAD * this.random.next())
  }

  /** Number of accounts of which less than everything is admitted. */
  countLimited (): number {
    return [...this.states].filter(([account, state]) => this.limitOf(account, state) !== undefined).length
  }

  /** The smallest fraction that applies; undefined if all requests are admitted. */
  private limitOf (account: string, { told }: AccountState): ToldFraction | undefined {
    const nowMs = this.clock.monotonicMs()
    for (const [startId, { receivedAtMs }] of told) {
      const ageMs = nowMs - receivedAtMs
      const hasNewer = ageMs > OUTDATED_MS && [...told.values()].some(other => nowMs - other.receivedAtMs <= OUTDATED_MS)
      if (ageMs > FRACTION_TTL_MS || hasNewer) told.delete(startId)
    }
    if (told.size === 0) this.states.delete(account)
    const smallest = [...told.values()].reduce<ToldFraction | undefined>((least, other) => least === undefined || other.fraction < least.fraction ? other : least, undefined)
    return smallest === undefined || smallest.fraction >= 1 ? undefined : smallest
  }
}
