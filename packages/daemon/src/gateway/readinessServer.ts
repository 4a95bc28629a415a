import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import polka from 'polka'
import type { Registry } from 'prom-client'
import { waitUntilListening } from '@lovagehoist/common'
import type { Address } from '@lovagehoist/common'

const OK = 200
const NOT_READY = 503

const startServer = async (address: Address, path: string, handle: (request: IncomingMessage, response: ServerResponse) => void): Promise<Server> => {
  const server = createServer()
  const app = polka({ server })
  app.get(path, handle)
  await waitUntilListening(server, onListening => { app.listen(address.port, address.host, onListening) })
  return server
}

/**
 * Serves the load balancer's readiness check: status 200 while this daemon takes new connections, otherwise 503.
 *
 * @param address - Address for the load balancer.
 * @param path - Path of the check.
 * @param isReady - Whether the daemon is ready.
 * @returns The server, once it listens.
 */
export const serveReadiness = async (address: Address, path: string, isReady: () => boolean): Promise<Server> =>
  await startServer(address, path, (_request, response) => { response.writeHead(isReady() ? OK : NOT_READY, { 'content-length': 0 }).end() })

/**
 * Serves metrics in the Prometheus text format.
 *
 * @param address - Address that the metrics collector reads.
 * @param registry - Metrics of this daemon.
 * @returns The server, once it listens.
 */
export const serveMetrics = async (address: Address, registry: Registry): Promise<Server> =>
  await startServer(address, '/metrics', (_request, response) => {
    registry.metrics().then(
      text => { response.writeHead(OK, { 'content-type': registry.contentType }).end(text) },
      () => { response.writeHead(NOT_READY).end() })
  })
