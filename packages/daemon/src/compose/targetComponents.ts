import type { AttemptSink, ConfigSource, HealthView, PeerBus, StateSource, TargetDirectory, TargetPicker, TargetSender } from '@lovagehoist/common'
import { ConnectionSender, PeerTargetFallback, PolledTargetDirectory } from '@lovagehoist/targets'
import type { DaemonContext, BackgroundTask } from './daemonContext.js'
import { createHealthComponents } from './healthComponents.js'
import { createPickerComponents } from './pickerComponents.js'

const DIRECTORY_POLL_MS = 1_000
const CONNECT_TIMEOUT_MS = 1_000

/** Components that list, rate and select targets and send requests to them. */
export interface TargetComponents {
  readonly directory: TargetDirectory
  readonly health: HealthView
  readonly attemptSink: AttemptSink
  readonly picker: TargetPicker
  /** Number of requests of a service that this daemon may have in flight now. */
  readonly capacity: (service: string) => number
  readonly sender: TargetSender
  /** Whether the target list is known, so that requests can be served. */
  readonly isReady: () => boolean
  readonly tasks: readonly BackgroundTask[]
  readonly sources: readonly StateSource[]
  readonly close: () => Promise<void>
}

const joinSinks = (...sinks: readonly AttemptSink[]): AttemptSink => ({
  record: report => { for (const sink of sinks) sink.record(report) }
})

/**
 * Creates the components that list, rate and select targets and send requests to them.
 *
 * @param context - Services shared by all components.
 * @param config - Configuration in force.
 * @param bus - Messages and membership between daemons.
 * @returns The components.
 */
export const createTargetComponents = (context: DaemonContext, config: ConfigSource, bus: PeerBus): TargetComponents => {
  const { clock, log, platform } = context
  const directory = PolledTargetDirectory.create({ instances: platform.directory, clock, log: log.child('targets'), bus, pollMs: DIRECTORY_POLL_MS })
  const targetFallback = PeerTargetFallback.create({ directory, bus, config, clock, random: context.random, log: log.child('targets') })
  const connectTimeoutMs = (service: string): number => config.current()?.document.services[service]?.connectTimeoutMs ?? CONNECT_TIMEOUT_MS
  const sender = ConnectionSender.create({ clock, connectTimeoutMs, registry: context.registry, invariants: context.invariants })
  const healthComponents = createHealthComponents({ context, config, bus, directory, sender })
  const pickerComponents = createPickerComponents({ context, config, bus, directory, sender, health: healthComponents.health })
  return {
    directory,
    sender,
    health: healthComponents.health,
    attemptSink: joinSinks(healthComponents.attemptSink, pickerComponents.attemptSink),
    picker: pickerComponents.picker,
    capacity: pickerComponents.capacity,
    isReady: directory.isKnown,
    tasks: [async signal => { await directory.run(signal) }, async signal => { await targetFallback.run(signal) }, async signal => { await sender.run(signal) }, ...healthComponents.tasks, ...pickerComponents.tasks],
    sources: [...healthComponents.sources, ...pickerComponents.sources],
    close: async () => { sender.close() }
  }
}
