import type { PeerBus, StateSource } from '@lovagehoist/common'
import { GossipPeerBus, HttpPeerTransport, PeerMetrics, SoloPeerBus } from '@lovagehoist/peers'
import type { DaemonContext, BackgroundTask } from './daemonContext.js'

/** Components that communicate with other daemons. */
export interface PeerComponents {
  readonly bus: PeerBus
  readonly tasks: readonly BackgroundTask[]
  readonly sources: readonly StateSource[]
  readonly listen: () => Promise<{ readonly port: number }>
  readonly close: () => Promise<void>
}

const createSoloComponents = (context: DaemonContext): PeerComponents => ({
  bus: SoloPeerBus.create(context.identity, context.clock),
  tasks: [],
  sources: [{ name: 'instance', dump: () => ({ ...context.identity }) }],
  listen: async () => ({ port: 0 }),
  close: async () => {}
})

const createGossipComponents = (context: DaemonContext): PeerComponents => {
  const { settings, identity, clock, random, registry, invariants, platform, localStatus } = context
  const { host, port, tls, advertised, budgetBytesPerSecond } = settings.peers
  const log = context.log.child('peers')
  const metrics = PeerMetrics.create(registry)
  const transport = HttpPeerTransport.create({ host, port, tls, clock, log, onRefused: reason => { metrics.countRefusal(reason) } })
  const bus = GossipPeerBus.create({
    self: identity, host, advertised, environment: settings.environment, budgetBytesPerSecond, codec: 'msgpack', clock, random, log, registry, invariants, directory: platform.directory, transport, metrics
  })
  bus.describeSelf(localStatus.current)
  return {
    bus,
    tasks: [async signal => { await bus.run(signal) }, async signal => { await transport.run(signal) }],
    sources: [{ name: 'instance', dump: () => ({ ...identity }) }, { name: 'peers', dump: () => bus.dump() }],
    listen: async () => ({ port: await bus.listen() }),
    close: async () => { await bus.close() }
  }
}

/**
 * Creates the components that communicate with other daemons.
 *
 * @param context - Services shared by all components.
 * @returns The components.
 */
export const createPeerComponents = (context: DaemonContext): PeerComponents =>
  context.settings.mechanisms.control === 'off' ? createSoloComponents(context) : createGossipComponents(context)
