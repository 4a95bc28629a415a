import { promisify } from 'node:util'
import { brotliCompressSync, brotliDecompress, brotliDecompressSync, constants } from 'node:zlib'
import { sha256Hex } from '@lovagehoist/common'
import type { Platform, PlatformError } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'

const decompressInThreadPool = promisify(brotliDecompress)

const BROTLI_QUALITY = 5
/** Window of 4 MiB, because a document has repetitions that are far apart. */
const BROTLI_WINDOW_BITS = 22
/** Compressed size up to which decompressing on the main thread does not delay requests noticeably. */
const MAX_SYNC_PACKED_BYTES = 16_384
/** Longest document, in bytes. */
export const MAX_DOCUMENT_BYTES = 16_777_216

/** A document as it is stored and sent: compressed, identified by the digest of its uncompressed bytes. */
export interface PackedDocument {
  /** SHA-256 of the uncompressed bytes, in hexadecimal. */
  readonly digest: string
  readonly packed: Uint8Array
}

/**
 * Returns the key of the object that holds a document.
 *
 * @param digest - SHA-256 of its uncompressed bytes, in hexadecimal.
 * @returns Key in the object store.
 */
export const documentKey = (digest: string): string => `documents/${digest}`

/**
 * Compresses a document.
 *
 * @param bytes - Uncompressed bytes.
 * @returns The compressed document and its digest.
 */
export const packDocument = (bytes: Uint8Array): PackedDocument => {
  const params = { [constants.BROTLI_PARAM_QUALITY]: BROTLI_QUALITY, [constants.BROTLI_PARAM_LGWIN]: BROTLI_WINDOW_BITS }
  return { digest: sha256Hex(bytes), packed: brotliCompressSync(bytes, { params }) }
}

/**
 * Decompresses a document and verifies its digest.
 *
 * @param document - Compressed bytes and the digest that the uncompressed bytes must have.
 * @returns The uncompressed bytes; undefined when they are damaged, too long or have another digest.
 */
export const unpackDocument = async ({ digest, packed }: PackedDocument): Promise<Buffer | undefined> => {
  try {
    const options = { maxOutputLength: MAX_DOCUMENT_BYTES }
    const bytes = packed.length <= MAX_SYNC_PACKED_BYTES ? brotliDecompressSync(packed, options) : await decompressInThreadPool(packed, options)
    return sha256Hex(bytes) === digest ? bytes : undefined
  } catch {
    return undefined
  }
}

/**
 * Reads a document from the object store.
 *
 * @param platform - Object store.
 * @param digest - Digest of the document.
 * @returns Its compressed and uncompressed bytes; undefined when the store has no document that matches the digest.
 */
export const readStoredDocument = async (
  platform: Platform, digest: string
): Promise<Result<{ readonly packed: Uint8Array, readonly bytes: Buffer } | undefined, PlatformError>> => {
  const stored = await platform.objects.get(documentKey(digest))
  if (stored.isErr()) return err(stored.error)
  if (stored.value === undefined) return ok(undefined)
  const bytes = await unpackDocument({ digest, packed: stored.value })
  return ok(bytes === undefined ? undefined : { packed: stored.value, bytes })
}
