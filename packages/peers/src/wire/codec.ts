import { decode, encode } from '@msgpack/msgpack'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'

/** Supported message encodings. */
export type CodecName = 'msgpack' | 'json'

/** An encoded message with the content type of its encoding. */
export interface Packet {
  readonly contentType: string
  readonly body: Uint8Array
}

interface Codec {
  readonly encode: (value: unknown) => Uint8Array
  readonly decode: (bytes: Uint8Array) => unknown
}

const CONTENT_TYPES: Readonly<Record<CodecName, string>> = { msgpack: 'application/msgpack', json: 'application/json' }

const codecs: Readonly<Record<string, Codec>> = {
  [CONTENT_TYPES.msgpack]: { encode: value => encode(value), decode: bytes => decode(bytes) },
  [CONTENT_TYPES.json]: {
    encode: value => Buffer.from(JSON.stringify(value)),
    decode: bytes => JSON.parse(Buffer.from(bytes).toString('utf8')) as unknown
  }
}

/**
 * Encodes a message.
 *
 * @param codec - Encoding to use.
 * @param value - Message to encode.
 * @returns The encoded message with its content type.
 */
export const encodePacket = (codec: CodecName, value: unknown): Packet => {
  const contentType = CONTENT_TYPES[codec]
  return { contentType, body: codecs[contentType]?.encode(value) ?? new Uint8Array() }
}

/**
 * Decodes a message according to its content type.
 *
 * @param packet - Encoded message with its content type.
 * @returns The decoded value, not validated, or the reason for the failure.
 */
export const decodePacket = ({ contentType, body }: Packet): Result<unknown, string> => {
  const codec = codecs[contentType]
  if (codec === undefined) return err(`unsupported content type ${contentType}`)
  try {
    return ok(codec.decode(body))
  } catch (error) {
    return err(String(error))
  }
}

/**
 * Determines the encoding of a packet, so that its answer can use the same one.
 *
 * @param packet - Received packet.
 * @returns The encoding; msgpack for an unknown content type.
 */
export const codecOf = (packet: Packet): CodecName => packet.contentType === CONTENT_TYPES.json ? 'json' : 'msgpack'

/**
 * Computes the size of a value in msgpack.
 *
 * @param value - Value to measure.
 * @returns Encoded size in bytes.
 */
export const encodedBytes = (value: unknown): number => encode(value).length
