import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import polka from 'polka'
import { request } from 'undici'
import { waitUntilListening } from '@lovagehoist/common'
import type { Address, Clock } from '@lovagehoist/common'

/** A document that daemons ask each other for. */
export type PeerDocument = 'configuration' | 'targets'

/** Texts of the documents that this daemon holds. */
export type PeerDocumentTexts = Readonly<Record<PeerDocument, () => string | undefined>>

const NOT_HELD = 404
const OK = 200
/** Daemons of a zone answer within a few milliseconds. */
const LIMIT_MS = 1_000

/**
 * Serves documents to other daemons.
 *
 * @param address - Address for peers.
 * @param texts - Documents.
 * @returns The server, once it listens.
 */
export const servePeerDocuments = async (address: Address, texts: PeerDocumentTexts): Promise<Server> => {
  const server = createServer()
  const app = polka({ server })
  for (const [name, read] of Object.entries(texts)) {
    app.get(`/documents/${name}`, (_request: IncomingMessage, response: ServerResponse) => {
      const text = read()
      response.writeHead(text === undefined ? NOT_HELD : OK, { 'content-type': 'application/json', connection: 'close' }).end(text ?? '{}')
    })
  }
  await waitUntilListening(server, onListening => { app.listen(address.port, address.host, onListening) })
  return server
}

/**
 * Asks another daemon for a document.
 *
 * @param clock - Source of time.
 * @param address - Address of the other daemon.
 * @param name - Document.
 * @returns Its text, or why there is none.
 */
export const fetchPeerDocument = async (clock: Clock, { host, port }: Address, name: PeerDocument): Promise<Result<string, string>> => {
  const limit = new AbortController()
  const cancel = clock.after(LIMIT_MS, () => { limit.abort() })
  try {
    const { statusCode, body } = await request(`http://${host}:${port}/documents/${name}`, { signal: limit.signal })
    const text = await body.text()
    return statusCode === OK ? ok(text) : err(`status ${statusCode}`)
  } catch (error) {
    return err(String(error))
  } finally {
    cancel()
  }
}
