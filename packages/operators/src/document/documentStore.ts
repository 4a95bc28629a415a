import { promisify } from 'node:util'
import { brotliCompressSync, brotliDecompress, brotliDecompressSync, constants } from 'node:zlib'
import { sha256Hex } from '@lovagehoist/common'
import type { Platform, PlatformError } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'

const decompressAside = promisify(brotliDecompress)

const QUALITY = 5
/** Window of 4 MiB: a document repeats itself over long distances. */
const WINDOW_BITS = 22
/** Compressed bytes up to which restoring does not hold requests up. */
const SMALL_PACKED_BYTES = 16_384
/** Longest document, in bytes. */
export const MAX_DOCUMENT_BYTES = 16_777_216

/** A document as it is stored and sent: compressed, named by the digest of its plain bytes. */
export interface PackedDocument {
  /** SHA-256 of the plain bytes, in hexadecimal. */
  readonly digest: string
  readonly packed: Uint8Array
}

/**
 * Names the object that holds a document.
 *
 * @param digest - SHA-256 of its plain bytes, in hexadecimal.
 * @returns Key in the object store.
 */
export const documentKey = (digest: string): string => `documents/${digest}`

/**
 * Compresses a document.
 *
 * @param bytes - Plain bytes.
 * @returns The document to store.
 */
export const packDocument = (bytes: Uint8Array): PackedDocument => {
  const params = { [constants.BROTLI_PARAM_QUALITY]: QUALITY, [constants.BROTLI_PARAM_LGWIN]: WINDOW_BITS }
  return { digest: sha256Hex(bytes), packed: brotliCompressSync(bytes, { params }) }
}

/**
 * Restores a document and verifies its digest.
 *
 * @param document - Compressed bytes and the digest that they must have.
 * @returns The plain bytes; undefined when the bytes are damaged, too long or others.
 */
export const unpackDocument = async ({ digest, packed }: PackedDocument): Promise<Buffer | undefined> => {
  try {
    const options = { maxOutputLength: MAX_DOCUMENT_BYTES }
    const bytes = packed.length <= SMALL_PACKED_BYTES ? brotliDecompressSync(packed, options) : await decompressAside(packed, options)
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
 * @returns Its compressed and plain bytes; undefined when the store has none that verify.
 */
export const readStored = async (
  platform: Platform, digest: string
): Promise<Result<{ readonly packed: Uint8Array, readonly bytes: Buffer } | undefined, PlatformError>> => {
  const stored = await platform.objects.get(documentKey(digest))
  if (stored.isErr()) return err(stored.error)
  if (stored.value === undefined) return ok(undefined)
  const bytes = await unpackDocument({ digest, packed: stored.value })
  return ok(bytes === undefined ? undefined : { packed: stored.value, bytes })
}
