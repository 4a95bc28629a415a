import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import polka from 'polka'
import type { Log, Settings } from '@lovagehoist/common'
import { refuseMalformed } from './refuseMalformed.js'

/** Serves one request to its end. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/** What the server needs. */
export interface CallerServerOptions {
  readonly address: Settings['callers']
  readonly limits: Settings['limits']
  readonly handler: RequestHandler
  readonly log: Log
}

/** HTTP server on the callers' address. */
export class CallerServer {
  private constructor (private readonly server: Server) {}

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
      insecureHTTPParser: false,
      requireHostHeader: false
    })
    server.maxConnections = limits.maxConnections
    refuseMalformed(server)
    const app = polka({ server })
    app.use((request: IncomingMessage, response: ServerResponse) => {
      options.handler(request, response).catch((error: unknown) => {
        options.log.error('serving a request failed', { error: String(error) })
        response.destroy()
      })
    })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      app.listen(options.address.port, options.address.host, () => { resolve() })
    })
    return new CallerServer(server)
  }

  /** Port that the server listens on. */
  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Stops accepting and resolves when the last exchange has ended. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeIdleConnections()
    })
  }
}
