import type { AttemptSink, ConfigSource, HealthView, PeerBus, StateSource, TargetDirectory, TargetSender } from '@lovagehoist/common'
import { ConsecutiveFailureHealth } from '@lovagehoist/targets'
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
  const health = ConsecutiveFailureHealth.create(options.base.clock)
  return { health, evidence: health, tasks: [], sources: [] }
}
