import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as NetServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import polka from 'polka'
import { waitUntilListening } from '@lovagehoist/common'
import type { Clock, Log, Settings } from '@lovagehoist/common'
import { ANNOUNCED_IDLE_MS, CallerConnection, IDLE_MARGIN_MS } from './callerConnection.js'
import { refuseMalformed } from './refuseMalformed.js'

/** Serves one request to its end. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/** What the server needs. */
export interface CallerServerOptions {
  readonly address: Settings['callers']
  readonly limits: Settings['limits']
  readonly clock: Clock
  readonly handler: RequestHandler
  readonly log: Log
}

/** How a drain ended. */
export interface DrainReport {
  /** Exchanges that did not end within the limit and were cut. */
  readonly cutExchanges: number
}

/** Time without a new connection after which the address is closed. */
const QUIET_LISTENER_MS = 500
const DRAIN_POLL_MS = 50

/** HTTP server on the callers' address. */
export class CallerServer {
  private readonly connections = new Map<Socket, CallerConnection>()
  private acceptedAtMs = Number.NEGATIVE_INFINITY
  private isLeaving = false

  private constructor (private readonly server: Server, private readonly options: CallerServerOptions) {
    server.on('connection', (socket: Socket) => { this.accept(socket) })
  }

  /**
   * Starts to listen.
   *
   * @param options - Address, limits and handler.
   * @returns The server, once it listens.
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
    refuseMalformed(server)
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

  /**
   * Serves on while the balancer lags, with answers that announce the close, and leaves when every connection has ended.
   *
   * @param limits - Lag of the balancer and limit of exchanges that never end, in milliseconds.
   * @returns What had to be cut.
   */
  async drain ({ balancerLagMs, longestExchangeMs }: Settings['drain']): Promise<DrainReport> {
    const { clock } = this.options
    this.isLeaving = true
    for (const connection of this.connections.values()) connection.leave()
    await clock.sleepMs(balancerLagMs)
    const limitAtMs = clock.monotonicMs() + longestExchangeMs
    await this.until(limitAtMs, () => clock.monotonicMs() - this.acceptedAtMs >= QUIET_LISTENER_MS)
    // The close of http.Server would also reset idle connections on which a request may be on its way.
    NetServer.prototype.close.call(this.server)
    await this.until(limitAtMs, () => this.connections.size === 0)
    const cutExchanges = [...this.connections.values()].reduce((sum, connection) => sum + connection.exchanges, 0)
    for (const connection of this.connections.values()) connection.cut()
    return { cutExchanges }
  }

  /** Stops listening and cuts all connections at once. */
  close (): void {
    NetServer.prototype.close.call(this.server)
    for (const connection of this.connections.values()) connection.cut()
  }

  private async until (limitAtMs: number, isDone: () => boolean): Promise<void> {
    const { clock } = this.options
    while (!isDone() && clock.monotonicMs() < limitAtMs) {
      for (const connection of this.connections.values()) connection.closeIfIdle()
      await clock.sleepMs(DRAIN_POLL_MS)
    }
  }

  private accept (socket: Socket): void {
    this.acceptedAtMs = this.options.clock.monotonicMs()
    const connection = CallerConnection.create(socket, this.options.clock)
    this.connections.set(socket, connection)
    socket.once('close', () => { this.connections.delete(socket) })
    if (this.isLeaving) connection.leave()
  }

  private serve (request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(request.socket)
    if (connection?.begin(response) !== true) {
      request.socket.destroy()
      return
    }
    this.options.handler(request, response).catch((error: unknown) => {
      this.options.log.error('serving a request failed', { error: String(error) })
      response.destroy()
    })
  }
}
