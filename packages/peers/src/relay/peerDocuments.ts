import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import polka from 'polka'
import { request } from 'undici'
import { waitUntilListening } from '@lovagehoist/common'
import type { Address, Clock } from '@lovagehoist/common'

/** Name of a document that daemons fetch from each other. */
export type PeerDocument = 'configuration' | 'targets'

/** Readers of the documents that this daemon serves; a reader returns undefined if the daemon does not hold the document. */
export type PeerDocumentTexts = Readonly<Record<PeerDocument, () => string | undefined>>

const STATUS_NOT_FOUND = 404
const STATUS_OK = 200
/** Generous: daemons of the same zone answer within a few milliseconds. */
const FETCH_TIMEOUT_MS = 1_000

/**
 * Starts an HTTP server that serves documents to other daemons.
 *
 * @param address - Address to listen on.
 * @param texts - Reader of each document.
 * @returns The server once it listens.
 */
export const servePeerDocuments = async (address: Address, texts: PeerDocumentTexts): Promise<Server> => {
  const server = createServer()
  const app = polka({ server })
  for (const [name, read] of Object.entries(texts)) {
    app.get(`/documents/${name}`, (_request: IncomingMessage, response: ServerResponse) => {
      const text = read()
      response.writeHead(text === undefined ? STATUS_NOT_FOUND : STATUS_OK, { 'content-type': 'application/json', connection: 'close' }).end(text ?? '{}')
    })
  }
  await waitUntilListening(server, onListening => { app.listen(address.port, address.host, onListening) })
  return server
}

/**
 * Fetches a document from another daemon.
 *
 * @param clock - Source of time.
 * @param address - Address of the other daemon.
 * @param name - Document to fetch.
 * @returns Text of the document, or the reason for the failure.
 */
export const fetchPeerDocument = async (clock: Clock, { host, port }: Address, name: PeerDocument): Promise<Result<string, string>> => {
  const timeout = new AbortController()
  const cancelTimeout = clock.after(FETCH_TIMEOUT_MS, () => { timeout.abort() })
  try {
    const { statusCode, body } = await request(`http://${host}:${port}/documents/${name}`, { signal: timeout.signal })
    const text = await body.text()
    return statusCode === STATUS_OK ? ok(text) : err(`status ${statusCode}`)
  } catch (error) {
    return err(String(error))
  } finally {
    cancelTimeout()
  }
}
