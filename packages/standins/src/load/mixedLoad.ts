import type { Clock, Random } from '@lovagehoist/common'
import type { Caller, CallerResult } from './caller.js'
import { runOpenLoop } from './openLoop.js'

/** Outcome of one request of a mixed load. */
export interface MixedResult extends CallerResult {
  readonly isPayment: boolean
  /** Service time of the request at a target. */
  readonly workMs: number
  readonly sentAtMs: number
  readonly endedAtMs: number
}

/** Composition and destination of a mixed load. */
export interface MixedLoadOptions {
  readonly clock: Clock
  readonly random: Random
  readonly caller: Caller
  readonly service: string
  /** Share of requests that are payments, 0 to 1. */
  readonly paymentShare: number
  /** Mean service time at a target; each request takes between 0.5 and 1.5 times as long. */
  readonly meanWorkMs: number
  /** Base URLs that requests are currently spread over. */
  readonly urls: () => readonly string[]
}

/** Open-loop load of payments and reads, spread at random over daemons. */
export class MixedLoad {
  /** Requests that have ended. */
  readonly results: MixedResult[] = []
  private sent = 0

  private constructor (private readonly options: MixedLoadOptions) {}

  /**
   * Creates a load; nothing is sent before {@link run}.
   *
   * @param options - Composition and destination.
   */
  static create (options: MixedLoadOptions): MixedLoad {
    return new MixedLoad(options)
  }

  /**
   * Sends requests at a constant rate, regardless of responses.
   *
   * @param perSecond - Requests a second.
   * @param durationMs - Duration of sending.
   * @returns Resolves when every request of this call has ended.
   */
  async run (perSecond: number, durationMs: number): Promise<void> {
    await runOpenLoop({ clock: this.options.clock, perSecond, durationMs }, async () => { await this.send() })
  }

  /** Run IDs of the payments that have ended. */
  paymentIds (): ReadonlySet<string> {
    return new Set(this.results.filter(result => result.isPayment).map(result => result.runId))
  }

  private async send (): Promise<void> {
    const { clock, random, caller, service, paymentShare, meanWorkMs, urls } = this.options
    const isPayment = random.next() < paymentShare
    const workMs = Math.round(meanWorkMs * (0.5 + random.next()))
    const runId = `mixed-${this.sent++}`
    const baseUrl = urls()[random.int(urls().length)] ?? ''
    const sentAtMs = clock.monotonicMs()
    const headers = { 'x-work-ms': String(workMs) }
    const result = isPayment
      ? await caller.send({ baseUrl, method: 'POST', path: `/${service}/pay/x`, runId, body: runId, headers })
      : await caller.send({ baseUrl, method: 'GET', path: `/${service}/read/x`, runId, headers })
    this.results.push({ ...result, isPayment, workMs, sentAtMs, endedAtMs: clock.monotonicMs() })
  }
}
