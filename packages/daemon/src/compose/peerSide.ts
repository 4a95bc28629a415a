import type { PeerBus, StateSource } from '@lovagehoist/common'
import { SoloPeerBus } from '@lovagehoist/peers'
import type { Base, Task } from './base.js'

/** Parts that talk to other daemons. */
export interface PeerSide {
  readonly bus: PeerBus
  readonly tasks: readonly Task[]
  readonly sources: readonly StateSource[]
  readonly listen: () => Promise<{ readonly port: number }>
  readonly close: () => Promise<void>
}

/**
 * Composes the parts that talk to other daemons.
 *
 * @param base - What every part needs.
 * @returns The parts.
 */
export const createPeerSide = (base: Base): PeerSide => {
  const bus = SoloPeerBus.create(base.identity, base.clock)
  return {
    bus,
    tasks: [],
    sources: [{ name: 'instance', dump: () => ({ ...base.identity }) }],
    listen: async () => ({ port: 0 }),
    close: async () => {}
  }
}
