import type { Clock, Random } from '@lovagehoist/common'

/** State of a circuit: `half-open` lets one call through to see whether the service answers again. */
export type CircuitState = 'closed' | 'open' | 'half-open'

/** What a circuit needs. */
export interface CircuitBreakerOptions {
  readonly clock: Clock
  readonly random: Random
  /** Called at each change of state. */
  readonly onChange?: (state: CircuitState) => void
}

const FAILURES_TO_OPEN = 3
const INITIAL_BACKOFF_MS = 1_000
const MAX_BACKOFF_MS = 15_000
const MIN_BACKOFF_MS = 200

/** Stops calls to a service that does not answer in time, and tries it again after a random time. */
export class CircuitBreaker {
  private state: CircuitState = 'closed'
  private consecutiveFailures = 0
  private consecutiveOpenings = 0
  private retryAtMs = 0

  private constructor (private readonly options: CircuitBreakerOptions) {}

  /**
   * Creates a closed circuit.
   *
   * @param options - Time, randomness and whom to tell of changes.
   * @returns The circuit.
   */
  static create (options: CircuitBreakerOptions): CircuitBreaker {
    return new CircuitBreaker(options)
  }

  /** State now. */
  get currentState (): CircuitState {
    return this.state
  }

  /** Whether a call may go out now; after the wait exactly one may, until it ends. */
  admit (): boolean {
    if (this.state === 'closed') return true
    if (this.state === 'half-open' || this.options.clock.monotonicMs() < this.retryAtMs) return false
    this.setState('half-open')
    return true
  }

  /** Notes a call that was answered in time. */
  recordSuccess (): void {
    this.consecutiveFailures = 0
    this.consecutiveOpenings = 0
    if (this.state !== 'closed') this.setState('closed')
  }

  /** Notes a call that was not answered in time, or that the service could not serve. */
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
