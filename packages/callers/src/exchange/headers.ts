import type { RawHeaders } from '@lovagehoist/common'

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'http2-settings'
])

/** One header field. */
export interface HeaderField {
  readonly name: string
  readonly value: string
}

/**
 * Splits raw headers into fields.
 *
 * @param raw - Alternating names and values.
 * @returns The fields, in order.
 */
export const fieldsOf = (raw: RawHeaders): readonly HeaderField[] =>
  raw.flatMap((name, index) => index % 2 === 0 ? [{ name, value: raw[index + 1] ?? '' }] : [])

/**
 * Leaves out fields that hold for one connection only, those that `Connection` names included.
 *
 * @param fields - Fields of a message.
 * @returns The fields that go on.
 */
export const endToEndFields = (fields: readonly HeaderField[]): readonly HeaderField[] => {
  const named = fields
    .filter(field => field.name.toLowerCase() === 'connection')
    .flatMap(field => field.value.split(',').map(token => token.trim().toLowerCase()))
  const dropped = new Set([...HOP_BY_HOP, ...named])
  return fields.filter(field => !dropped.has(field.name.toLowerCase()))
}

/**
 * Writes fields as raw headers.
 *
 * @param fields - Fields of a message.
 * @returns Alternating names and values.
 */
export const toRawHeaders = (fields: readonly HeaderField[]): RawHeaders => fields.flatMap(field => [field.name, field.value])
