import type { AttemptSink, ConfigSource, HealthView, PeerBus, StateSource, TargetDirectory, TargetPicker, TargetSender } from '@lovagehoist/common'
import { ConnectionSender, PeerTargetFallback, PolledTargetDirectory } from '@lovagehoist/targets'
import type { Base, Task } from './base.js'
import { createHealthSide } from './healthSide.js'
import { createPickSide } from './pickSide.js'

const DIRECTORY_POLL_MS = 1_000
const CONNECT_TIMEOUT_MS = 1_000

/** Parts that face targets. */
export interface TargetSide {
  readonly directory: TargetDirectory
  readonly health: HealthView
  readonly evidence: AttemptSink
  readonly picker: TargetPicker
  /** Requests of a service that this daemon may run at once now. */
  readonly capacity: (service: string) => number
  readonly sender: TargetSender
  /** Whether targets are known, so that requests can be served. */
  readonly isReady: () => boolean
  readonly tasks: readonly Task[]
  readonly sources: readonly StateSource[]
  readonly close: () => Promise<void>
}

const joinSinks = (...sinks: readonly AttemptSink[]): AttemptSink => ({
  record: report => { for (const sink of sinks) sink.record(report) }
})

/**
 * Composes the parts that face targets.
 *
 * @param base - What every part needs.
 * @param config - Configuration in force.
 * @param bus - Communication between daemons.
 * @returns The parts.
 */
export const createTargetSide = (base: Base, config: ConfigSource, bus: PeerBus): TargetSide => {
  const { clock, log, platform } = base
  const directory = PolledTargetDirectory.create({ instances: platform.directory, clock, log: log.child('targets'), bus, pollMs: DIRECTORY_POLL_MS })
  const peerTargets = PeerTargetFallback.create({ directory, bus, config, clock, random: base.random, log: log.child('targets') })
  const connectTimeoutMs = (service: string): number => config.current()?.document.services[service]?.connectTimeoutMs ?? CONNECT_TIMEOUT_MS
  const sender = ConnectionSender.create({ clock, connectTimeoutMs, registry: base.registry, invariants: base.invariants })
  const healthSide = createHealthSide({ base, config, bus, directory, sender })
  const pickSide = createPickSide({ base, config, bus, directory, sender, health: healthSide.health })
  return {
    directory,
    sender,
    health: healthSide.health,
    evidence: joinSinks(healthSide.evidence, pickSide.feedback),
    picker: pickSide.picker,
    capacity: pickSide.capacity,
    isReady: directory.isKnown,
    tasks: [async signal => { await directory.run(signal) }, async signal => { await peerTargets.run(signal) }, async signal => { await sender.run(signal) }, ...healthSide.tasks, ...pickSide.tasks],
    sources: [...healthSide.sources, ...pickSide.sources],
    close: async () => { sender.close() }
  }
}
