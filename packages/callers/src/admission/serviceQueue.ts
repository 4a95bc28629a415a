import PQueue from 'p-queue'
import type { Clock, RouteConfig } from '@lovagehoist/common'
import type { AdmissionRequest, RefusalReason } from './admissionTypes.js'
import type { AdmissionMetrics } from './admissionMetrics.js'
import { FairQueue } from './fairQueue.js'
import type { FairQueueOptions } from './fairQueue.js'
import { PriorityMix } from './priorityMix.js'
import { MeanRunTime } from './meanRunTime.js'

type RoutePriority = RouteConfig['priority']

const QUEUE_PRIORITY: Readonly<Record<RoutePriority, number>> = { payment: 2, normal: 1, background: 0 }

/** Share of the time until the deadline that a request may spend in the queue; the rest is left for its execution. */
const MAX_WAIT_SHARE: Readonly<Record<RoutePriority, number>> = { payment: 0.6, normal: 0.3, background: 0.15 }

/** Service, clock, capacity and metrics of a queue. */
export interface ServiceQueueOptions {
  readonly service: string
  readonly clock: Clock
  /** Current limit of concurrent requests. */
  readonly capacity: () => number
  readonly metrics: AdmissionMetrics
}

/** A queued request. */
interface QueuedRequest {
  readonly controller: AbortController
  hasStarted: boolean
}

/** Queue of one service's requests with limited concurrency; refuses requests that would miss their deadline. */
export class ServiceQueue {
  /** Queue that `p-queue` works on; shared with it in the constructor. */
  private readonly fairQueue = new FairQueue()
  private readonly queue: PQueue<FairQueue, FairQueueOptions>
  private readonly queuedRequests = new Map<string, QueuedRequest>()
  private readonly meanRunTime = MeanRunTime.create()
  private readonly priorityMix = PriorityMix.create()
  private nextId = 0

  private constructor (private readonly options: ServiceQueueOptions) {
    const { fairQueue } = this
    // p-queue creates its queue with `new`; this constructor returns the existing instance.
    const queueClass = function (): FairQueue { return fairQueue } as unknown as new () => FairQueue
    this.queue = new PQueue({ concurrency: Math.max(1, options.capacity()), queueClass })
  }

  /**
   * Creates an empty queue.
   *
   * @param options - Service, time and capacity.
   * @returns The queue.
   */
  static create (options: ServiceQueueOptions): ServiceQueue {
    return new ServiceQueue(options)
  }

  /**
   * Runs work when it is its turn.
   *
   * @param request - Route, account and deadline.
   * @param work - Work to run; its errors are rethrown.
   * @returns `done` after it has run; otherwise the reason why it was not started.
   */
  async run (request: AdmissionRequest, work: () => Promise<void>): Promise<'done' | RefusalReason> {
    this.syncConcurrency()
    const { clock } = this.options
    if (clock.monotonicMs() >= request.deadlineAtMs) return 'expired'
    const latestStartAtMs = this.latestStartAtMs(request)
    if (clock.monotonicMs() + this.estimateWaitMs(request) > latestStartAtMs) return 'too-late'
    if (this.fairQueue.size >= request.maxQueued && !this.evictFor(request)) return 'queue-full'
    return await this.enqueue(request, latestStartAtMs, work)
  }

  /**
   * Estimates the queueing time of a new request.
   *
   * @param request - The request.
   * @returns Time in milliseconds; 0 when it would start immediately.
   */
  estimateWaitMs (request: AdmissionRequest): number {
    if (this.queue.pending < this.queue.concurrency) return 0
    const ahead = this.fairQueue.countAhead(queueOptions(request, ''))
    const wait = (ahead + 1) * this.meanRunTime.meanMs / this.queue.concurrency
    return wait / (1 - this.priorityMix.shareAbove(QUEUE_PRIORITY[request.route.priority]))
  }

  private latestStartAtMs ({ route, deadlineAtMs }: AdmissionRequest): number {
    const nowMs = this.options.clock.monotonicMs()
    const remainingMs = deadlineAtMs - nowMs
    return nowMs + Math.min(remainingMs * MAX_WAIT_SHARE[route.priority], remainingMs - this.meanRunTime.meanMs)
  }

  /** Evicts the last request in the running order, if the new one would run before it. */
  private evictFor (request: AdmissionRequest): boolean {
    const lastId = this.fairQueue.lastId()
    if (lastId === undefined || this.fairQueue.countAhead(queueOptions(request, '')) >= this.fairQueue.size) return false
    this.queuedRequests.get(lastId)?.controller.abort('displaced')
    return true
  }

  private async enqueue (request: AdmissionRequest, latestStartAtMs: number, work: () => Promise<void>): Promise<'done' | RefusalReason> {
    const { clock, metrics, service } = this.options
    const id = String(this.nextId++)
    const entry: QueuedRequest = { controller: new AbortController(), hasStarted: false }
    const queuedAtMs = clock.monotonicMs()
    const abandon = (reason: RefusalReason): void => { if (!entry.hasStarted) entry.controller.abort(reason) }
    const cancelTimer = clock.after(latestStartAtMs - queuedAtMs, () => { abandon('too-late') })
    const onDisconnect = (): void => { abandon('caller-gone') }
    request.disconnectSignal.addEventListener('abort', onDisconnect, { once: true })
    this.queuedRequests.set(id, entry)
    const start = async (): Promise<void> => {
      entry.hasStarted = true
      this.priorityMix.observe(QUEUE_PRIORITY[request.route.priority])
      this.queuedRequests.delete(id)
      metrics.observeWait(service, clock.monotonicMs() - queuedAtMs)
      await this.runTimed(work)
    }
    try {
      const running = this.queue.add(start, { ...queueOptions(request, id), signal: entry.controller.signal })
      metrics.setQueued(service, this.fairQueue.size)
      await running
      return 'done'
    } catch (error) {
      if (!entry.hasStarted) return entry.controller.signal.reason as RefusalReason
      throw error
    } finally {
      cancelTimer()
      request.disconnectSignal.removeEventListener('abort', onDisconnect)
      this.queuedRequests.delete(id)
      metrics.setQueued(service, this.fairQueue.size)
      this.syncConcurrency()
    }
  }

  private async runTimed (work: () => Promise<void>): Promise<void> {
    const startedAtMs = this.options.clock.monotonicMs()
    try {
      await work()
    } finally {
      this.meanRunTime.observe(this.options.clock.monotonicMs() - startedAtMs)
    }
  }

  /** Applies the current capacity, which changes over time. */
  private syncConcurrency (): void {
    const concurrency = Math.max(1, this.options.capacity())
    if (concurrency !== this.queue.concurrency) this.queue.concurrency = concurrency
  }
}

const queueOptions = ({ route, account }: AdmissionRequest, id: string): FairQueueOptions =>
  ({ id, priority: QUEUE_PRIORITY[route.priority], accountId: account.id, weight: account.limits.weight })
