import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import polka from 'polka'
import type { Registry } from 'prom-client'
import type { JsonValue, Settings, StateSource } from '@lovagehoist/common'

/** What the admin interface shows and does. */
export interface AdminServerOptions {
  readonly address: Settings['admin']
  readonly registry: Registry
  readonly sources: readonly StateSource[]
  readonly isReady: () => boolean
  readonly drain: () => void
}

const sendJson = (response: ServerResponse, status: number, value: JsonValue): void => {
  response.statusCode = status
  response.setHeader('content-type', 'application/json')
  response.end(JSON.stringify(value))
}

/** HTTP server on the admin address: readiness, liveness, metrics, state dump, drain. */
export class AdminServer {
  private constructor (private readonly server: Server) {}

  /**
   * Starts to listen.
   *
   * @param options - Address and what is shown.
   * @returns The server, once it listens.
   */
  static async create (options: AdminServerOptions): Promise<AdminServer> {
    const server = createServer()
    const app = polka({ server })
    app.get('/live', (_request: IncomingMessage, response: ServerResponse) => { sendJson(response, 200, { isLive: true }) })
    app.get('/ready', (_request: IncomingMessage, response: ServerResponse) => {
      const isReady = options.isReady()
      sendJson(response, isReady ? 200 : 503, { isReady })
    })
    app.get('/metrics', async (_request: IncomingMessage, response: ServerResponse) => {
      response.setHeader('content-type', options.registry.contentType)
      response.end(await options.registry.metrics())
    })
    app.get('/dump', (_request: IncomingMessage, response: ServerResponse) => {
      sendJson(response, 200, Object.fromEntries(options.sources.map(source => [source.name, source.dump()])))
    })
    app.post('/drain', (_request: IncomingMessage, response: ServerResponse) => {
      options.drain()
      sendJson(response, 202, { isDraining: true })
    })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      app.listen(options.address.port, options.address.host, () => { resolve() })
    })
    return new AdminServer(server)
  }

  /** Port that the server listens on. */
  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Stops the server and cuts its connections. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeAllConnections()
    })
  }
}
