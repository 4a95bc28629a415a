import type { Clock, PlatformError, PlatformErrorKind, Random } from '@lovagehoist/common'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import PQueue from 'p-queue'
import { CircuitBreaker } from './circuitBreaker.js'
import type { PlatformMetrics, ServiceName } from './platformMetrics.js'

/** Options of a limiter. */
export interface ServiceCallLimiterOptions {
  readonly service: ServiceName
  readonly clock: Clock
  readonly random: Random
  readonly metrics: PlatformMetrics
  /** Maximum number of concurrent calls. */
  readonly concurrency: number
  /** Maximum number of queued calls; further ones are rejected. */
  readonly maxQueued: number
}

/** Whether a kind of error counts as a failure of the service for its circuit breaker. */
const COUNTS_AS_FAILURE: Readonly<Record<PlatformErrorKind, boolean>> = { unavailable: true, unknown: true, rejected: false }

/** Limits the calls to one service of the platform by a concurrency limit, a bounded queue and a circuit breaker. */
export class ServiceCallLimiter {
  private readonly queue: PQueue
  private readonly breaker: CircuitBreaker

  private constructor (private readonly options: ServiceCallLimiterOptions) {
    const { service, clock, random, metrics, concurrency } = options
    this.queue = new PQueue({ concurrency })
    this.breaker = CircuitBreaker.create({ clock, random, onChange: state => { metrics.setCircuitState(service, state) } })
  }

  /**
   * Creates a limiter with a closed circuit breaker.
   *
   * @param options - Service, clock, randomness, metrics and limits.
   * @returns The limiter.
   */
  static create (options: ServiceCallLimiterOptions): ServiceCallLimiter {
    return new ServiceCallLimiter(options)
  }

  /**
   * Makes a call unless the queue is full or the circuit breaker is open.
   *
   * @param kind - Whether the call only reads or can change the platform's state.
   * @param call - The call.
   * @returns Its result; `unavailable` when the call was not made.
   */
  async run<T> (kind: 'read' | 'write', call: () => Promise<Result<T, PlatformError>>): Promise<Result<T, PlatformError>> {
    if (this.queue.size >= this.options.maxQueued) return this.reject(kind, 'too many calls are queued')
    return await this.queue.add(async () => await this.call(kind, call))
  }

  private async call<T> (kind: 'read' | 'write', call: () => Promise<Result<T, PlatformError>>): Promise<Result<T, PlatformError>> {
    const { service, metrics } = this.options
    if (!this.breaker.admit()) return this.reject(kind, 'the circuit breaker is open')
    const result = await call()
    if (result.isErr() && COUNTS_AS_FAILURE[result.error.kind]) this.breaker.recordFailure()
    else this.breaker.recordSuccess()
    metrics.countCall(service, kind, result.isErr() ? result.error.kind : 'answered')
    return result
  }

  private reject (kind: 'read' | 'write', reason: string): Result<never, PlatformError> {
    const { service, metrics } = this.options
    metrics.countCall(service, kind, 'not-made')
    return err({ kind: 'unavailable', message: `${service}: ${reason}` })
  }
}
