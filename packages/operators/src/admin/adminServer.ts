import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import polka from 'polka'
import type { Registry } from 'prom-client'
import { waitUntilListening } from '@lovagehoist/common'
import type { JsonValue, PeerBus, Settings, StateSource, Target, TargetRating } from '@lovagehoist/common'
import type { FleetView } from '../inForce/fleetView.js'
import type { AdminHandler } from './adminHandler.js'
import { checkAccess } from './access.js'
import type { ReadToken } from './access.js'
import { dumpState } from './boundedDump.js'
import { addForwardRoutes } from './forwardRoutes.js'
import { sendJson } from './sendJson.js'

/** A target with the health rating that this daemon gives it. */
export type RatedTarget = Target & TargetRating

/** Address, state and actions of the admin interface. */
export interface AdminServerOptions {
  readonly address: Settings['admin']
  readonly registry: Registry
  readonly sources: readonly StateSource[]
  readonly isReady: () => boolean
  readonly drain: () => void
  readonly viewFleet: () => FleetView
  readonly viewTargets: (service: string) => readonly RatedTarget[]
  readonly bus: PeerBus
  /** Reads the token that dumps and changes require; undefined to allow only loopback connections. */
  readonly readToken: ReadToken
}

const MAX_CONNECTIONS = 64
const REQUEST_TIMEOUT_MS = 10_000

const pathParamOf = (request: IncomingMessage, name: string): string =>
  (request as IncomingMessage & { readonly params: Readonly<Record<string, string>> }).params[name] ?? ''

const addPublicRoutes = (app: polka.Polka, options: AdminServerOptions): void => {
  app.get('/live', (_request: IncomingMessage, response: ServerResponse) => { sendJson(response, 200, { isLive: true }) })
  app.get('/ready', (_request: IncomingMessage, response: ServerResponse) => {
    const isReady = options.isReady()
    sendJson(response, isReady ? 200 : 503, { isReady })
  })
  app.get('/metrics', async (_request: IncomingMessage, response: ServerResponse) => {
    response.setHeader('content-type', options.registry.contentType)
    response.end(await options.registry.metrics())
  })
}

const addProtectedRoutes = (app: polka.Polka, options: AdminServerOptions): void => {
  const requireAccess = (handler: AdminHandler): AdminHandler => async (request, response) => {
    const refusal = await checkAccess(request, options.readToken)
    if (refusal === undefined) await handler(request, response)
    else sendJson(response, refusal.status, { error: refusal.detail })
  }
  const drain = (): JsonValue => {
    options.drain()
    return { isDraining: true }
  }
  app.get('/dump', requireAccess((_request, response) => { sendJson(response, 200, dumpState(options.sources)) }))
  app.get('/config', requireAccess((_request, response) => { sendJson(response, 200, options.viewFleet()) }))
  app.get('/targets/:service', requireAccess((request, response) => {
    sendJson(response, 200, { targets: options.viewTargets(pathParamOf(request, 'service')).map(target => ({ ...target })) })
  }))
  app.post('/drain', requireAccess((_request, response) => { sendJson(response, 202, drain()) }))
  addForwardRoutes({ app, requireAccess, pathParamOf, bus: options.bus, dump: () => dumpState(options.sources), drain })
}

/** HTTP server on the admin address: readiness, liveness, metrics, state dumps, fleet configuration, targets and draining. */
export class AdminServer {
  private constructor (private readonly server: Server) {}

  /**
   * Starts the server.
   *
   * @param options - Address, state and actions.
   * @returns The server, once it listens; rejects when it can't listen on the address.
   */
  static async create (options: AdminServerOptions): Promise<AdminServer> {
    const server = createServer({ requestTimeout: REQUEST_TIMEOUT_MS, headersTimeout: REQUEST_TIMEOUT_MS })
    server.maxConnections = MAX_CONNECTIONS
    const app = polka({ server })
    addPublicRoutes(app, options)
    addProtectedRoutes(app, options)
    await waitUntilListening(server, onListening => { app.listen(options.address.port, options.address.host, onListening) })
    return new AdminServer(server)
  }

  /** Port that the server listens on. */
  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Stops the server and closes its connections. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeAllConnections()
    })
  }
}
