import type { PeerBus, StateSource } from '@lovagehoist/common'
import { ConfigFollower } from '@lovagehoist/operators'
import type { Base, Task } from './base.js'

const CONFIG_POLL_MS = 1_000

/** Parts that keep the accepted configuration in force. */
export interface ConfigSide {
  readonly config: ConfigFollower
  readonly tasks: readonly Task[]
  readonly sources: readonly StateSource[]
  /** Whether this instance may take traffic as far as configuration goes. */
  readonly isReady: () => boolean
}

/**
 * Composes the parts that keep the accepted configuration in force.
 *
 * @param base - What every part needs.
 * @param _bus - Communication between daemons.
 * @returns The parts.
 */
export const createConfigSide = (base: Base, _bus: PeerBus): ConfigSide => {
  const { settings, platform, clock, log, invariants } = base
  const config = ConfigFollower.create({ environment: settings.environment, platform, clock, log: log.child('config'), invariants, pollMs: CONFIG_POLL_MS })
  config.onChange(({ version, digest }) => { base.status.set({ configVersion: version, configDigest: digest, isReady: true }) })
  return {
    config,
    tasks: [async signal => { await config.run(signal) }],
    sources: [{ name: 'config', dump: () => ({ version: config.current()?.version ?? 0, digest: config.current()?.digest ?? null }) }],
    isReady: () => config.current() !== undefined
  }
}
