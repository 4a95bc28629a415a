import type { Clock, Random } from '@lovagehoist/common'
import type { Caller, CallerRequest, CallerResult } from '../load/caller.js'

/** A request and its outcome, as the oracle needs them. */
export interface SoakRecord extends CallerResult {
  /** Key of the unit of work; a resend has the same key and its own run ID. */
  readonly key: string
  readonly isIdempotent: boolean
}

/** Dependencies of the workload. */
export interface WorkloadOptions {
  readonly clock: Clock
  readonly random: Random
  readonly caller: Caller
  readonly services: readonly string[]
  readonly urls: () => readonly string[]
}

const PAYMENT_SHARE = 0.4
const KEYED_SHARE = 0.7
const MAX_RESENDS = 2
const RESEND_DELAY_MS = 300
const LARGE_RESPONSE_SHARE = 0.05
const LARGE_RESPONSE_BYTES = 300_000
const REQUEST_TIMEOUT_MS = 20_000

const runIdOf = (key: string, attemptIndex: number): string => `${key}.${attemptIndex}`

const earlierRunIds = (key: string, attemptIndex: number): readonly string[] => Array.from({ length: attemptIndex }, (_, index) => runIdOf(key, index))

/** Sends reads and payments; a payment with an idempotency key is sent again until it succeeds, at most twice. */
export class Workload {
  readonly records: SoakRecord[] = []
  private nextKey = 0

  private constructor (private readonly options: WorkloadOptions) {}

  /**
   * Creates a workload that has not sent any request.
   *
   * @param options - Caller, services and addresses of daemons.
   * @returns The workload.
   */
  static create (options: WorkloadOptions): Workload {
    return new Workload(options)
  }

  /** Sends one request, and resends it where allowed. */
  async sendOne (): Promise<void> {
    const { random } = this.options
    const key = `work-${this.nextKey++}`
    const service = this.options.services[random.int(this.options.services.length)] ?? ''
    if (random.next() >= PAYMENT_SHARE) {
      await this.send({ key, isIdempotent: true, attemptIndex: 0, method: 'GET', path: `/${service}/read/${key}`, headers: this.sizeHeaders() })
      return
    }
    const isKeyed = random.next() < KEYED_SHARE
    const path = `/${service}/pay/${key}`
    const headers: Readonly<Record<string, string>> = isKeyed ? { 'idempotency-key': key } : {}
    for (let attemptIndex = 0; attemptIndex <= MAX_RESENDS; attemptIndex++) {
      const record = await this.send({ key, isIdempotent: false, attemptIndex, method: 'POST', path, body: `payout ${key}`, headers })
      if (!isKeyed || record.status === 200) return
      await this.options.clock.sleepMs(RESEND_DELAY_MS)
    }
  }

  private async send (work: Pick<SoakRecord, 'key' | 'isIdempotent'> & Pick<CallerRequest, 'method' | 'path' | 'body' | 'headers'> & { readonly attemptIndex: number }): Promise<SoakRecord> {
    const urls = this.options.urls()
    const baseUrl = urls[this.options.random.int(urls.length)] ?? ''
    const { key, isIdempotent, attemptIndex, ...sent } = work
    const result = await this.options.caller.send({ ...sent, baseUrl, runId: runIdOf(key, attemptIndex), earlierRunIds: earlierRunIds(key, attemptIndex), timeoutMs: REQUEST_TIMEOUT_MS })
    const record = { ...result, key, isIdempotent }
    this.records.push(record)
    return record
  }

  private sizeHeaders (): Readonly<Record<string, string>> {
    return this.options.random.next() < LARGE_RESPONSE_SHARE ? { 'x-answer-bytes': String(LARGE_RESPONSE_BYTES) } : {}
  }
}
