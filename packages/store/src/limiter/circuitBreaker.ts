import type { Clock, Random } from '@lovagehoist/common'

/** State of a circuit breaker; `half-open` lets one call through to probe whether the service has recovered. */
export type CircuitState = 'closed' | 'open' | 'half-open'

/** Options of a circuit breaker. */
export interface CircuitBreakerOptions {
  readonly clock: Clock
  readonly random: Random
  /** Called after each change of state. */
  readonly onChange?: (state: CircuitState) => void
}

const FAILURES_TO_OPEN = 3
const INITIAL_BACKOFF_MS = 1_000
const MAX_BACKOFF_MS = 15_000
const MIN_BACKOFF_MS = 200

/** Stops calls to a service after consecutive failures and probes it again after an exponential backoff with full jitter. */
export class CircuitBreaker {
  private state: CircuitState = 'closed'
  private consecutiveFailures = 0
  private consecutiveOpenings = 0
  private retryAtMs = 0

  private constructor (private readonly options: CircuitBreakerOptions) {}

  /**
   * Creates a closed circuit breaker.
   *
   * @param options - Clock, randomness and listener.
   * @returns The circuit breaker.
   */
  static create (options: CircuitBreakerOptions): CircuitBreaker {
    return new CircuitBreaker(options)
  }

  /** Current state. */
  get currentState (): CircuitState {
    return this.state
  }

  /** Whether a call may be made now. After the backoff, the first call to ask becomes the probe and no other may be made until it ends. */
  admit (): boolean {
    if (this.state === 'closed') return true
    if (this.state === 'half-open' || this.options.clock.monotonicMs() < this.retryAtMs) return false
    this.setState('half-open')
    return true
  }

  /** Records a call that the service answered in time, be it with a rejection. */
  recordSuccess (): void {
    this.consecutiveFailures = 0
    this.consecutiveOpenings = 0
    if (this.state !== 'closed') this.setState('closed')
  }

  /** Records a call that timed out or that the service could not serve; opens the circuit after three in a row. */
  recordFailure (): void {
    this.consecutiveFailures++
    if (this.state === 'open' || (this.state === 'closed' && this.consecutiveFailures < FAILURES_TO_OPEN)) return
    const { clock, random } = this.options
    const limitMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** this.consecutiveOpenings)
    this.consecutiveOpenings++
    this.retryAtMs = clock.monotonicMs() + MIN_BACKOFF_MS + random.next() * limitMs
    this.setState('open')
  }

  private setState (state: CircuitState): void {
    this.state = state
    this.options.onChange?.(state)
  }
}
