import type { ConfigSource, JsonValue, PeerBus, StateSource } from '@lovagehoist/common'
import { ConfigFollower, FleetViewer } from '@lovagehoist/operators'
import type { FleetView } from '@lovagehoist/operators'
import { SoloPeerBus } from '@lovagehoist/peers'
import type { Base, Task } from './base.js'

/** Mean time between two reads of the environment's row: 470 daemons make 313 reads a second. */
const CONFIG_POLL_MS = 1_500

/** Parts that keep the accepted configuration in force. */
export interface ConfigSide {
  readonly config: ConfigFollower
  /** Configuration as requests are served by it: undefined while this instance must take no traffic. */
  readonly serving: ConfigSource
  readonly tasks: readonly Task[]
  readonly sources: readonly StateSource[]
  /** Whether this instance may take traffic as far as configuration goes. */
  readonly isReady: () => boolean
  /** Which configuration each known instance holds. */
  readonly viewFleet: () => FleetView
}

/**
 * Composes the parts that keep the accepted configuration in force.
 *
 * @param base - What every part needs.
 * @param bus - Communication between daemons.
 * @returns The parts.
 */
export const createConfigSide = (base: Base, bus: PeerBus): ConfigSide => {
  const { settings, platform, clock, random, log, invariants, registry, status } = base
  const config = ConfigFollower.create({
    environment: settings.environment,
    platform,
    bus,
    status,
    clock,
    random,
    log: log.child('config'),
    invariants,
    registry,
    pollMs: CONFIG_POLL_MS,
    isAlone: bus instanceof SoloPeerBus
  })
  const viewer = FleetViewer.create({ environment: settings.environment, config, bus, clock, random })
  return {
    config,
    serving: config.serving,
    tasks: [async signal => { await config.run(signal) }],
    sources: [{ name: 'config', dump: (): JsonValue => config.dump() }],
    isReady: config.isServing,
    viewFleet: viewer.view
  }
}
