import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Client } from 'undici'
import type { Dispatcher } from 'undici'
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
/** Silence after which a fetch is given up: daemons of the same zone answer within a few milliseconds, but a document may take long over a slow link. */
const FETCH_SILENCE_MS = 1_000
/** Limit of a fetch that keeps making progress; another daemon may be faster. */
const MAX_FETCH_MS = 4_000
/** Limit of a document's size; 12,000 routes and as many client accounts take 4 MB. */
const MAX_DOCUMENT_BYTES = 64 * 1_024 * 1_024

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

const readBody = async (body: Dispatcher.ResponseData['body'], onProgress: () => void): Promise<Buffer> => {
  const parts: Buffer[] = []
  let size = 0
  for await (const part of body as AsyncIterable<Buffer>) {
    onProgress()
    parts.push(part)
    size += part.length
    if (size > MAX_DOCUMENT_BYTES) throw new Error(`document larger than ${MAX_DOCUMENT_BYTES} bytes`)
  }
  return Buffer.concat(parts)
}

/**
 * Fetches a document from another daemon; gives up when nothing arrives any more.
 *
 * @param clock - Source of time.
 * @param address - Address of the other daemon.
 * @param name - Document to fetch.
 * @returns Text of the document, or the reason for the failure.
 */
export const fetchPeerDocument: FetchPeerDocument = async (clock, { host, port }, name) => {
  const timeout = new AbortController()
  const abort = (): void => { timeout.abort() }
  const cancelLimit = clock.after(MAX_FETCH_MS, abort)
  let cancelSilence = clock.after(FETCH_SILENCE_MS, abort)
  const onProgress = (): void => {
    cancelSilence()
    cancelSilence = clock.after(FETCH_SILENCE_MS, abort)
  }
  const client = new Client(`http://${host}:${port}`)
  try {
    const { statusCode, body } = await client.request({ method: 'GET', path: `${PATH_PREFIX}${name}`, signal: timeout.signal })
    onProgress()
    const bytes = await readBody(body, onProgress)
    if (statusCode !== STATUS_OK) return err(`status ${statusCode}`)
    return ok(bytes.toString('utf8'))
  } catch (error) {
    return err(String(error))
  } finally {
    cancelLimit()
    cancelSilence()
    await client.destroy()
  }
}
