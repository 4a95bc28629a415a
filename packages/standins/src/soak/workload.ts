import type { Clock, Random } from '@lovagehoist/common'
import type { Caller, CallerRequest, CallerResult } from '../load/caller.js'

/** A request with everything that the oracle has to know about it. */
export interface SoakRecord extends CallerResult {
  /** Names the work: resends carry the same key with run ids of their own. */
  readonly key: string
  readonly isIdempotent: boolean
}

/** What the workload needs. */
export interface WorkloadOptions {
  readonly clock: Clock
  readonly random: Random
  readonly caller: Caller
  readonly services: readonly string[]
  readonly urls: () => readonly string[]
}

const PAY_SHARE = 0.4
const KEYED_SHARE = 0.7
const RESEND_LIMIT = 2
const RESEND_DELAY_MS = 300
const LARGE_SHARE = 0.05
const LARGE_ANSWER_BYTES = 300_000
const REQUEST_TIMEOUT_MS = 20_000

const runIdOf = (key: string, tryIndex: number): string => `${key}.${tryIndex}`

const earlierRunIds = (key: string, tryIndex: number): readonly string[] => Array.from({ length: tryIndex }, (_, index) => runIdOf(key, index))

/** Sends look-ups and payments; a payment with a key is sent again elsewhere when its fate is unknown. */
export class Workload {
  readonly records: SoakRecord[] = []
  private next = 0

  private constructor (private readonly options: WorkloadOptions) {}

  /**
   * Creates a workload that has sent nothing.
   *
   * @param options - Callers, services and daemons.
   * @returns The workload.
   */
  static create (options: WorkloadOptions): Workload {
    return new Workload(options)
  }

  /** Sends one request, and its resends. */
  async sendOne (): Promise<void> {
    const { random } = this.options
    const key = `work-${this.next++}`
    const service = this.options.services[random.int(this.options.services.length)] ?? ''
    if (random.next() >= PAY_SHARE) {
      await this.send({ key, isIdempotent: true, tryIndex: 0, method: 'GET', path: `/${service}/read/${key}`, headers: this.sizeHeaders() })
      return
    }
    const isKeyed = random.next() < KEYED_SHARE
    const path = `/${service}/pay/${key}`
    const headers: Readonly<Record<string, string>> = isKeyed ? { 'idempotency-key': key } : {}
    for (let tryIndex = 0; tryIndex <= RESEND_LIMIT; tryIndex++) {
      const record = await this.send({ key, isIdempotent: false, tryIndex, method: 'POST', path, body: `payout ${key}`, headers })
      if (!isKeyed || record.status === 200) return
      await this.options.clock.sleepMs(RESEND_DELAY_MS)
    }
  }

  private async send (work: Pick<SoakRecord, 'key' | 'isIdempotent'> & Pick<CallerRequest, 'method' | 'path' | 'body' | 'headers'> & { readonly tryIndex: number }): Promise<SoakRecord> {
    const urls = this.options.urls()
    const baseUrl = urls[this.options.random.int(urls.length)] ?? ''
    const { key, isIdempotent, tryIndex, ...sent } = work
    const result = await this.options.caller.send({ ...sent, baseUrl, runId: runIdOf(key, tryIndex), earlierRunIds: earlierRunIds(key, tryIndex), timeoutMs: REQUEST_TIMEOUT_MS })
    const record = { ...result, key, isIdempotent }
    this.records.push(record)
    return record
  }

  private sizeHeaders (): Readonly<Record<string, string>> {
    return this.options.random.next() < LARGE_SHARE ? { 'x-answer-bytes': String(LARGE_ANSWER_BYTES) } : {}
  }
}
