import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock, Random } from '@lovagehoist/common'
import type { AdmissionMetrics } from './admissionMetrics.js'
import type { AdmissionNeed, AdmissionRefusal, RefusalReason } from './admissionTypes.js'
import { ServiceQueue } from './serviceQueue.js'

/** What admission needs. */
export interface AdmissionOptions {
  readonly clock: Clock
  readonly random: Random
  /** Requests of a service that this daemon may run at once now. */
  readonly capacity: (service: string) => number
  readonly metrics: AdmissionMetrics
}

/** Shortest time after which a refused caller may come back. */
const LEAST_RETRY_AFTER_MS = 500
/** Retry-After is spread over this multiple of the estimated wait. */
const RETRY_AFTER_SPREAD = 2

/** Bounds the work in progress and in wait for each service and account. */
export class Admission {
  private readonly queues = new Map<string, ServiceQueue>()
  private readonly inFlight = new Map<string, number>()

  private constructor (private readonly options: AdmissionOptions) {}

  /**
   * Creates an empty admission.
   *
   * @param options - Time, randomness and the capacity of each service.
   * @returns The admission.
   */
  static create (options: AdmissionOptions): Admission {
    return new Admission(options)
  }

  /**
   * Runs work when there is room for it.
   *
   * @param need - Route, account and deadline.
   * @param work - Work to run.
   * @returns Resolves when the work is done, or as soon as it is known that it will not be started.
   */
  async admit (need: AdmissionNeed, work: () => Promise<void>): Promise<Result<void, AdmissionRefusal>> {
    const queue = this.queueOf(need.route.service)
    const { id, limits } = need.account
    const load = this.inFlight.get(id) ?? 0
    if (load >= limits.maxInFlight) return this.refuse(need, 'account-limit', queue)
    this.inFlight.set(id, load + 1)
    try {
      const ended = await queue.run(need, work)
      return ended === 'done' ? ok(undefined) : this.refuse(need, ended, queue)
    } finally {
      this.leave(id)
    }
  }

  private refuse (need: AdmissionNeed, reason: RefusalReason, queue: ServiceQueue): Result<void, AdmissionRefusal> {
    this.options.metrics.countRefusal(need.route.service, reason)
    const waitMs = Math.max(LEAST_RETRY_AFTER_MS, queue.estimateWaitMs(need))
    return err({ reason, retryAfterMs: waitMs * (1 + RETRY_AFTER_SPREAD * this.options.random.next()) })
  }

  private leave (accountId: string): void {
    const load = (this.inFlight.get(accountId) ?? 1) - 1
    if (load > 0) this.inFlight.set(accountId, load)
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
