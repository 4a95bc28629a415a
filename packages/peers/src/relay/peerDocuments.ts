import type { IncomingMessage, ServerResponse } from 'node:http'
import { promisify } from 'node:util'
import { gunzip, gzip } from 'node:zlib'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Client } from 'undici'
import { collectBody } from '@lovagehoist/common'
import type { Address, Clock } from '@lovagehoist/common'

/** Name of a document that daemons fetch from each other. */
export type PeerDocument = 'configuration' | 'targets'

/** Readers of the documents that this daemon serves; a reader returns undefined if the daemon does not hold the document. */
export type PeerDocumentTexts = Readonly<Record<PeerDocument, () => string | undefined>>

/** Fetches the text of a document from another daemon. */
export type FetchPeerDocument = (clock: Clock, address: Address, name: PeerDocument) => Promise<Result<string, string>>

/** A document as it is sent to daemons that accept it compressed. */
interface CompressedDocument {
  readonly text: string
  readonly bytes: Promise<Buffer>
}

const PATH_PREFIX = '/documents/'
const STATUS_NOT_FOUND = 404
const STATUS_OK = 200
const ENCODING = 'gzip'
/** Documents that are compressed. The list of targets carries its age: each response would have to be compressed anew. */
const IS_COMPRESSED: Readonly<Record<PeerDocument, boolean>> = { configuration: true, targets: false }
/** Shorter documents fit into a packet or two as they are. */
const MIN_COMPRESSED_LENGTH = 2_000
/** Silence after which a fetch is given up: daemons of the same zone answer within a few milliseconds, but a document may take long over a slow link. */
const FETCH_SILENCE_MS = 1_000
/** Limit of a fetch that keeps making progress; another daemon may be faster. */
const MAX_FETCH_MS = 4_000
/** Limit of a document's size, compressed or not; 12,000 routes and as many client accounts take 4 MB. */
const MAX_DOCUMENT_BYTES = 64 * 1_024 * 1_024

const compress = promisify(gzip)
const decompress = promisify(gunzip)

const acceptsCompressed = ({ headers }: IncomingMessage): boolean => headers['accept-encoding']?.includes(ENCODING) === true

const documentOf = ({ url = '' }: IncomingMessage, texts: PeerDocumentTexts): PeerDocument | undefined => {
  const name = url.slice(PATH_PREFIX.length)
  return url.startsWith(PATH_PREFIX) && Object.hasOwn(texts, name) ? name as PeerDocument : undefined
}

/**
 * Creates the handler that serves documents to other daemons; each version of the configuration is compressed once.
 *
 * @param texts - Reader of each document.
 * @returns Handler of requests; it answers 404 for other paths and for documents that this daemon does not hold.
 */
export const createPeerDocumentHandler = (texts: PeerDocumentTexts) => {
  const compressed = new Map<PeerDocument, CompressedDocument>()
  const compressOnce = async (name: PeerDocument, text: string): Promise<Buffer> => {
    const last = compressed.get(name)
    if (last?.text === text) return await last.bytes
    const bytes = compress(text)
    compressed.set(name, { text, bytes })
    return await bytes
  }
  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const name = documentOf(request, texts)
    const text = name === undefined ? undefined : texts[name]()
    const headers = { 'content-type': 'application/json', connection: 'close' }
    if (name === undefined || text === undefined) response.writeHead(STATUS_NOT_FOUND, headers).end('{}')
    else if (!IS_COMPRESSED[name] || text.length < MIN_COMPRESSED_LENGTH || !acceptsCompressed(request)) response.writeHead(STATUS_OK, headers).end(text)
    else response.writeHead(STATUS_OK, { ...headers, 'content-encoding': ENCODING }).end(await compressOnce(name, text))
  }
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
    const { statusCode, headers, body } = await client.request({ method: 'GET', path: `${PATH_PREFIX}${name}`, headers: { 'accept-encoding': ENCODING }, signal: timeout.signal })
    onProgress()
    const bytes = await collectBody(body as AsyncIterable<Buffer>, MAX_DOCUMENT_BYTES, onProgress)
    if (statusCode !== STATUS_OK) return err(`status ${statusCode}`)
    const plain = headers['content-encoding'] === ENCODING ? await decompress(bytes, { maxOutputLength: MAX_DOCUMENT_BYTES }) : bytes
    return ok(plain.toString('utf8'))
  } catch (error) {
    return err(String(error))
  } finally {
    cancelLimit()
    cancelSilence()
    await client.destroy()
  }
}
