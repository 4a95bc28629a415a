import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock, Random } from '@lovagehoist/common'
import type { AdmissionMetrics } from './admissionMetrics.js'
import type { AdmissionRequest, AdmissionRefusal, RefusalReason } from './admissionTypes.js'
import { ServiceQueue } from './serviceQueue.js'

/** Clock, randomness, capacities and metrics of admission control. */
export interface AdmissionOptions {
  readonly clock: Clock
  readonly random: Random
  /** Current limit of concurrent requests of this daemon to a service. */
  readonly capacity: (service: string) => number
  readonly metrics: AdmissionMetrics
}

/** Smallest `Retry-After` delay, before jitter. */
const MIN_RETRY_AFTER_MS = 500
/** Jitter: `Retry-After` is extended by up to this multiple of the estimated wait. */
const RETRY_AFTER_SPREAD = 2

/** Admission control: limits concurrent and queued requests for each service, and requests in flight for each account. */
export class Admission {
  private readonly queues = new Map<string, ServiceQueue>()
  private readonly inFlight = new Map<string, number>()

  private constructor (private readonly options: AdmissionOptions) {}

  /**
   * Creates an admission control without requests.
   *
   * @param options - Time, randomness and the capacity of each service.
   * @returns The admission control.
   */
  static create (options: AdmissionOptions): Admission {
    return new Admission(options)
  }

  /**
   * Runs work once there is capacity for it.
   *
   * @param request - Route, account and deadline.
   * @param work - Work to run.
   * @returns Resolves when the work is done, or as soon as it is certain that it will not be started.
   */
  async admit (request: AdmissionRequest, work: () => Promise<void>): Promise<Result<void, AdmissionRefusal>> {
    const queue = this.queueOf(request.route.service)
    const { id, limits } = request.account
    const count = this.inFlight.get(id) ?? 0
    if (count >= limits.maxInFlight) return this.refuse(request, 'account-limit', queue)
    this.inFlight.set(id, count + 1)
    try {
      const ended = await queue.run(request, work)
      return ended === 'done' ? ok(undefined) : this.refuse(request, ended, queue)
    } finally {
      this.decrementInFlight(id)
    }
  }

  private refuse (request: AdmissionRequest, reason: RefusalReason, queue: ServiceQueue): Result<void, AdmissionRefusal> {
    this.options.metrics.countRefusal(request.route.service, reason)
    const waitMs = Math.max(MIN_RETRY_AFTER_MS, queue.estimateWaitMs(request))
    return err({ reason, retryAfterMs: waitMs * (1 + RETRY_AFTER_SPREAD * this.options.random.next()) })
  }

  private decrementInFlight (accountId: string): void {
    const count = (this.inFlight.get(accountId) ?? 1) - 1
    if (count > 0) this.inFlight.set(accountId, count)
    else this.inFlight.delete(accountId)
  }

  private queueOf (service: string): ServiceQueue {
    const known = this.queues.get(service)
    if (known !== undefined) return known
    const { clock, capacity, metrics } = this.options
    const queue = ServiceQueue.create({ service, clock, capacity: () => capacity(service), metrics })
    this.queues.set(service, queue)
    return queue
  }
}
