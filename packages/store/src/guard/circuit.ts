import type { Clock, Random } from '@lovagehoist/common'

/** State of a circuit: `half-open` lets one call through to see whether the service answers again. */
export type CircuitState = 'closed' | 'open' | 'half-open'

/** What a circuit needs. */
export interface CircuitOptions {
  readonly clock: Clock
  readonly random: Random
  /** Called at each change of state. */
  readonly onChange?: (state: CircuitState) => void
}

const FAILURES_TO_OPEN = 3
const FIRST_BACKOFF_MS = 1_000
const MAX_BACKOFF_MS = 15_000
const MIN_BACKOFF_MS = 200

/** Stops calls to a service that does not answer in time, and tries it again after a random time. */
export class Circuit {
  private state: CircuitState = 'closed'
  private failures = 0
  private openings = 0
  private triesAtMs = 0

  private constructor (private readonly options: CircuitOptions) {}

  /**
   * Creates a closed circuit.
   *
   * @param options - Time, randomness and whom to tell of changes.
   * @returns The circuit.
   */
  static create (options: CircuitOptions): Circuit {
    return new Circuit(options)
  }

  /** State now. */
  get current (): CircuitState {
    return this.state
  }

  /** Whether a call may go out now; after the wait exactly one may, until it ends. */
  admit (): boolean {
    if (this.state === 'closed') return true
    if (this.state === 'half-open' || this.options.clock.monotonicMs() < this.triesAtMs) return false
    this.change('half-open')
    return true
  }

  /** Notes a call that was answered in time. */
  succeed (): void {
    this.failures = 0
    this.openings = 0
    if (this.state !== 'closed') this.change('closed')
  }

  /** Notes a call that was not answered in time, or that the service could not serve. */
  fail (): void {
    this.failures++
    if (this.state === 'open' || (this.state === 'closed' && this.failures < FAILURES_TO_OPEN)) return
    const { clock, random } = this.options
    const limitMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** this.openings)
    this.openings++
    this.triesAtMs = clock.monotonicMs() + MIN_BACKOFF_MS + random.next() * limitMs
    this.change('open')
  }

  private change (state: CircuitState): void {
    this.state = state
    this.options.onChange?.(state)
  }
}
