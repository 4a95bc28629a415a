import type { AttemptSink, ConfigSource, HealthView, PeerBus, StateSource, TargetDirectory, TargetSender } from '@lovagehoist/common'
import { ConsecutiveFailureHealth, SharedHealth } from '@lovagehoist/targets'
import type { DaemonContext, BackgroundTask } from './daemonContext.js'

/** Inputs of the health components. */
export interface HealthComponentsOptions {
  readonly context: DaemonContext
  readonly config: ConfigSource
  readonly bus: PeerBus
  readonly directory: TargetDirectory
  readonly sender: TargetSender
}

/** Components that rate the health of targets. */
export interface HealthComponents {
  readonly health: HealthView
  readonly attemptSink: AttemptSink
  readonly tasks: readonly BackgroundTask[]
  readonly sources: readonly StateSource[]
}

/**
 * Creates the components that rate the health of targets.
 *
 * @param options - Shared services and the components that health checks use.
 * @returns The components.
 */
export const createHealthComponents = (options: HealthComponentsOptions): HealthComponents => {
  const { context, config, bus, directory, sender } = options
  const { clock, random, registry, invariants, settings, platform } = context
  if (settings.mechanisms.health === 'alone') {
    const localHealth = ConsecutiveFailureHealth.create(clock)
    return { health: localHealth, attemptSink: localHealth, tasks: [], sources: [localHealth] }
  }
  const log = context.log.child('health')
  const health = SharedHealth.create({ clock, random, log, registry, invariants, table: platform.table, bus, config, directory, sender })
  return {
    health,
    attemptSink: health,
    tasks: [async signal => { await health.runMaintenance(signal) }, async signal => { await health.runOutlierDetection(signal) }],
    sources: [health]
  }
}
