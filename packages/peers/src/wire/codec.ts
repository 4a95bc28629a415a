import { decode, encode } from '@msgpack/msgpack'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'

/** Encodings that daemons understand. */
export type CodecName = 'msgpack' | 'json'

/** An encoded message with the content type that says how. */
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
 * @param codec - Encoding, or a content type that names one.
 * @param value - Message.
 * @returns The bytes with their content type.
 */
export const encodePacket = (codec: CodecName, value: unknown): Packet => {
  const contentType = CONTENT_TYPES[codec]
  return { contentType, body: codecs[contentType]?.encode(value) ?? new Uint8Array() }
}

/**
 * Decodes a message by its content type.
 *
 * @param packet - Bytes with their content type.
 * @returns The value, unchecked, or why the bytes are not a message.
 */
export const decodePacket = ({ contentType, body }: Packet): Result<unknown, string> => {
  const codec = codecs[contentType]
  if (codec === undefined) return err(`content type ${contentType}`)
  try {
    return ok(codec.decode(body))
  } catch (error) {
    return err(String(error))
  }
}

/**
 * Finds the encoding of a packet, so that an answer can use the same.
 *
 * @param packet - Packet received.
 * @returns The encoding; msgpack for an unknown content type.
 */
export const codecOf = (packet: Packet): CodecName => packet.contentType === CONTENT_TYPES.json ? 'json' : 'msgpack'

/**
 * Measures a value as it is sent.
 *
 * @param value - Value.
 * @returns Length in bytes.
 */
export const encodedBytes = (value: unknown): number => encode(value).length
