import { Invariants, LocalStatus, createLog, createRegistry } from '@lovagehoist/common'
import type { Clock, InstanceIdentity, Log, Platform, Random, Settings } from '@lovagehoist/common'
import type { Registry } from 'prom-client'
import type { DaemonDependencies } from './daemonDependencies.js'

/** Services shared by all components of a daemon. */
export interface DaemonContext {
  readonly settings: Settings
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly registry: Registry
  readonly invariants: Invariants
  readonly platform: Platform & { readonly close: () => Promise<void> }
  readonly identity: InstanceIdentity
  /** Status that heartbeats carry to other daemons; the configuration components update it. */
  readonly localStatus: LocalStatus
}

/** A background loop that runs until its signal aborts. */
export type BackgroundTask = (signal: AbortSignal) => Promise<void>

/**
 * Creates the services shared by all components.
 *
 * @param settings - Settings of the daemon.
 * @param dependencies - Clock, randomness, platform and output.
 * @returns The shared services.
 */
export const createDaemonContext = (settings: Settings, dependencies: DaemonDependencies): DaemonContext => {
  const { clock, random } = dependencies
  const log = createLog({ ...settings.log, clock, write: dependencies.write })
  const registry = createRegistry({ instance: settings.instance.id })
  const onBreach = dependencies.onBreach === undefined ? {} : { onBreach: dependencies.onBreach }
  const invariants = Invariants.create({ clock, log: log.child('invariants'), registry, ...onBreach })
  const { id: instanceId, region, availabilityZone } = settings.instance
  const identity = { instanceId, region, availabilityZone, startId: random.id() }
  const platform = dependencies.openPlatform(settings, registry)
  return { settings, clock, random, log, registry, invariants, platform, identity, localStatus: LocalStatus.create() }
}
