import type { Registry } from 'prom-client'
import type { Clock, InvariantBreach, Platform, Random, Settings } from '@lovagehoist/common'

/** Everything that a daemon reaches the world through; a test bench plugs in here. */
export interface DaemonWorld {
  readonly clock: Clock
  readonly random: Random
  readonly openPlatform: (settings: Settings, registry?: Registry) => Platform & { readonly close: () => Promise<void> }
  readonly write: (line: string) => void
  /** Called at each breach of an invariant. */
  readonly onBreach?: (breach: InvariantBreach) => void
}
