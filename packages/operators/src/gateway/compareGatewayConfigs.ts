import { isDeepStrictEqual } from 'node:util'
import { sha256Hex } from '@lovagehoist/common'
import type { ClientAccount, GatewayConfig, JsonValue } from '@lovagehoist/common'

/** A field with different values; null where it is absent. */
export interface FieldDifference {
  readonly field: string
  readonly from: JsonValue
  readonly to: JsonValue
}

/** An entry of the configuration that differs between two versions. */
export interface ConfigDifference {
  /** `configuration` stands for the limits on callers and for whether requests need keys. */
  readonly kind: 'configuration' | 'route' | 'service' | 'account'
  readonly name: string
  readonly change: 'added' | 'removed' | 'changed'
  /** Fields of a changed entry. */
  readonly fields: readonly FieldDifference[]
}

type Entry = Readonly<Record<string, unknown>> & { readonly name: string }

const DIGEST_LENGTH = 8

const digestsOf = ({ keys, ...account }: ClientAccount): Entry => ({ ...account, keys: keys.map(key => sha256Hex(key).slice(0, DIGEST_LENGTH)).sort() })

const globalFieldsOf = ({ limits, accounts }: GatewayConfig): Entry => ({ name: '', ...limits, requiresKeys: accounts !== undefined })

const toJson = (value: unknown): JsonValue => JSON.parse(JSON.stringify(value ?? null)) as JsonValue

const differencesOf = (before: Entry, after: Entry): readonly FieldDifference[] =>
  [...new Set([...Object.keys(before), ...Object.keys(after)])]
    .filter(field => !isDeepStrictEqual(before[field], after[field]))
    .map(field => ({ field, from: toJson(before[field]), to: toJson(after[field]) }))

const compareEntries = (kind: ConfigDifference['kind'], before: readonly Entry[], after: readonly Entry[]): readonly ConfigDifference[] => {
  const earlier = new Map(before.map(entry => [entry.name, entry]))
  const later = new Map(after.map(entry => [entry.name, entry]))
  return [...new Set([...earlier.keys(), ...later.keys()])].flatMap((name): readonly ConfigDifference[] => {
    const from = earlier.get(name)
    const to = later.get(name)
    if (from === undefined) return [{ kind, name, change: 'added', fields: [] }]
    if (to === undefined) return [{ kind, name, change: 'removed', fields: [] }]
    const fields = differencesOf(from, to)
    return fields.length === 0 ? [] : [{ kind, name, change: 'changed', fields }]
  })
}

/**
 * Compares two versions of a configuration; entries are matched by name, their order does not matter.
 *
 * @param before - Version in force.
 * @param after - Version to send.
 * @returns The differences; keys of client accounts appear only as the first 8 hexadecimal digits of their SHA-256.
 */
export const compareGatewayConfigs = (before: GatewayConfig, after: GatewayConfig): readonly ConfigDifference[] => [
  ...compareEntries('configuration', [globalFieldsOf(before)], [globalFieldsOf(after)]),
  ...compareEntries('route', before.routes.map(route => ({ ...route })), after.routes.map(route => ({ ...route }))),
  ...compareEntries('service', before.services.map(service => ({ ...service })), after.services.map(service => ({ ...service }))),
  ...compareEntries('account', (before.accounts ?? []).map(digestsOf), (after.accounts ?? []).map(digestsOf))
]
