import type { PeerBus, StateSource } from '@lovagehoist/common'
import { GossipPeerBus, HttpPeerTransport, PeerMetrics, SoloPeerBus } from '@lovagehoist/peers'
import type { Base, Task } from './base.js'

/** Parts that talk to other daemons. */
export interface PeerSide {
  readonly bus: PeerBus
  readonly tasks: readonly Task[]
  readonly sources: readonly StateSource[]
  readonly listen: () => Promise<{ readonly port: number }>
  readonly close: () => Promise<void>
}

const createSoloSide = (base: Base): PeerSide => ({
  bus: SoloPeerBus.create(base.identity, base.clock),
  tasks: [],
  sources: [{ name: 'instance', dump: () => ({ ...base.identity }) }],
  listen: async () => ({ port: 0 }),
  close: async () => {}
})

const createGossipSide = (base: Base): PeerSide => {
  const { settings, identity, clock, random, registry, invariants, platform, status } = base
  const { host, port, tls, advertised, budgetBytesPerSecond } = settings.peers
  const log = base.log.child('peers')
  const metrics = PeerMetrics.create(registry)
  const transport = HttpPeerTransport.create({ host, port, tls, clock, log, onRefused: reason => { metrics.countRefusal(reason) } })
  const bus = GossipPeerBus.create({
    self: identity, host, advertised, environment: settings.environment, budgetBytesPerSecond, codec: 'msgpack', clock, random, log, registry, invariants, directory: platform.directory, transport, metrics
  })
  bus.describeSelf(status.current)
  return {
    bus,
    tasks: [async signal => { await bus.run(signal) }, async signal => { await transport.run(signal) }],
    sources: [{ name: 'instance', dump: () => ({ ...identity }) }, { name: 'peers', dump: () => bus.dump() }],
    listen: async () => ({ port: await bus.listen() }),
    close: async () => { await bus.close() }
  }
}

/**
 * Composes the parts that talk to other daemons.
 *
 * @param base - What every part needs.
 * @returns The parts.
 */
export const createPeerSide = (base: Base): PeerSide =>
  base.settings.mechanisms.control === 'off' ? createSoloSide(base) : createGossipSide(base)
