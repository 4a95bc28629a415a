import type { JsonValue } from '../text/jsonValue.js'

/** A component of the daemon whose state is part of a state dump. */
export interface StateSource {
  /** Name of its section in the dump. */
  readonly name: string
  /** Returns the state: of bounded size and without secrets. */
  readonly dump: () => JsonValue
}
