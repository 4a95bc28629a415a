import type { Clock, PlatformError, PlatformErrorKind, Random } from '@lovagehoist/common'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import PQueue from 'p-queue'
import { Circuit } from './circuit.js'
import type { PlatformMetrics, ServiceName } from './platformMetrics.js'

/** What a guard needs. */
export interface ServiceGuardOptions {
  readonly service: ServiceName
  readonly clock: Clock
  readonly random: Random
  readonly metrics: PlatformMetrics
  /** Calls that run at once. */
  readonly concurrency: number
  /** Calls that wait; more are refused. */
  readonly maxWaiting: number
}

/** Whether a kind of error means that the service is down or slow. */
const IS_FAILURE: Readonly<Record<PlatformErrorKind, boolean>> = { unavailable: true, unknown: true, rejected: false }

/** Bounds the calls to one service of the platform and stops them while it does not answer. */
export class ServiceGuard {
  private readonly queue: PQueue
  private readonly circuit: Circuit

  private constructor (private readonly options: ServiceGuardOptions) {
    const { service, clock, random, metrics, concurrency } = options
    this.queue = new PQueue({ concurrency })
    this.circuit = Circuit.create({ clock, random, onChange: state => { metrics.circuit(service, state) } })
  }

  /**
   * Creates a guard with a closed circuit.
   *
   * @param options - Service, time, randomness, counters and limits.
   * @returns The guard.
   */
  static create (options: ServiceGuardOptions): ServiceGuard {
    return new ServiceGuard(options)
  }

  /**
   * Makes a call unless the service is known not to answer or too many calls wait.
   *
   * @param kind - Whether the call can change the platform's state.
   * @param call - The call.
   * @returns Its result; `unavailable` when it was not made.
   */
  async run<T> (kind: 'read' | 'write', call: () => Promise<Result<T, PlatformError>>): Promise<Result<T, PlatformError>> {
    if (this.queue.size >= this.options.maxWaiting) return this.refuse(kind, 'too many calls wait')
    return await this.queue.add(async () => await this.call(kind, call))
  }

  private async call<T> (kind: 'read' | 'write', call: () => Promise<Result<T, PlatformError>>): Promise<Result<T, PlatformError>> {
    const { service, metrics } = this.options
    if (!this.circuit.admit()) return this.refuse(kind, 'it did not answer lately')
    const result = await call()
    if (result.isErr() && IS_FAILURE[result.error.kind]) this.circuit.fail()
    else this.circuit.succeed()
    metrics.called(service, kind, result.isErr() ? result.error.kind : 'answered')
    return result
  }

  private refuse (kind: 'read' | 'write', reason: string): Result<never, PlatformError> {
    const { service, metrics } = this.options
    metrics.called(service, kind, 'not-made')
    return err({ kind: 'unavailable', message: `${service}: ${reason}` })
  }
}
