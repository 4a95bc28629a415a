import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Clock } from '@lovagehoist/common'
import { PLATFORM_HEADERS } from '@lovagehoist/platform'
import { readBytes } from '../process/httpBody.js'

/** How a target answers. */
export type AnswerManner = 'well' | 'error' | 'refuse' | 'hang' | 'reset' | 'other-id' | 'unsigned' | 'coded' | 'unframed' | 'unframed-reset'

/** A request that the target began to run. */
export interface TargetRun {
  readonly requestId: string
  readonly path: string
  readonly body: string
  /** Time that the request gave, in milliseconds. */
  readonly deadlineMs: number
  /** Monotonic time at which it began. */
  readonly atMs: number
  isCut: boolean
}

const WRONG_TARGET = 421
const FULL = 503
const FAILED = 500
const OK = 200
const UNFRAMED_PAUSE_MS = 30

/** Stand-in of a target that speaks the platform's protocol towards daemons. */
export class GatewayTarget {
  manner: AnswerManner = 'well'
  /** Part of the requests that are answered in that manner; the others are answered well. */
  mannerShare = 1
  /** Body of a good answer. */
  bodyFor: (requestId: string) => string = () => `from ${this.id}`
  /** Requests that came, refused ones too. */
  arrivals = 0
  workMs = 2
  readonly runs: TargetRun[] = []

  private constructor (readonly id: string, private readonly server: Server, private readonly clock: Clock) {
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      this.serve(request, response).catch(() => { request.socket.destroy() })
    })
  }

  /**
   * Starts a target on the loopback address.
   *
   * @param id - Id of the target.
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

  /** Entry by which the target registers itself. */
  entry (service: string, zone: string, state: 'ready' | 'draining' = 'ready'): Readonly<Record<string, unknown>> {
    return { service, address: `127.0.0.1:${this.port}`, zone, version: 'v1', slots: 6, state, cold_remaining: '0ms', sequence: 1, born: 1_800_000_000_000 }
  }

  /** Stops the target at once, cutting its connections. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeAllConnections()
    })
  }

  private async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBytes(request)
    const { headers } = request
    const requestId = String(headers[PLATFORM_HEADERS.requestId])
    response.setHeader(PLATFORM_HEADERS.requestId, requestId)
    if (headers[PLATFORM_HEADERS.expectedTarget] !== this.id) {
      response.writeHead(WRONG_TARGET).end()
      return
    }
    this.arrivals++
    const manner = this.arrivals * this.mannerShare % 1 + this.mannerShare >= 1 ? this.manner : 'well'
    if (manner === 'refuse') {
      response.writeHead(FULL, { [PLATFORM_HEADERS.notRun]: '1' }).end()
      return
    }
    const run: TargetRun = { requestId, path: request.url ?? '', body: body.toString(), deadlineMs: Number(headers[PLATFORM_HEADERS.deadline]), atMs: this.clock.monotonicMs(), isCut: false }
    this.runs.push(run)
    response.once('close', () => { if (!response.writableFinished) run.isCut = true })
    await this.clock.sleepMs(this.workMs)
    this.answers[manner](request, response)
  }

  private readonly answers: Readonly<Record<AnswerManner, (request: IncomingMessage, response: ServerResponse) => void>> = {
    well: ({ headers }, response) => { this.sign(response).writeHead(OK).end(this.bodyFor(String(headers[PLATFORM_HEADERS.requestId]))) },
    error: (_request, response) => { this.sign(response).writeHead(FAILED).end('failed') },
    refuse: () => {},
    hang: () => {},
    reset: request => { request.socket.resetAndDestroy() },
    'other-id': (_request, response) => { this.sign(response).setHeader(PLATFORM_HEADERS.requestId, 'another').writeHead(OK).end('of another') },
    unsigned: (_request, response) => { response.writeHead(OK).end('unsigned') },
    coded: (_request, response) => { this.sign(response).writeHead(OK, { 'content-encoding': 'gzip' }).end('coded') },
    unframed: (request, response) => { this.sendUnframed(request, response, () => { request.socket.end() }) },
    'unframed-reset': (request, response) => { this.sendUnframed(request, response, () => { request.socket.resetAndDestroy() }) }
  }

  /** Sends an answer without a length; its end is the end of the connection. */
  private sendUnframed ({ socket }: IncomingMessage, response: ServerResponse, end: () => void): void {
    const requestId = String(response.getHeader(PLATFORM_HEADERS.requestId))
    socket.write(`HTTP/1.1 200 OK\r\n${PLATFORM_HEADERS.requestId}: ${requestId}\r\n${PLATFORM_HEADERS.signature}: sig-${this.id}\r\n\r\nunframed`, () => {
      // The bytes have to be read before a reset, which discards what is still on its way.
      this.clock.after(UNFRAMED_PAUSE_MS, end)
    })
  }

  private sign (response: ServerResponse): ServerResponse {
    return response.setHeader(PLATFORM_HEADERS.signature, `sig-${this.id}`)
  }
}
