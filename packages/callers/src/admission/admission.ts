import PQueue from 'p-queue'
import type { RouteConfig } from '@lovagehoist/common'
import type { Account } from '../accounts/identifyAccount.js'

const PRIORITY: Readonly<Record<RouteConfig['priority'], number>> = { payment: 2, normal: 1, background: 0 }

/** A request that wants to be admitted. */
export interface AdmissionNeed {
  readonly route: RouteConfig
  readonly account: Account
  readonly maxQueued: number
}

/** Bounds the work in progress and in wait for each service. */
export class Admission {
  private readonly queues = new Map<string, PQueue>()
  private readonly inFlight = new Map<string, number>()

  private constructor (private readonly concurrencyOf: (service: string) => number) {}

  /**
   * Creates an empty admission.
   *
   * @param concurrencyOf - Requests of a service that this daemon runs at once.
   * @returns The admission.
   */
  static create (concurrencyOf: (service: string) => number): Admission {
    return new Admission(concurrencyOf)
  }

  /**
   * Runs work when there is room for it.
   *
   * @param need - Route and account.
   * @param work - Work to run.
   * @returns Undefined at once when the queue or the account is full; otherwise resolves when the work is done.
   */
  admit (need: AdmissionNeed, work: () => Promise<void>): Promise<void> | undefined {
    const queue = this.queueOf(need.route.service)
    const accountLoad = this.inFlight.get(need.account.id) ?? 0
    if (accountLoad >= need.account.limits.maxInFlight || queue.size >= need.maxQueued) return undefined
    this.inFlight.set(need.account.id, accountLoad + 1)
    return queue.add(work, { priority: PRIORITY[need.route.priority] }).finally(() => { this.leave(need.account.id) })
  }

  private leave (accountId: string): void {
    const load = (this.inFlight.get(accountId) ?? 1) - 1
    if (load > 0) this.inFlight.set(accountId, load)
    else this.inFlight.delete(accountId)
  }

  private queueOf (service: string): PQueue {
    const concurrency = Math.max(1, this.concurrencyOf(service))
    const queue = this.queues.get(service) ?? new PQueue({ concurrency })
    queue.concurrency = concurrency
    this.queues.set(service, queue)
    return queue
  }
}
