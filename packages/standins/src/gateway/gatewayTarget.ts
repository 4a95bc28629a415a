import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock } from '@lovagehoist/common'
import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { readBytes } from '../process/httpBody.js'

/** How a target responds: `well` is correct, all others are faults; `coded` sets a content encoding, `unframed` has no length. */
export type ResponseMode = 'well' | 'error' | 'refuse' | 'hang' | 'reset' | 'other-id' | 'unsigned' | 'coded' | 'unframed' | 'unframed-reset'

/** A request that the target began to run. */
export interface TargetRun {
  readonly requestId: string
  readonly path: string
  readonly body: string
  /** Header fields as received, names and values by turns. */
  readonly rawHeaders: readonly string[]
  /** Deadline that the request carried, in milliseconds. */
  readonly deadlineMs: number
  /** Monotonic time at which the run began. */
  readonly atMs: number
  /** Whether the connection closed before the response was complete. */
  isAborted: boolean
  /** Monotonic time at which the response was complete or its connection closed; undefined before. */
  endedAtMs?: number
}

/** A request that reached the target. */
export interface TargetArrival {
  readonly atMs: number
  readonly fromHost: string
  readonly isRefused: boolean
}

const STATUS_MISDIRECTED = 421
const STATUS_OVERLOADED = 503
const STATUS_FAILED = 500
const STATUS_OK = 200
const CLOSE_DELAY_MS = 30

/** Stand-in of a target that speaks the platform's protocol for targets. */
export class GatewayTarget {
  responseMode: ResponseMode = 'well'
  /** Share of the requests that are answered in `responseMode`, 0 to 1; the others are answered as in `well`. */
  responseModeShare = 1
  /** Creates the body of a correct response. */
  responseBodyFor: (requestId: string, path?: string) => string = () => `from ${this.id}`
  /** Number of requests received, including refused ones. */
  receivedRequests = 0
  workMs = 2
  /** Duration of a request's work; `workMs` for all by default. */
  workMsFor: (path: string) => number = () => this.workMs
  /** Body of a response without a length. */
  unframedBody = 'unframed'
  /** Time between the body of a response without a length and its end. */
  unframedEndDelayMs = CLOSE_DELAY_MS
  /** Whether a request crashes the target once its work is done, by its path. */
  crashesUnder: (path: string) => boolean = () => false
  /** What a request sees of the crash: its connection closes, or an answer breaks off, or nothing comes any more. */
  crashMode: 'close' | 'mid-answer' | 'silent' = 'close'
  /** Monotonic time at which a request crashed the target. */
  crashedAtMs: number | undefined
  /** Limit named in answers, in requests per second; none when undefined. */
  limitPerSecond: number | undefined
  /** Values of the field in which refusals ask for rest; none when empty. */
  retryAfter: readonly string[] = []
  /** Whether all answers say that the target leaves. */
  saysLeaving = false
  /** Called with the end of each answer that is not a refusal. */
  onAnswered: () => void = () => {}
  /** Called when a request has crashed the target. */
  onCrashed: () => void = () => {}
  /** Requests that arrived, with the host of the daemon that sent each, and whether it was refused. */
  readonly arrivals: TargetArrival[] = []
  readonly runs: TargetRun[] = []
  /** Connections with a response that is to end in a reset; an orderly close would make it complete. */
  private readonly resetAtClose = new Set<Socket>()

  private constructor (readonly id: string, private readonly server: Server, private readonly clock: Clock) {
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      this.handleRequest(request, response).catch(() => { request.socket.destroy() })
    })
  }

  /**
   * Starts a target on the loopback address.
   *
   * @param id - ID of the target.
   * @param clock - Source of time.
   * @returns The target, once it listens.
   */
  static async create (id: string, clock: Clock): Promise<GatewayTarget> {
    const server = createServer()
    const target = new GatewayTarget(id, server, clock)
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', () => { resolve() }) })
    return target
  }

  /** Port that the target listens on. */
  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Creates the row that registers the target. */
  createRow (service: string, zone: string, state: 'ready' | 'draining' = 'ready'): Readonly<Record<string, unknown>> {
    return { service, address: `127.0.0.1:${this.port}`, zone, version: 'v1', slots: 6, state, cold_remaining: '0ms', sequence: 1, born: 1_800_000_000_000 }
  }

  /** Resets the connections with a response that is to end in a reset. */
  resetUnframed (): void {
    for (const socket of this.resetAtClose) socket.resetAndDestroy()
  }

  /** Closes the connections that wait for a request. */
  closeIdleConnections (): void {
    this.server.closeIdleConnections()
  }

  /** Stops the target at once and closes its connections. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.resetUnframed()
      this.server.closeAllConnections()
    })
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBytes(request)
    const { headers } = request
    const requestId = String(headers[PLATFORM_HEADERS.requestId])
    response.setHeader(PLATFORM_HEADERS.requestId, requestId)
    if (headers[PLATFORM_HEADERS.expectedTarget] !== this.id) {
      response.writeHead(STATUS_MISDIRECTED).end()
      return
    }
    this.receivedRequests++
    if (this.saysLeaving) response.setHeader(PLATFORM_HEADERS.leaving, '1')
    if (this.limitPerSecond !== undefined) response.setHeader(PLATFORM_HEADERS.limit, String(this.limitPerSecond))
    const responseMode = this.receivedRequests * this.responseModeShare % 1 + this.responseModeShare >= 1 ? this.responseMode : 'well'
    this.arrivals.push({ atMs: this.clock.monotonicMs(), fromHost: request.socket.remoteAddress ?? '', isRefused: responseMode === 'refuse' })
    if (responseMode === 'refuse') {
      if (this.retryAfter.length > 0) response.setHeader('retry-after', [...this.retryAfter])
      response.writeHead(STATUS_OVERLOADED, { [PLATFORM_HEADERS.notRun]: '1' }).end()
      return
    }
    const run: TargetRun = { requestId, path: request.url ?? '', body: body.toString(), rawHeaders: request.rawHeaders, deadlineMs: Number(headers[PLATFORM_HEADERS.deadline]), atMs: this.clock.monotonicMs(), isAborted: false }
    this.runs.push(run)
    response.once('close', () => {
      run.endedAtMs = this.clock.monotonicMs()
      if (!response.writableFinished) run.isAborted = true
    })
    await this.clock.sleepMs(this.workMsFor(run.path))
    if (this.crashedAtMs !== undefined) return
    if (this.crashesUnder(run.path)) {
      await this.crash(response)
      return
    }
    this.responders[responseMode](request, response)
    this.onAnswered()
  }

  private async crash (response: ServerResponse): Promise<void> {
    this.crashedAtMs = this.clock.monotonicMs()
    this.onCrashed()
    if (this.crashMode === 'silent') {
      this.server.close()
      return
    }
    if (this.crashMode === 'mid-answer') {
      this.sign(response).writeHead(STATUS_OK, { 'content-length': '100' }).write('begun')
      // The daemon must read the bytes first: a reset discards data in transit.
      await this.clock.sleepMs(CLOSE_DELAY_MS)
    }
    await this.close()
  }

  private readonly responders: Readonly<Record<ResponseMode, (request: IncomingMessage, response: ServerResponse) => void>> = {
    well: ({ headers, url = '' }, response) => { this.sign(response).writeHead(STATUS_OK).end(this.responseBodyFor(String(headers[PLATFORM_HEADERS.requestId]), url)) },
    error: (_request, response) => { this.sign(response).writeHead(STATUS_FAILED).end('failed') },
    refuse: () => {},
    hang: () => {},
    reset: request => { request.socket.resetAndDestroy() },
    'other-id': (_request, response) => { this.sign(response).setHeader(PLATFORM_HEADERS.requestId, 'another').writeHead(STATUS_OK).end('of another') },
    unsigned: (_request, response) => { response.writeHead(STATUS_OK).end('unsigned') },
    coded: (_request, response) => { this.sign(response).writeHead(STATUS_OK, { 'content-encoding': 'gzip' }).end('coded') },
    unframed: (request, response) => { this.sendCloseDelimited(request, response, () => { request.socket.end() }) },
    'unframed-reset': (request, response) => {
      this.resetAtClose.add(request.socket)
      request.socket.once('close', () => { this.resetAtClose.delete(request.socket) })
      this.sendCloseDelimited(request, response, () => { request.socket.resetAndDestroy() })
    }
  }

  /** Sends a response without a length, which the end of the connection delimits. */
  private sendCloseDelimited ({ socket }: IncomingMessage, response: ServerResponse, end: () => void): void {
    const requestId = String(response.getHeader(PLATFORM_HEADERS.requestId))
    const leaving = this.saysLeaving ? `${PLATFORM_HEADERS.leaving}: 1\r\n` : ''
    socket.write(`HTTP/1.1 200 OK\r\n${leaving}${PLATFORM_HEADERS.requestId}: ${requestId}\r\n${PLATFORM_HEADERS.signature}: sig-${this.id}\r\n\r\n${this.unframedBody}`, () => {
      // The daemon must read the bytes first: a reset discards data in transit.
      this.clock.after(this.unframedEndDelayMs, end)
    })
  }

  private sign (response: ServerResponse): ServerResponse {
    return response.setHeader(PLATFORM_HEADERS.signature, `sig-${this.id}`)
  }
}
