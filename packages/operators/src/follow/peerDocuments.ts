import type { Clock, JsonValue, Member, PeerBus, PeerMethodHandler, Random } from '@lovagehoist/common'
import { z } from 'zod'
import type { HeldConfig } from './heldConfig.js'

/** Peer method that returns a chunk of the document that a daemon holds. */
export const DOCUMENT_METHOD = 'config.document'

/** Compressed bytes in one response. */
const CHUNK_BYTES = 8_192
const CALL_TIMEOUT_MS = 1_000
/** Largest accepted compressed document. */
const MAX_PACKED_BYTES = 4_194_304
const MAX_PEERS_TRIED = 3

const requestSchema = z.object({ digest: z.string(), offset: z.int().min(0) })
const chunkSchema = z.object({ totalBytes: z.int().min(1).max(MAX_PACKED_BYTES), base64: z.string().min(1).max(CHUNK_BYTES * 2) })

/**
 * Creates the handler that serves chunks of the held document.
 *
 * @param held - Holder of the configuration in force.
 * @returns Handler; responds with null when another document is held.
 */
export const createDocumentHandler = (held: HeldConfig): PeerMethodHandler => async params => {
  const request = requestSchema.safeParse(params)
  const { packed } = held
  if (!request.success || packed === undefined || request.data.digest !== held.digest) return null
  const { offset } = request.data
  return { totalBytes: packed.length, base64: Buffer.from(packed.subarray(offset, offset + CHUNK_BYTES)).toString('base64') }
}

/** Bus, clock and randomness for fetching from peers. */
export interface PeerDocumentOptions {
  readonly bus: PeerBus
  readonly random: Random
  readonly clock: Clock
}

/** Chooses reachable members with the document, those of the own availability zone first, in random order. */
const holdersOf = ({ bus, random }: PeerDocumentOptions, digest: string): readonly Member[] =>
  bus.members()
    .filter(member => member.status === 'reachable' && member.configDigest !== '' && digest.startsWith(member.configDigest))
    .map(member => ({ member, order: (member.availabilityZone === bus.self.availabilityZone ? 0 : 1) + random.next() }))
    .sort((a, b) => a.order - b.order)
    .slice(0, MAX_PEERS_TRIED)
    .map(({ member }) => member)

const fetchFrom = async (bus: PeerBus, instanceId: string, digest: string): Promise<Buffer | undefined> => {
  const parts: Buffer[] = []
  let receivedBytes = 0
  let totalBytes = 1
  while (receivedBytes < totalBytes) {
    const params: JsonValue = { digest, offset: receivedBytes }
    const response = await bus.call(instanceId, DOCUMENT_METHOD, params, CALL_TIMEOUT_MS)
    const chunk = chunkSchema.safeParse(response.unwrapOr(null))
    if (!chunk.success) return undefined
    const part = Buffer.from(chunk.data.base64, 'base64')
    parts.push(part)
    receivedBytes += part.length
    totalBytes = chunk.data.totalBytes
  }
  return Buffer.concat(parts)
}

/**
 * Fetches a document from daemons that hold it, those of the own availability zone first.
 *
 * @param options - Peer bus and randomness.
 * @param digest - Digest of the document.
 * @returns Its compressed bytes, not verified; undefined when no peer delivered them.
 */
export const fetchFromPeers = async (options: PeerDocumentOptions, digest: string): Promise<Buffer | undefined> => {
  for (const member of holdersOf(options, digest)) {
    const packed = await fetchFrom(options.bus, member.instanceId, digest)
    if (packed !== undefined) return packed
  }
  return undefined
}
