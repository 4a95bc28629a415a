import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as NetServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setImmediate as turn } from 'node:timers/promises'
import polka from 'polka'
import { waitUntilListening } from '@lovagehoist/common'
import type { Clock, Log, Settings } from '@lovagehoist/common'
import { ANNOUNCED_IDLE_MS, CallerConnection, IDLE_MARGIN_MS } from './callerConnection.js'
import { logCutExchanges } from './cutExchanges.js'
import type { DescribeRequest } from './cutExchanges.js'
import { rejectMalformedFields, rejectUnsupported } from './rejectUnsupported.js'

/** Place of a request on its connection. */
export interface CallerExchange {
  /** Monotonic time at which the head of the request arrived. */
  readonly receivedAtMs: number
  /** Waits until all earlier requests of the connection have been answered; false when the connection closes before. */
  readonly untilFirst: () => Promise<boolean>
}

/** Serves one request until its response has ended. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse, exchange: CallerExchange) => Promise<void>

/** Address, limits and request handler of the server. */
export interface CallerServerOptions {
  readonly address: Settings['callers']
  readonly limits: Settings['limits']
  readonly clock: Clock
  readonly handler: RequestHandler
  readonly log: Log
  /** Whether a caller that ends its half of a connection has left, as where no caller ends one half alone; such callers are answered by default. */
  readonly isHalfCloseDeparture?: boolean
  /** Names a request whose exchange a drain cuts off; by its method alone if absent. */
  readonly describeRequest?: DescribeRequest
}

/** Result of a drain. */
export interface DrainReport {
  /** Number of exchanges that did not end within the limit and were aborted. */
  readonly cutExchanges: number
}

/** Time without a new connection after which a draining server stops listening. */
const QUIET_LISTENER_MS = 500
const DRAIN_POLL_MS = 50

/** HTTP server for callers, with a graceful drain. */
export class CallerServer {
  private readonly connections = new Map<Socket, CallerConnection>()
  private readonly receivedAtMs = new WeakMap<ServerResponse, number>()
  private lastAcceptAtMs = Number.NEGATIVE_INFINITY
  private isDraining = false

  private constructor (private readonly server: Server, private readonly options: CallerServerOptions) {
    server.on('connection', (socket: Socket) => { this.accept(socket) })
    // Runs before the listener that responds to the error.
    server.prependListener('clientError', (_error, socket) => { this.connections.get(socket as Socket)?.handleClientError() })
  }

  /**
   * Creates a server and starts listening.
   *
   * @param options - Address, limits and handler.
   * @returns The server, once it is listening.
   */
  static async create (options: CallerServerOptions): Promise<CallerServer> {
    const { limits } = options
    const server = createServer({
      maxHeaderSize: limits.maxHeadBytes,
      headersTimeout: limits.headTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      keepAliveTimeout: ANNOUNCED_IDLE_MS + IDLE_MARGIN_MS,
      insecureHTTPParser: false,
      requireHostHeader: false
    })
    server.maxConnections = limits.maxConnections
    // An option of http.Server that Node.js has always had but does not document, so its types lack it.
    Object.assign(server, { httpAllowHalfOpen: options.isHalfCloseDeparture !== true })
    rejectUnsupported(server)
    const callers = new CallerServer(server, options)
    const app = polka({ server })
    app.use((request: IncomingMessage, response: ServerResponse) => { callers.serve(request, response) })
    await waitUntilListening(server, onListening => { app.listen(options.address.port, options.address.host, onListening) })
    return callers
  }

  /** Port that the server listens on. */
  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Number of open connections. */
  get connectionCount (): number {
    return this.connections.size
  }

  /**
   * Drains the server: keeps serving while the load balancer still sends new connections, announces the close in responses, and stops when all connections have ended.
   *
   * @param limits - Reaction time of the load balancer and limit for exchanges that do not end, in milliseconds.
   * @returns Number of exchanges that had to be aborted.
   */
  async drain ({ balancerLagMs, longestExchangeMs }: Settings['drain']): Promise<DrainReport> {
    const { clock } = this.options
    this.isDraining = true
    for (const connection of this.connections.values()) connection.startDraining()
    await clock.sleepMs(balancerLagMs)
    const limitAtMs = clock.monotonicMs() + longestExchangeMs
    await this.pollUntil(limitAtMs, () => clock.monotonicMs() - this.lastAcceptAtMs >= QUIET_LISTENER_MS)
    // http.Server's close() would also reset idle connections, on which a request may already be on its way.
    NetServer.prototype.close.call(this.server)
    await this.pollUntil(limitAtMs, () => this.connections.size === 0)
    const cutExchanges = [...this.connections.values()].flatMap(connection => connection.exchanges)
    this.logCut(cutExchanges)
    for (const connection of this.connections.values()) connection.destroy()
    return { cutExchanges: cutExchanges.length }
  }

  /** Stops listening and destroys all connections immediately. */
  close (): void {
    NetServer.prototype.close.call(this.server)
    for (const connection of this.connections.values()) connection.destroy()
  }

  private logCut (responses: readonly ServerResponse[]): void {
    const { clock, log, describeRequest = () => ({}) } = this.options
    const nowMs = clock.monotonicMs()
    logCutExchanges(log, responses.map(response => ({ response, ageMs: nowMs - (this.receivedAtMs.get(response) ?? nowMs) })), describeRequest)
  }

  private async pollUntil (limitAtMs: number, isDone: () => boolean): Promise<void> {
    const { clock } = this.options
    for (;;) {
      // After a process was held up, its timers run first: connections and requests that arrived meanwhile are read before anything is closed.
      await turn()
      if (isDone() || clock.monotonicMs() >= limitAtMs) return
      for (const connection of this.connections.values()) connection.closeIfIdle()
      await clock.sleepMs(DRAIN_POLL_MS)
    }
  }

  private accept (socket: Socket): void {
    this.lastAcceptAtMs = this.options.clock.monotonicMs()
    const connection = CallerConnection.create(socket, this.options.clock)
    this.connections.set(socket, connection)
    socket.once('close', () => { this.connections.delete(socket) })
    if (this.options.isHalfCloseDeparture !== true) socket.once('end', () => { connection.serveHalfClosed() })
    if (this.isDraining) connection.startDraining()
  }

  private serve (request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(request.socket)
    if (connection === undefined) {
      request.socket.destroy()
      return
    }
    // A request behind a response that closes the connection counts as not read; destroying the connection could lose that response.
    if (!connection.beginExchange(response)) return
    this.handle(connection, request, response).catch((error: unknown) => {
      this.options.log.error('request handler failed', { error: String(error) })
      if (response.headersSent) response.socket?.resetAndDestroy()
      response.destroy()
    })
  }

  private async handle (connection: CallerConnection, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const receivedAtMs = this.options.clock.monotonicMs()
    this.receivedAtMs.set(response, receivedAtMs)
    if (!await connection.untilServable(response) || rejectMalformedFields(request, response)) return
    await this.options.handler(request, response, { receivedAtMs, untilFirst: async () => await connection.untilFirst(response) })
  }
}
