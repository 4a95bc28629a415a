import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { Server as TlsServer } from 'node:https'
import type { AddressInfo } from 'node:net'
import { waitUntilListening, withTimeout } from '@lovagehoist/common'
import type { Clock, Log } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import polka from 'polka'
import { Agent, request } from 'undici'
import { MAX_MESSAGE_BYTES } from '../wire/messages.js'
import type { Packet } from '../wire/codec.js'
import type { PacketListener, PeerAddress, PeerTransport } from './peerTransport.js'
import { readTlsFiles, watchTlsFiles } from './tlsFiles.js'
import type { TlsFilePaths, TlsMaterial } from './tlsFiles.js'

const PEERS_PATH = '/peers'
const CONNECTIONS_PER_PEER = 2
const CLIENT_KEEP_ALIVE_MS = 30_000
const SERVER_KEEP_ALIVE_MS = 60_000
const STATUS_OK = 200
const STATUS_BAD_REQUEST = 400
const STATUS_TOO_LARGE = 413

/** Options of an HTTP transport. */
export interface HttpTransportOptions {
  /** Address to listen on, also the source address of outgoing connections. */
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly log: Log
  /** Files with the certificate, its key and the CA; absent for plain HTTP. */
  readonly tls?: TlsFilePaths | undefined
  /** Called when a message is refused as too long or a TLS client as untrusted. */
  readonly onRefused: (reason: 'oversized' | 'stranger') => void
}

const createAgent = (localAddress: string, tls: TlsMaterial | undefined): Agent => new Agent({
  connections: CONNECTIONS_PER_PEER,
  pipelining: 1,
  keepAliveTimeout: CLIENT_KEEP_ALIVE_MS,
  connect: { localAddress, ...(tls === undefined ? {} : { ...tls, rejectUnauthorized: true, checkServerIdentity: () => undefined }) }
})

const createPeerServer = (tls: TlsMaterial | undefined): Server | TlsServer => {
  const server = tls === undefined ? createServer() : createTlsServer({ ...tls, requestCert: true, rejectUnauthorized: true })
  server.keepAliveTimeout = SERVER_KEEP_ALIVE_MS
  return server
}

const readLimited = async (message: AsyncIterable<Buffer>): Promise<Buffer | undefined> => {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of message) {
    bytes += chunk.length
    if (bytes > MAX_MESSAGE_BYTES) return undefined
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

/** Sends packets as HTTP requests, over mutual TLS if certificates are configured. */
export class HttpPeerTransport implements PeerTransport {
  private listener: PacketListener = async () => undefined
  private agent: Agent
  private server: Server | TlsServer | undefined
  private tlsMaterial: TlsMaterial | undefined

  private constructor (private readonly options: HttpTransportOptions) {
    this.agent = createAgent(options.host, undefined)
  }

  /**
   * Creates a transport that does not listen yet.
   *
   * @param options - Address, clock, log and certificates.
   * @returns The transport.
   */
  static create (options: HttpTransportOptions): HttpPeerTransport {
    return new HttpPeerTransport(options)
  }

  readonly send = async (address: PeerAddress, packet: Packet, timeoutMs: number): Promise<Result<Packet, string>> => {
    const stop = new AbortController()
    try {
      const timed = await withTimeout(this.options.clock, timeoutMs, this.exchange(address, packet, stop.signal))
      return timed.type === 'timeout' ? err(`no answer within ${timeoutMs} ms`) : timed.value
    } catch (error) {
      return err(String(error))
    } finally {
      stop.abort('ended')
    }
  }

  readonly listen = async (listener: PacketListener): Promise<number> => {
    const { tls, host, port } = this.options
    this.listener = listener
    if (tls !== undefined) this.applyTlsMaterial(await readTlsFiles(tls))
    const server = createPeerServer(this.tlsMaterial)
    server.on('tlsClientError', (error: Error) => { this.handleTlsError(error) })
    const app = polka({ server: server as Server })
    app.post(PEERS_PATH, async (message: IncomingMessage, response: ServerResponse) => { await this.handleRequest(message, response) })
    await waitUntilListening(server, onListening => { app.listen(port, host, onListening) })
    this.server = server
    return (server.address() as AddressInfo).port
  }

  /**
   * Reloads the certificate files when they change, until aborted.
   *
   * @param signal - Stops the watch.
   */
  async run (signal: AbortSignal): Promise<void> {
    const { tls: paths, clock, log } = this.options
    if (paths === undefined || this.tlsMaterial === undefined) return
    await watchTlsFiles({ paths, initial: this.tlsMaterial, clock, log, onChange: material => { this.applyTlsMaterial(material) } }, signal)
  }

  readonly close = async (): Promise<void> => {
    await this.agent.destroy()
    await new Promise<void>(resolve => {
      if (this.server === undefined) resolve()
      this.server?.close(() => { resolve() })
      this.server?.closeAllConnections()
    })
  }

  private applyTlsMaterial (material: TlsMaterial): void {
    this.tlsMaterial = material
    if (this.server !== undefined && 'setSecureContext' in this.server) this.server.setSecureContext(material)
    const old = this.agent
    this.agent = createAgent(this.options.host, material)
    old.close().catch((error: unknown) => { this.options.log.debug('closing connections with the previous certificate failed', { error: String(error) }) })
  }

  private async exchange (address: PeerAddress, packet: Packet, signal: AbortSignal): Promise<Result<Packet, string>> {
    const scheme = this.options.tls === undefined ? 'http' : 'https'
    const host = address.host.includes(':') ? `[${address.host}]` : address.host
    const reply = await request(`${scheme}://${host}:${address.port}${PEERS_PATH}`, {
      method: 'POST',
      headers: { 'content-type': packet.contentType },
      body: packet.body,
      dispatcher: this.agent,
      signal
    })
    const body = await readLimited(reply.body as unknown as AsyncIterable<Buffer>)
    if (body === undefined) return err('the answer is too long')
    if (reply.statusCode !== STATUS_OK) return err(`status ${reply.statusCode}`)
    return ok({ contentType: String(reply.headers['content-type'] ?? ''), body })
  }

  private async handleRequest (message: IncomingMessage, response: ServerResponse): Promise<void> {
    response.sendDate = false
    try {
      const body = await readLimited(message as AsyncIterable<Buffer>)
      if (body === undefined) {
        this.options.onRefused('oversized')
        response.writeHead(STATUS_TOO_LARGE, { 'content-length': 0, connection: 'close' }).end()
        return
      }
      const answer = await this.listener({ contentType: message.headers['content-type'] ?? '', body })
      if (answer === undefined) response.writeHead(STATUS_BAD_REQUEST, { 'content-length': 0 }).end()
      else response.writeHead(STATUS_OK, { 'content-type': answer.contentType, 'content-length': answer.body.length }).end(answer.body)
    } catch (error) {
      this.options.log.debug('handling a peer message failed', { error: String(error) })
      response.destroy()
    }
  }

  private handleTlsError (error: Error): void {
    this.options.onRefused('stranger')
    this.options.log.debug('TLS handshake of a client failed', { error: error.message })
  }
}
