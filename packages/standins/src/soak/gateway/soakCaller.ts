import type { Random } from '@lovagehoist/common'
import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { Client } from 'undici'
import type { SoakCall } from './gatewayOracle.js'
import { HOST_NAME, probePathPrefix } from './soakConfig.js'
import type { SoakFleet, SoakInstance } from './soakFleet.js'

type RequestDraft = Pick<SoakCall, 'requestId' | 'path' | 'body' | 'isIdempotent' | 'service' | 'sinceVersion'>

const ORDER_SHARE = 0.5
const PROBE_SHARE = 0.15
/** Number of newest configuration versions whose routes are probed. */
const PROBED_VERSION_COUNT = 3
const MIN_PAUSE_MS = 50
const PAUSE_JITTER_MS = 300
const DEADLINE_MS = 3_000
/** Longer than a fault pauses a process, so that its responses still arrive. */
const RESPONSE_TIMEOUT_MS = 12_000
const STATUS_UNAVAILABLE = 503

let nextRequestNumber = 0

/** A caller that keeps its connection until the connection fails, or until a response announces that it closes or has status 503. */
export class SoakCaller {
  readonly calls: SoakCall[] = []
  private instance: SoakInstance | undefined
  private client: Client | undefined

  private constructor (private readonly fleet: SoakFleet, private readonly random: Random) {}

  /**
   * Creates a caller without a connection.
   *
   * @param fleet - Instances to call.
   * @param random - Random numbers of this caller only, so that the choice of faults does not depend on callers.
   * @returns The caller.
   */
  static create (fleet: SoakFleet, random: Random): SoakCaller {
    return new SoakCaller(fleet, random)
  }

  /**
   * Sends one request after another.
   *
   * @param signal - Ends the loop after the request in progress.
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.fleet
    while (!signal.aborted) {
      await clock.sleepMs(MIN_PAUSE_MS + this.random.int(PAUSE_JITTER_MS), signal)
      if (!signal.aborted) await this.sendOne()
    }
    await this.disconnect()
  }

  /** Sends one request; returns the status of its response, 0 without one. */
  async sendOne (): Promise<number> {
    const instance = this.instance ?? this.pickInstance()
    if (instance === undefined) return 0
    if (this.instance === undefined) this.client = new Client(this.fleet.baseUrlOf(instance), { pipelining: 1, keepAliveTimeout: 60_000, headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS })
    this.instance = instance
    const draft = this.createDraft()
    const { pid } = instance.process
    const sentAtMs = this.fleet.clock.monotonicMs()
    const outcome = await this.exchange(draft)
    this.calls.push({ ...draft, instanceId: instance.id, pid, sentAtMs, endedAtMs: this.fleet.clock.monotonicMs(), status: outcome.status, answer: outcome.answer, answeredId: outcome.answeredId })
    if (outcome.isConnectionClosing) await this.disconnect()
    return outcome.status
  }

  private async exchange ({ requestId, path, body, isIdempotent }: RequestDraft): Promise<Pick<SoakCall, 'status' | 'answer' | 'answeredId'> & { readonly isConnectionClosing: boolean }> {
    const headers = { host: HOST_NAME, [PLATFORM_HEADERS.requestId]: requestId, [PLATFORM_HEADERS.deadline]: String(DEADLINE_MS) }
    try {
      const response = await this.client?.request({ method: isIdempotent ? 'GET' : 'POST', path, headers, ...(isIdempotent ? {} : { body }) })
      if (response === undefined) return { status: 0, answer: '', answeredId: '', isConnectionClosing: true }
      const answer = await response.body.text()
      const isConnectionClosing = response.headers.connection === 'close' || response.statusCode === STATUS_UNAVAILABLE
      return { status: response.statusCode, answer, answeredId: String(response.headers[PLATFORM_HEADERS.requestId]), isConnectionClosing }
    } catch (error) {
      return { status: 0, answer: String(error), answeredId: '', isConnectionClosing: true }
    }
  }

  private createDraft (): RequestDraft {
    const { random } = this
    const { config } = this.fleet
    const requestId = `call-${nextRequestNumber++}`
    if (random.next() < ORDER_SHARE) return { requestId, path: `/orders/${requestId}`, body: `order ${requestId}`, isIdempotent: false, service: 'orders', sinceVersion: undefined }
    if (random.next() >= PROBE_SHARE) return { requestId, path: `/menus/${requestId}`, body: '', isIdempotent: true, service: 'menus', sinceVersion: undefined }
    const sinceVersion = Math.max(1, config.version - random.int(PROBED_VERSION_COUNT))
    return { requestId, path: `${probePathPrefix(sinceVersion)}${requestId}`, body: '', isIdempotent: true, service: 'menus', sinceVersion }
  }

  private pickInstance (): SoakInstance | undefined {
    const ready = this.fleet.instances.filter(({ isReady }) => isReady)
    return ready[this.random.int(Math.max(1, ready.length))]
  }

  /** Closes the connection. */
  async disconnect (): Promise<void> {
    this.instance = undefined
    await this.client?.destroy()
  }
}
