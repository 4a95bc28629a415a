import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import polka from 'polka'
import type { Registry } from 'prom-client'
import { waitUntilListening } from '@lovagehoist/common'
import type { Address } from '@lovagehoist/common'

const OK = 200
const NOT_READY = 503

const listen = async (address: Address, path: string, handle: (request: IncomingMessage, response: ServerResponse) => void): Promise<Server> => {
  const server = createServer()
  const app = polka({ server })
  app.get(path, handle)
  await waitUntilListening(server, onListening => { app.listen(address.port, address.host, onListening) })
  return server
}

/**
 * Answers the balancer's question whether this daemon takes new connections.
 *
 * @param address - Address for the balancer.
 * @param path - Path that it asks.
 * @param isReady - Whether the daemon is ready.
 * @returns The server, once it listens.
 */
export const serveReadiness = async (address: Address, path: string, isReady: () => boolean): Promise<Server> =>
  await listen(address, path, (_request, response) => { response.writeHead(isReady() ? OK : NOT_READY, { 'content-length': 0 }).end() })

/**
 * Serves metrics in the text format.
 *
 * @param address - Address for the collector.
 * @param registry - Metrics of this daemon.
 * @returns The server, once it listens.
 */
export const serveMetrics = async (address: Address, registry: Registry): Promise<Server> =>
  await listen(address, '/metrics', (_request, response) => {
    registry.metrics().then(
      text => { response.writeHead(OK, { 'content-type': registry.contentType }).end(text) },
      () => { response.writeHead(NOT_READY).end() })
  })
