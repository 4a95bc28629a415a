import type { Clock, Random } from '@lovagehoist/common'
import type { Caller, CallerResult } from './caller.js'
import { runOpenLoop } from './openLoop.js'

/** One request of a mixed load and its end. */
export interface MixedResult extends CallerResult {
  readonly isPayment: boolean
  /** Time that a target needs to run it. */
  readonly workMs: number
  readonly sentAtMs: number
  readonly endedAtMs: number
}

/** What a mixed load is made of. */
export interface MixedLoadOptions {
  readonly clock: Clock
  readonly random: Random
  readonly caller: Caller
  readonly service: string
  /** Share of requests that are payments, 0 to 1. */
  readonly paymentShare: number
  /** Mean time that a target needs for a request; each takes between half and one and a half of it. */
  readonly meanWorkMs: number
  /** Addresses that the balancer spreads requests over now. */
  readonly urls: () => readonly string[]
}

/** Payments and reads at a given rate, spread at random over daemons. */
export class MixedLoad {
  /** Requests that have ended. */
  readonly results: MixedResult[] = []
  private sent = 0

  private constructor (private readonly options: MixedLoadOptions) {}

  /**
   * Creates a load that has sent nothing.
   *
   * @param options - Mix and receivers.
   * @returns The load.
   */
  static create (options: MixedLoadOptions): MixedLoad {
    return new MixedLoad(options)
  }

  /**
   * Sends at a steady rate.
   *
   * @param perSecond - Requests a second.
   * @param durationMs - Time of sending.
   * @returns Resolves when every request of this call has ended.
   */
  async run (perSecond: number, durationMs: number): Promise<void> {
    await runOpenLoop({ clock: this.options.clock, perSecond, durationMs }, async () => { await this.send() })
  }

  /** Ids of the payments that have ended. */
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
