import { setMaxListeners } from 'node:events'
import { readFile } from 'node:fs/promises'
import type { RequestHandler } from '@lovagehoist/callers'
import type { JsonValue, Log, PeerBus, Settings, StateSource } from '@lovagehoist/common'
import { createSettingsSource } from '@lovagehoist/operators'
import type { AdminServerOptions } from '@lovagehoist/operators'
import type { Registry } from 'prom-client'
import { createDaemonContext } from './daemonContext.js'
import { createCallerComponents } from './callerComponents.js'
import { createConfigComponents } from './configComponents.js'
import { createPeerComponents } from './peerComponents.js'
import { createTargetComponents } from './targetComponents.js'
import type { DaemonDependencies } from './daemonDependencies.js'

/** The components of a daemon, before it listens. */
export interface DaemonComponents extends Pick<AdminServerOptions, 'viewFleet' | 'viewTargets' | 'readToken'> {
  readonly bus: PeerBus
  readonly log: Log
  readonly registry: Registry
  readonly sources: readonly StateSource[]
  readonly handler: RequestHandler
  readonly isReady: () => boolean
  /** Listens for peers and starts the background tasks of all components. */
  readonly start: () => Promise<{ readonly peersPort: number }>
  /** Settles idempotency keys, ends the background tasks and closes all connections. */
  readonly stop: () => Promise<void>
}

/**
 * Creates the components of a daemon.
 *
 * @param settings - Settings of the daemon.
 * @param dependencies - Clock, randomness, platform and output.
 * @returns The components, not yet started.
 */
export const composeDaemon = (settings: Settings, dependencies: DaemonDependencies): DaemonComponents => {
  const context = createDaemonContext(settings, dependencies)
  const peers = createPeerComponents(context)
  const configComponents = createConfigComponents(context, peers.bus)
  const targets = createTargetComponents(context, configComponents.config, peers.bus)
  const callers = createCallerComponents(context, configComponents.servingConfig, peers.bus, targets)
  const groups = [peers, configComponents, targets, callers]
  const breachSource = { name: 'breaches', dump: () => JSON.parse(JSON.stringify(context.invariants.breaches())) as JsonValue }
  const { tokenFile } = settings.admin
  const stopController = new AbortController()
  setMaxListeners(0, stopController.signal)
  let runningTasks: ReadonlyArray<Promise<void>> = []
  return {
    log: context.log,
    registry: context.registry,
    bus: peers.bus,
    viewFleet: configComponents.viewFleet,
    viewTargets: service => targets.directory.targets(service).map(target => ({ ...target, ...targets.health.ratingOf(target) })),
    readToken: tokenFile === undefined ? undefined : async () => await readFile(tokenFile, 'utf8'),
    sources: [createSettingsSource(settings), ...groups.flatMap(group => group.sources), breachSource],
    handler: callers.handler,
    isReady: () => configComponents.isReady() && targets.isReady(),
    start: async () => {
      const { port } = await peers.listen()
      runningTasks = groups.flatMap(group => group.tasks).map(async task => { await task(stopController.signal) })
      return { peersPort: port }
    },
    stop: async () => {
      await callers.settleClaims()
      stopController.abort()
      await Promise.all(runningTasks)
      await targets.close()
      await peers.close()
      await context.platform.close()
    }
  }
}
