import type { Result } from 'neverthrow'
import type { GatewayConfig } from './gateway.js'

/** Path of a field: names, and positions in arrays. */
export type FieldPath = readonly (string | number)[]

/** A field that is missing or invalid. */
export interface InvalidField {
  readonly path: FieldPath
  /** Description of a valid value; never contains the value, which may be a secret. */
  readonly expected: string
}

/** Format in which the platform stores the gateway's configuration. */
export interface GatewayConfigFormat {
  /** Decodes parsed JSON; otherwise reports at least one invalid field of each invalid entry. */
  readonly decode: (value: unknown) => Result<GatewayConfig, readonly InvalidField[]>
  /** Translates the path of a field of the decoded configuration to its path in the JSON that it was decoded from. */
  readonly locate: (value: unknown, path: FieldPath) => FieldPath
}
