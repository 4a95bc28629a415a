import type { Registry } from 'prom-client'
import type { Clock, InvariantBreach, Platform, Random, Settings } from '@lovagehoist/common'

/** Clock, randomness, platform and output of a daemon; tests replace them with fakes. */
export interface DaemonDependencies {
  readonly clock: Clock
  readonly random: Random
  readonly openPlatform: (settings: Settings, registry?: Registry) => Platform & { readonly close: () => Promise<void> }
  /** Writes one line of the log. */
  readonly write: (line: string) => void
  /** Called each time an invariant is violated. */
  readonly onBreach?: (breach: InvariantBreach) => void
}
