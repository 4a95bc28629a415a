import type { Clock, EnvironmentDocument, PeerBus, Platform, Random } from '@lovagehoist/common'
import { readStored, unpackDocument } from '../document/documentStore.js'
import type { FollowerMetrics } from './followerMetrics.js'
import { parseDocument } from './parseDocument.js'
import { fetchFromPeers } from './peerDocuments.js'

/** What fetching a document needs. */
export interface FetchOptions {
  readonly platform: Platform
  readonly bus: PeerBus
  readonly random: Random
  readonly clock: Clock
  readonly metrics: FollowerMetrics
}

/** A document with the compressed bytes that it came in. */
export interface FetchedDocument {
  readonly document: EnvironmentDocument
  readonly packed: Uint8Array
}

interface Fetched {
  readonly packed: Uint8Array
  readonly bytes: Buffer
}

const fromStore = async ({ platform, metrics }: FetchOptions, digest: string): Promise<Fetched | undefined> => {
  const stored = (await readStored(platform, digest)).unwrapOr(undefined)
  if (stored === undefined) metrics.fetchFailures.inc({ source: 'store' })
  return stored
}

const fromPeers = async (options: FetchOptions, digest: string): Promise<Fetched | undefined> => {
  const packed = await fetchFromPeers(options, digest)
  const bytes = packed === undefined ? undefined : await unpackDocument({ digest, packed })
  if (packed !== undefined && bytes !== undefined) return { packed, bytes }
  options.metrics.fetchFailures.inc({ source: 'peers' })
  return undefined
}

/**
 * Fetches a document from the object store or, when that fails, from peers that hold it.
 *
 * @param options - Platform, peers and metrics.
 * @param digest - Digest that its plain bytes must have.
 * @returns The document; undefined when nobody gave it or it can't be read here.
 */
export const fetchDocument = async (options: FetchOptions, digest: string): Promise<FetchedDocument | undefined> => {
  const fetched = await fromStore(options, digest) ?? await fromPeers(options, digest)
  if (fetched === undefined) return undefined
  const document = await parseDocument(options.clock, fetched.bytes.toString('utf8'))
  if (document === undefined) options.metrics.fetchFailures.inc({ source: 'unreadable' })
  return document === undefined ? undefined : { document, packed: fetched.packed }
}
