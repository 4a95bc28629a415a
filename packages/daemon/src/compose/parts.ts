import { setMaxListeners } from 'node:events'
import { readFile } from 'node:fs/promises'
import type { RequestHandler } from '@lovagehoist/callers'
import type { JsonValue, Log, PeerBus, Settings, StateSource } from '@lovagehoist/common'
import { createSettingsSource } from '@lovagehoist/operators'
import type { AdminServerOptions } from '@lovagehoist/operators'
import type { Registry } from 'prom-client'
import { createBase } from './base.js'
import { createCallerSide } from './callerSide.js'
import { createConfigSide } from './configSide.js'
import { createPeerSide } from './peerSide.js'
import { createTargetSide } from './targetSide.js'
import type { DaemonWorld } from './world.js'

/** The composed parts of a daemon, before it listens. */
export interface DaemonParts extends Pick<AdminServerOptions, 'viewFleet' | 'viewTargets' | 'readToken'> {
  readonly bus: PeerBus
  readonly log: Log
  readonly registry: Registry
  readonly sources: readonly StateSource[]
  readonly handler: RequestHandler
  readonly isReady: () => boolean
  /** Opens the peers' address and starts the loops of all parts. */
  readonly start: () => Promise<{ readonly peersPort: number }>
  /** Ends the loops and closes all connections. */
  readonly stop: () => Promise<void>
}

/**
 * Composes the parts of a daemon.
 *
 * @param settings - Settings of the daemon.
 * @param world - Time, randomness, platform and output.
 * @returns The parts, not yet started.
 */
export const composeParts = (settings: Settings, world: DaemonWorld): DaemonParts => {
  const base = createBase(settings, world)
  const peers = createPeerSide(base)
  const configSide = createConfigSide(base, peers.bus)
  const targets = createTargetSide(base, configSide.config, peers.bus)
  const callers = createCallerSide(base, configSide.serving, peers.bus, targets)
  const sides = [peers, configSide, targets, callers]
  const breaches = { name: 'breaches', dump: () => JSON.parse(JSON.stringify(base.invariants.breaches())) as JsonValue }
  const { tokenFile } = settings.admin
  const stopping = new AbortController()
  setMaxListeners(0, stopping.signal)
  let running: ReadonlyArray<Promise<void>> = []
  return {
    log: base.log,
    registry: base.registry,
    bus: peers.bus,
    viewFleet: configSide.viewFleet,
    viewTargets: service => targets.directory.targets(service).map(target => ({ ...target, ...targets.health.ratingOf(target) })),
    readToken: tokenFile === undefined ? undefined : async () => await readFile(tokenFile, 'utf8'),
    sources: [createSettingsSource(settings), ...sides.flatMap(side => side.sources), breaches],
    handler: callers.handler,
    isReady: () => configSide.isReady() && targets.isReady(),
    start: async () => {
      const { port } = await peers.listen()
      running = sides.flatMap(side => side.tasks).map(async task => { await task(stopping.signal) })
      return { peersPort: port }
    },
    stop: async () => {
      await callers.settle()
      stopping.abort()
      await Promise.all(running)
      await targets.close()
      await peers.close()
      await base.platform.close()
    }
  }
}
