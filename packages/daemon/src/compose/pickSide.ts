import type { ConfigSource, HealthView, PeerBus, StateSource, TargetDirectory, TargetPicker, TargetSender } from '@lovagehoist/common'
import { LeastLoadedPicker } from '@lovagehoist/targets'
import type { Base, Task } from './base.js'

/** What the pick side is composed from. */
export interface PickSideOptions {
  readonly base: Base
  readonly config: ConfigSource
  readonly bus: PeerBus
  readonly directory: TargetDirectory
  readonly sender: TargetSender
  readonly health: HealthView
}

/** Parts that choose targets. */
export interface PickSide {
  readonly picker: TargetPicker
  readonly tasks: readonly Task[]
  readonly sources: readonly StateSource[]
}

/**
 * Composes the parts that choose targets.
 *
 * @param options - What they need.
 * @returns The parts.
 */
export const createPickSide = (options: PickSideOptions): PickSide => {
  const { directory, health } = options
  return { picker: LeastLoadedPicker.create({ directory, health }), tasks: [], sources: [] }
}
