import PQueue from 'p-queue'
import type { Clock, RouteConfig } from '@lovagehoist/common'
import type { AdmissionNeed, RefusalReason } from './admissionTypes.js'
import type { AdmissionMetrics } from './admissionMetrics.js'
import { FairQueue } from './fairQueue.js'
import type { FairOptions } from './fairQueue.js'
import { PriorityMix } from './priorityMix.js'
import { RunTime } from './runTime.js'

type RoutePriority = RouteConfig['priority']

const PRIORITY: Readonly<Record<RoutePriority, number>> = { payment: 2, normal: 1, background: 0 }

/** Share of the time to the deadline that a request may wait; the rest is left for its run. */
const WAIT_SHARE: Readonly<Record<RoutePriority, number>> = { payment: 0.6, normal: 0.3, background: 0.15 }

/** What a queue needs. */
export interface ServiceQueueOptions {
  readonly service: string
  readonly clock: Clock
  /** Requests that may run at once now. */
  readonly capacity: () => number
  readonly metrics: AdmissionMetrics
}

/** A request that waits. */
interface Waiting {
  readonly stop: AbortController
  hasStarted: boolean
}

/** Requests of one service that wait for admission or run. */
export class ServiceQueue {
  /** Queue inside `p-queue`; made by its constructor. */
  private readonly fair = new FairQueue()
  private readonly queue: PQueue<FairQueue, FairOptions>
  private readonly waiting = new Map<string, Waiting>()
  private readonly runTime = RunTime.create()
  private readonly mix = PriorityMix.create()
  private nextId = 0

  private constructor (private readonly options: ServiceQueueOptions) {
    const { fair } = this
    // p-queue makes its queue by `new`, so it is handed the one that is kept here.
    const queueClass = function (): FairQueue { return fair } as unknown as new () => FairQueue
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
   * Runs work in its turn.
   *
   * @param need - Route, account and deadline.
   * @param work - Work to run; its errors are passed on.
   * @returns `done` when it ran, else why it was not started.
   */
  async run (need: AdmissionNeed, work: () => Promise<void>): Promise<'done' | RefusalReason> {
    this.adjust()
    const { clock } = this.options
    if (clock.monotonicMs() >= need.deadlineAtMs) return 'expired'
    const latestStartAtMs = this.latestStartAtMs(need)
    if (clock.monotonicMs() + this.estimateWaitMs(need) > latestStartAtMs) return 'too-late'
    if (this.fair.size >= need.maxQueued && !this.displaceFor(need)) return 'queue-full'
    return await this.wait(need, latestStartAtMs, work)
  }

  /**
   * Estimates how long a new request would wait.
   *
   * @param need - The request.
   * @returns Time in milliseconds; 0 when it would start at once.
   */
  estimateWaitMs (need: AdmissionNeed): number {
    if (this.queue.pending < this.queue.concurrency) return 0
    const ahead = this.fair.countAhead(fairOptions(need, ''))
    const wait = (ahead + 1) * this.runTime.meanMs / this.queue.concurrency
    return wait / (1 - this.mix.shareAbove(PRIORITY[need.route.priority]))
  }

  private latestStartAtMs ({ route, deadlineAtMs }: AdmissionNeed): number {
    const nowMs = this.options.clock.monotonicMs()
    const leftMs = deadlineAtMs - nowMs
    return nowMs + Math.min(leftMs * WAIT_SHARE[route.priority], leftMs - this.runTime.meanMs)
  }

  /** Refuses the request that would run last, when the new one goes before it. */
  private displaceFor (need: AdmissionNeed): boolean {
    const lastId = this.fair.lastId()
    if (lastId === undefined || this.fair.countAhead(fairOptions(need, '')) >= this.fair.size) return false
    this.waiting.get(lastId)?.stop.abort('displaced')
    return true
  }

  private async wait (need: AdmissionNeed, latestStartAtMs: number, work: () => Promise<void>): Promise<'done' | RefusalReason> {
    const { clock, metrics, service } = this.options
    const id = String(this.nextId++)
    const waiting: Waiting = { stop: new AbortController(), hasStarted: false }
    const queuedAtMs = clock.monotonicMs()
    const leaveQueue = (reason: RefusalReason): void => { if (!waiting.hasStarted) waiting.stop.abort(reason) }
    const cancelTimer = clock.after(latestStartAtMs - queuedAtMs, () => { leaveQueue('too-late') })
    const onGone = (): void => { leaveQueue('caller-gone') }
    need.gone.addEventListener('abort', onGone, { once: true })
    this.waiting.set(id, waiting)
    const start = async (): Promise<void> => {
      waiting.hasStarted = true
      this.mix.observe(PRIORITY[need.route.priority])
      this.waiting.delete(id)
      metrics.observeWait(service, clock.monotonicMs() - queuedAtMs)
      await this.runTimed(work)
    }
    try {
      const running = this.queue.add(start, { ...fairOptions(need, id), signal: waiting.stop.signal })
      metrics.setQueued(service, this.fair.size)
      await running
      return 'done'
    } catch (error) {
      if (!waiting.hasStarted) return waiting.stop.signal.reason as RefusalReason
      throw error
    } finally {
      cancelTimer()
      need.gone.removeEventListener('abort', onGone)
      this.waiting.delete(id)
      metrics.setQueued(service, this.fair.size)
      this.adjust()
    }
  }

  private async runTimed (work: () => Promise<void>): Promise<void> {
    const startedAtMs = this.options.clock.monotonicMs()
    try {
      await work()
    } finally {
      this.runTime.observe(this.options.clock.monotonicMs() - startedAtMs)
    }
  }

  /** Follows the capacity, which changes by itself. */
  private adjust (): void {
    const concurrency = Math.max(1, this.options.capacity())
    if (concurrency !== this.queue.concurrency) this.queue.concurrency = concurrency
  }
}

const fairOptions = ({ route, account }: AdmissionNeed, id: string): FairOptions =>
  ({ id, priority: PRIORITY[route.priority], accountId: account.id, weight: account.limits.weight })
