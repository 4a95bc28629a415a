import { Agent, request } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Random } from '@lovagehoist/common'
import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { readBytes } from '../../../process/httpBody.js'
import { HOST_NAME } from '../soakConfig.js'
import type { SoakFleet, SoakInstance } from '../soakFleet.js'
import { answerTo } from './stopOracle.js'
import type { StopCall } from './stopOracle.js'
import { pickRoute } from './stopLoad.js'
import type { StopRoute } from './stopLoad.js'

type Outcome = Pick<StopCall, 'status' | 'isSigned' | 'answer'> & { readonly isClosing: boolean }

const MAX_PAUSE_MS = 700
/** Share of the connections to instances that may not be ready: a platform uses them all when few are. */
const ANY_INSTANCE_SHARE = 0.3
const SLOW_UPLOAD_SHARE = 0.15
const UPLOAD_PARTS = 5
const MIN_PART_PAUSE_MS = 100
const PART_PAUSE_JITTER_MS = 700
const PART_BYTES = 400
/** Time after its deadline after which a caller gives up. */
const PATIENCE_MS = 1_000
const NO_ANSWER: Outcome = { status: 0, isSigned: false, answer: '', isClosing: true }

let nextRequestNumber = 0

/** A caller that sends one request after another, either on a connection that it keeps as long as it lasts or on a new one each time. */
export class StopCaller {
  readonly calls: StopCall[] = []
  private instance: SoakInstance | undefined
  private agent = new Agent()

  private constructor (private readonly fleet: SoakFleet, private readonly random: Random, private readonly keepsConnection: boolean) {}

  /**
   * Creates a caller without a connection.
   *
   * @param fleet - Instances to call.
   * @param random - Random numbers of this caller only.
   * @param keepsConnection - Whether it keeps its connection.
   * @returns The caller.
   */
  static create (fleet: SoakFleet, random: Random, keepsConnection: boolean): StopCaller {
    return new StopCaller(fleet, random, keepsConnection)
  }

  /**
   * Sends one request after another.
   *
   * @param signal - Ends the loop after the request in progress.
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.fleet.clock.sleepMs(this.random.int(MAX_PAUSE_MS), signal)
      if (!signal.aborted) await this.sendOne()
    }
    this.agent.destroy()
  }

  private async sendOne (): Promise<void> {
    const { clock } = this.fleet
    const instance = this.instance ?? this.pickInstance()
    if (instance === undefined) return
    if (this.instance === undefined) this.agent = new Agent({ keepAlive: this.keepsConnection, maxSockets: 1 })
    this.instance = instance
    const route = pickRoute(this.random)
    const { service, kind, deadlineMs, timeoutMs } = route
    const requestId = `stop-${nextRequestNumber++}`
    const { hostname, port } = new URL(this.fleet.baseUrlOf(instance))
    const headers = { host: HOST_NAME, [PLATFORM_HEADERS.requestId]: requestId, [PLATFORM_HEADERS.deadline]: String(deadlineMs), ...(route.method === 'POST' ? { 'content-length': PART_BYTES * UPLOAD_PARTS } : {}) }
    const sentAtMs = clock.monotonicMs()
    const sent = request({ hostname, port, method: route.method, path: `/${route.name}/${requestId}`, headers, agent: this.agent })
    let isConnected = false
    let lastByteAtMs: number | undefined
    sent.once('socket', socket => {
      isConnected = !socket.connecting
      socket.once('connect', () => { isConnected = true })
    })
    sent.once('finish', () => { lastByteAtMs = clock.monotonicMs() })
    const cancel = clock.after(deadlineMs + PATIENCE_MS, () => { sent.destroy() })
    const answered = this.readOutcome(sent, requestId, service)
    await this.sendBody(sent, route)
    const { isClosing, ...outcome } = await answered
    cancel()
    if (isConnected) this.calls.push({ ...outcome, requestId, service, isIdempotent: kind !== 'unsafe', isKeptConnection: this.keepsConnection, instanceId: instance.id, sentAtMs, lastByteAtMs, endedAtMs: clock.monotonicMs(), limitMs: Math.min(deadlineMs, timeoutMs) })
    if (this.keepsConnection && !isClosing) return
    this.agent.destroy()
    this.instance = undefined
  }

  private pickInstance (): SoakInstance | undefined {
    const { instances } = this.fleet
    const candidates = this.random.next() < ANY_INSTANCE_SHARE ? instances : instances.filter(({ isReady }) => isReady)
    return candidates[this.random.int(Math.max(1, candidates.length))]
  }

  private async readOutcome (sent: ClientRequest, requestId: string, service: string): Promise<Outcome> {
    try {
      const response = await new Promise<IncomingMessage>((resolve, reject) => { sent.once('response', resolve).on('error', reject) })
      const text = (await readBytes(response)).toString()
      if (!response.complete) return NO_ANSWER
      const line = answerTo(requestId, service)
      const { statusCode = 0, headers } = response
      return { status: statusCode, isSigned: headers[PLATFORM_HEADERS.signature] !== undefined, answer: text.replaceAll(line, '') === '' ? line : text.slice(0, PART_BYTES), isClosing: headers.connection === 'close' }
    } catch {
      return NO_ANSWER
    } finally {
      if (!sent.writableEnded) sent.destroy()
    }
  }

  private async sendBody (sent: ClientRequest, { method }: StopRoute): Promise<void> {
    if (method === 'POST') {
      const isSlow = this.random.next() < SLOW_UPLOAD_SHARE
      for (let part = 0; part < UPLOAD_PARTS && !sent.destroyed; part++) {
        sent.write('x'.repeat(PART_BYTES))
        if (isSlow) await this.fleet.clock.sleepMs(MIN_PART_PAUSE_MS + this.random.int(PART_PAUSE_JITTER_MS))
      }
    }
    if (!sent.destroyed) sent.end()
  }
}
