import type { JsonValue } from '../text/jsonValue.js'

/** A part of the daemon whose state can be dumped. */
export interface StateSource {
  /** Name of the section in the dump. */
  readonly name: string
  /** Bounded state without secrets. */
  readonly dump: () => JsonValue
}
