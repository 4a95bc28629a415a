import type { Clock, EnvironmentDocument, PeerBus, Platform, Random } from '@lovagehoist/common'
import { readStoredDocument, unpackDocument } from '../document/documentStore.js'
import type { FollowerMetrics } from './followerMetrics.js'
import { parseDocument } from './parseDocument.js'
import { fetchFromPeers } from './peerDocuments.js'

/** Sources and metrics for fetching a document. */
export interface FetchOptions {
  readonly platform: Platform
  readonly bus: PeerBus
  readonly random: Random
  readonly clock: Clock
  readonly metrics: FollowerMetrics
}

/** A parsed document with its compressed bytes. */
export interface FetchedDocument {
  readonly document: EnvironmentDocument
  readonly packed: Uint8Array
}

/** Compressed and plain bytes of a document whose digest was verified. */
interface VerifiedBytes {
  readonly packed: Uint8Array
  readonly bytes: Buffer
}

const fetchFromStore = async ({ platform, metrics }: FetchOptions, digest: string): Promise<VerifiedBytes | undefined> => {
  const stored = (await readStoredDocument(platform, digest)).unwrapOr(undefined)
  if (stored === undefined) metrics.fetchFailures.inc({ source: 'store' })
  return stored
}

const fetchAndVerifyFromPeers = async (options: FetchOptions, digest: string): Promise<VerifiedBytes | undefined> => {
  const packed = await fetchFromPeers(options, digest)
  const bytes = packed === undefined ? undefined : await unpackDocument({ digest, packed })
  if (packed !== undefined && bytes !== undefined) return { packed, bytes }
  options.metrics.fetchFailures.inc({ source: 'peers' })
  return undefined
}

/**
 * Fetches a document from the object store or, if that fails, from peers that hold it.
 *
 * @param options - Platform, peers and metrics.
 * @param digest - Expected digest of the plain bytes.
 * @returns The document; undefined when no source delivered it or this version of the daemon can't parse it.
 */
export const fetchDocument = async (options: FetchOptions, digest: string): Promise<FetchedDocument | undefined> => {
  const fetched = await fetchFromStore(options, digest) ?? await fetchAndVerifyFromPeers(options, digest)
  if (fetched === undefined) return undefined
  const document = await parseDocument(options.clock, fetched.bytes.toString('utf8'))
  if (document === undefined) options.metrics.fetchFailures.inc({ source: 'unreadable' })
  return document === undefined ? undefined : { document, packed: fetched.packed }
}
