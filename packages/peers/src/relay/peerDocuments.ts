import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Client } from 'undici'
import type { Address, Clock } from '@lovagehoist/common'

/** Name of a document that daemons fetch from each other. */
export type PeerDocument = 'configuration' | 'targets'

/** Readers of the documents that this daemon serves; a reader returns undefined if the daemon does not hold the document. */
export type PeerDocumentTexts = Readonly<Record<PeerDocument, () => string | undefined>>

/** Fetches the text of a document from another daemon. */
export type FetchPeerDocument = (clock: Clock, address: Address, name: PeerDocument) => Promise<Result<string, string>>

const PATH_PREFIX = '/documents/'
const STATUS_NOT_FOUND = 404
const STATUS_OK = 200
/** Generous: daemons of the same zone answer within a few milliseconds. */
const FETCH_TIMEOUT_MS = 1_000

/**
 * Creates the handler that serves documents to other daemons.
 *
 * @param texts - Reader of each document.
 * @returns Handler of requests; it answers 404 for other paths and for documents that this daemon does not hold.
 */
export const createPeerDocumentHandler = (texts: PeerDocumentTexts) => async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
  const name = request.url?.slice(PATH_PREFIX.length) ?? ''
  const text = request.url?.startsWith(PATH_PREFIX) === true && Object.hasOwn(texts, name) ? texts[name as PeerDocument]() : undefined
  response.writeHead(text === undefined ? STATUS_NOT_FOUND : STATUS_OK, { 'content-type': 'application/json', connection: 'close' }).end(text ?? '{}')
}

/**
 * Fetches a document from another daemon.
 *
 * @param clock - Source of time.
 * @param address - Address of the other daemon.
 * @param name - Document to fetch.
 * @returns Text of the document, or the reason for the failure.
 */
export const fetchPeerDocument: FetchPeerDocument = async (clock, { host, port }, name) => {
  const timeout = new AbortController()
  const cancelTimeout = clock.after(FETCH_TIMEOUT_MS, () => { timeout.abort() })
  const client = new Client(`http://${host}:${port}`)
  try {
    const { statusCode, body } = await client.request({ method: 'GET', path: `${PATH_PREFIX}${name}`, signal: timeout.signal })
    const text = await body.text()
    return statusCode === STATUS_OK ? ok(text) : err(`status ${statusCode}`)
  } catch (error) {
    return err(String(error))
  } finally {
    cancelTimeout()
    await client.destroy()
  }
}
