import type { Clock, PlatformError, PlatformErrorKind, Random } from '@lovagehoist/common'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import PQueue from 'p-queue'
import { CircuitBreaker } from './circuitBreaker.js'
import type { PlatformMetrics, ServiceName } from './platformMetrics.js'

/** What a guard needs. */
export interface ServiceCallLimiterOptions {
  readonly service: ServiceName
  readonly clock: Clock
  readonly random: Random
  readonly metrics: PlatformMetrics
  /** Calls that run at once. */
  readonly concurrency: number
  /** Calls that wait; more are refused. */
  readonly maxQueued: number
}

/** Whether a kind of error means that the service is down or slow. */
const COUNTS_AS_FAILURE: Readonly<Record<PlatformErrorKind, boolean>> = { unavailable: true, unknown: true, rejected: false }

/** Bounds the calls to one service of the platform and stops them while it does not answer. */
export class ServiceCallLimiter {
  private readonly queue: PQueue
  private readonly breaker: CircuitBreaker

  private constructor (private readonly options: ServiceCallLimiterOptions) {
    const { service, clock, random, metrics, concurrency } = options
    this.queue = new PQueue({ concurrency })
    this.breaker = CircuitBreaker.create({ clock, random, onChange: state => { metrics.setCircuitState(service, state) } })
  }

  /**
   * Creates a guard with a closed circuit.
   *
   * @param options - Service, time, randomness, counters and limits.
   * @returns The guard.
   */
  static create (options: ServiceCallLimiterOptions): ServiceCallLimiter {
    return new ServiceCallLimiter(options)
  }

  /**
   * Makes a call unless the service is known not to answer or too many calls wait.
   *
   * @param kind - Whether the call can change the platform's state.
   * @param call - The call.
   * @returns Its result; `unavailable` when it was not made.
   */
  async run<T> (kind: 'read' | 'write', call: () => Promise<Result<T, PlatformError>>): Promise<Result<T, PlatformError>> {
    if (this.queue.size >= this.options.maxQueued) return this.reject(kind, 'too many calls wait')
    return await this.queue.add(async () => await this.call(kind, call))
  }

  private async call<T> (kind: 'read' | 'write', call: () => Promise<Result<T, PlatformError>>): Promise<Result<T, PlatformError>> {
    const { service, metrics } = this.options
    if (!this.breaker.admit()) return this.reject(kind, 'it did not answer lately')
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
