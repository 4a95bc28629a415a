import type { Random } from '@lovagehoist/common'
import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { Client } from 'undici'
import type { SoakCall } from './gatewayOracle.js'
import { HOST_NAME, probePrefix } from './soakConfig.js'
import type { SoakFleet, SoakInstance } from './soakFleet.js'

type Draft = Pick<SoakCall, 'requestId' | 'path' | 'body' | 'isIdempotent' | 'service' | 'sinceVersion'>

const ORDER_SHARE = 0.5
const PROBE_SHARE = 0.15
/** Versions back from the newest that probes ask for. */
const PROBED_VERSIONS = 3
const MIN_PAUSE_MS = 50
const PAUSE_SPREAD_MS = 300
const DEADLINE_MS = 3_000
/** Longest wait for an answer: a paused process goes on before. */
const ANSWER_LIMIT_MS = 12_000
const UNAVAILABLE = 503

let nextRequest = 0

/** A caller that keeps its connection until it ends, or the answer says that it will. */
export class SoakCaller {
  readonly calls: SoakCall[] = []
  private instance: SoakInstance | undefined
  private client: Client | undefined

  private constructor (private readonly fleet: SoakFleet, private readonly random: Random) {}

  /**
   * Creates a caller without a connection.
   *
   * @param fleet - Instances to call.
   * @param random - Source of this caller's choices, so that faults do not depend on callers.
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
      await clock.sleepMs(MIN_PAUSE_MS + this.random.int(PAUSE_SPREAD_MS), signal)
      if (!signal.aborted) await this.sendOne()
    }
    await this.hangUp()
  }

  /** Sends one request; returns its status, 0 for none. */
  async sendOne (): Promise<number> {
    const instance = this.instance ?? this.pickInstance()
    if (instance === undefined) return 0
    if (this.instance === undefined) this.client = new Client(this.fleet.urlOf(instance), { pipelining: 1, keepAliveTimeout: 60_000, headersTimeout: ANSWER_LIMIT_MS, bodyTimeout: ANSWER_LIMIT_MS })
    this.instance = instance
    const draft = this.draft()
    const { pid } = instance.process
    const sentAtMs = this.fleet.clock.monotonicMs()
    const got = await this.exchange(draft)
    this.calls.push({ ...draft, instanceId: instance.id, pid, sentAtMs, endedAtMs: this.fleet.clock.monotonicMs(), status: got.status, answer: got.answer, answeredId: got.answeredId })
    if (got.isLast) await this.hangUp()
    return got.status
  }

  private async exchange ({ requestId, path, body, isIdempotent }: Draft): Promise<Pick<SoakCall, 'status' | 'answer' | 'answeredId'> & { readonly isLast: boolean }> {
    const headers = { host: HOST_NAME, [PLATFORM_HEADERS.requestId]: requestId, [PLATFORM_HEADERS.deadline]: String(DEADLINE_MS) }
    try {
      const reply = await this.client?.request({ method: isIdempotent ? 'GET' : 'POST', path, headers, ...(isIdempotent ? {} : { body }) })
      if (reply === undefined) return { status: 0, answer: '', answeredId: '', isLast: true }
      const answer = await reply.body.text()
      const isLast = reply.headers.connection === 'close' || reply.statusCode === UNAVAILABLE
      return { status: reply.statusCode, answer, answeredId: String(reply.headers[PLATFORM_HEADERS.requestId]), isLast }
    } catch (error) {
      return { status: 0, answer: String(error), answeredId: '', isLast: true }
    }
  }

  private draft (): Draft {
    const { random } = this
    const { config } = this.fleet
    const requestId = `call-${nextRequest++}`
    if (random.next() < ORDER_SHARE) return { requestId, path: `/orders/${requestId}`, body: `order ${requestId}`, isIdempotent: false, service: 'orders', sinceVersion: undefined }
    if (random.next() >= PROBE_SHARE) return { requestId, path: `/menus/${requestId}`, body: '', isIdempotent: true, service: 'menus', sinceVersion: undefined }
    const sinceVersion = Math.max(1, config.version - random.int(PROBED_VERSIONS))
    return { requestId, path: `${probePrefix(sinceVersion)}${requestId}`, body: '', isIdempotent: true, service: 'menus', sinceVersion }
  }

  private pickInstance (): SoakInstance | undefined {
    const ready = this.fleet.instances.filter(({ isReady }) => isReady)
    return ready[this.random.int(Math.max(1, ready.length))]
  }

  /** Closes the connection. */
  async hangUp (): Promise<void> {
    this.instance = undefined
    await this.client?.destroy()
  }
}
