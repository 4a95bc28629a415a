import type { AttemptSink, ConfigSource, HealthView, PeerBus, StateSource, TargetDirectory, TargetSender } from '@lovagehoist/common'
import { ConsecutiveFailureHealth, SharedHealth } from '@lovagehoist/targets'
import type { Base, Task } from './base.js'

/** What the health side is composed from. */
export interface HealthSideOptions {
  readonly base: Base
  readonly config: ConfigSource
  readonly bus: PeerBus
  readonly directory: TargetDirectory
  readonly sender: TargetSender
}

/** Parts that judge targets. */
export interface HealthSide {
  readonly health: HealthView
  readonly evidence: AttemptSink
  readonly tasks: readonly Task[]
  readonly sources: readonly StateSource[]
}

/**
 * Composes the parts that judge targets.
 *
 * @param options - What they need.
 * @returns The parts.
 */
export const createHealthSide = (options: HealthSideOptions): HealthSide => {
  const { base, config, bus, directory, sender } = options
  const { clock, random, registry, invariants, settings, platform } = base
  if (settings.mechanisms.health === 'alone') {
    const alone = ConsecutiveFailureHealth.create(clock)
    return { health: alone, evidence: alone, tasks: [], sources: [alone] }
  }
  const log = base.log.child('health')
  const health = SharedHealth.create({ clock, random, log, registry, invariants, table: platform.table, bus, config, directory, sender })
  return {
    health,
    evidence: health,
    tasks: [async signal => { await health.runMaintenance(signal) }, async signal => { await health.runEvidence(signal) }],
    sources: [health]
  }
}
