import type { Clock, JsonValue, Member, PeerBus, PeerMethodHandler, Random } from '@lovagehoist/common'
import { z } from 'zod'
import type { HeldConfig } from './heldConfig.js'

/** Method by which a daemon hands out a part of the document that it holds. */
export const DOCUMENT_METHOD = 'config.document'

/** Compressed bytes in one answer. */
const CHUNK_BYTES = 8_192
const CALL_TIMEOUT_MS = 1_000
/** Longest compressed document. */
const MAX_PACKED_BYTES = 4_194_304
const PEERS_ASKED = 3

const requestSchema = z.object({ digest: z.string(), offset: z.int().min(0) })
const chunkSchema = z.object({ totalBytes: z.int().min(1).max(MAX_PACKED_BYTES), base64: z.string().min(1).max(CHUNK_BYTES * 2) })

/**
 * Makes the handler that hands out parts of the document held.
 *
 * @param held - Document held.
 * @returns Handler; answers null when another document is held.
 */
export const createDocumentMethod = (held: HeldConfig): PeerMethodHandler => async params => {
  const asked = requestSchema.safeParse(params)
  const { packed } = held
  if (!asked.success || packed === undefined || asked.data.digest !== held.digest) return null
  const { offset } = asked.data
  return { totalBytes: packed.length, base64: Buffer.from(packed.subarray(offset, offset + CHUNK_BYTES)).toString('base64') }
}

/** What fetching from peers needs. */
export interface PeerDocumentOptions {
  readonly bus: PeerBus
  readonly random: Random
  readonly clock: Clock
}

const holdersOf = ({ bus, random }: PeerDocumentOptions, digest: string): readonly Member[] =>
  bus.members()
    .filter(member => member.status === 'reachable' && member.configDigest !== '' && digest.startsWith(member.configDigest))
    .map(member => ({ member, order: (member.availabilityZone === bus.self.availabilityZone ? 0 : 1) + random.next() }))
    .sort((a, b) => a.order - b.order)
    .slice(0, PEERS_ASKED)
    .map(({ member }) => member)

const fetchFrom = async (bus: PeerBus, instanceId: string, digest: string): Promise<Buffer | undefined> => {
  const parts: Buffer[] = []
  let receivedBytes = 0
  let totalBytes = 1
  while (receivedBytes < totalBytes) {
    const params: JsonValue = { digest, offset: receivedBytes }
    const reply = await bus.call(instanceId, DOCUMENT_METHOD, params, CALL_TIMEOUT_MS)
    const chunk = chunkSchema.safeParse(reply.unwrapOr(null))
    if (!chunk.success) return undefined
    const part = Buffer.from(chunk.data.base64, 'base64')
    parts.push(part)
    receivedBytes += part.length
    totalBytes = chunk.data.totalBytes
  }
  return Buffer.concat(parts)
}

/**
 * Fetches a document from daemons that hold it, the own availability zone first.
 *
 * @param options - Communication and randomness.
 * @param digest - Digest of the document.
 * @returns Its compressed bytes, not verified; undefined when no peer gave them.
 */
export const fetchFromPeers = async (options: PeerDocumentOptions, digest: string): Promise<Buffer | undefined> => {
  for (const member of holdersOf(options, digest)) {
    const packed = await fetchFrom(options.bus, member.instanceId, digest)
    if (packed !== undefined) return packed
  }
  return undefined
}
