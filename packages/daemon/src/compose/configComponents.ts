import type { ConfigSource, JsonValue, PeerBus, StateSource } from '@lovagehoist/common'
import { ConfigFollower, FleetViewer } from '@lovagehoist/operators'
import type { FleetView } from '@lovagehoist/operators'
import { SoloPeerBus } from '@lovagehoist/peers'
import type { DaemonContext, BackgroundTask } from './daemonContext.js'

/** Mean time between two reads of the environment's row; 470 daemons then make 313 reads a second in total. */
const CONFIG_POLL_MS = 1_500

/** Components that fetch the accepted configuration and apply it. */
export interface ConfigComponents {
  readonly config: ConfigFollower
  /** Configuration by which requests are served; yields undefined while this instance must not take traffic. */
  readonly servingConfig: ConfigSource
  readonly tasks: readonly BackgroundTask[]
  readonly sources: readonly StateSource[]
  /** Whether the state of the configuration allows this instance to take traffic. */
  readonly isReady: () => boolean
  /** Returns the configuration version that each known instance holds. */
  readonly viewFleet: () => FleetView
}

/**
 * Creates the components that fetch the accepted configuration and apply it.
 *
 * @param context - Services shared by all components.
 * @param bus - Messages and membership between daemons.
 * @returns The components.
 */
export const createConfigComponents = (context: DaemonContext, bus: PeerBus): ConfigComponents => {
  const { settings, platform, clock, random, log, invariants, registry, localStatus } = context
  const config = ConfigFollower.create({
    environment: settings.environment,
    platform,
    bus,
    status: localStatus,
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
    servingConfig: config.serving,
    tasks: [async signal => { await config.run(signal) }],
    sources: [{ name: 'config', dump: (): JsonValue => config.dump() }],
    isReady: config.isServing,
    viewFleet: viewer.view
  }
}
