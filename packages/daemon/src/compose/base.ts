import { Invariants, LocalStatus, createLog, createRegistry } from '@lovagehoist/common'
import type { Clock, InstanceIdentity, Log, Platform, Random, Settings } from '@lovagehoist/common'
import type { Registry } from 'prom-client'
import type { DaemonWorld } from './world.js'

/** What every part of a daemon is given. */
export interface Base {
  readonly settings: Settings
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly registry: Registry
  readonly invariants: Invariants
  readonly platform: Platform & { readonly close: () => Promise<void> }
  readonly identity: InstanceIdentity
  /** What heartbeats tell other daemons about this one; the configuration side writes it. */
  readonly status: LocalStatus
}

/** A loop that runs until its signal aborts. */
export type Task = (signal: AbortSignal) => Promise<void>

/**
 * Creates what every part needs.
 *
 * @param settings - Settings of the daemon.
 * @param world - Time, randomness, platform and output.
 * @returns The base.
 */
export const createBase = (settings: Settings, world: DaemonWorld): Base => {
  const { clock, random } = world
  const log = createLog({ ...settings.log, clock, write: world.write })
  const registry = createRegistry({ instance: settings.instance.id })
  const onBreach = world.onBreach === undefined ? {} : { onBreach: world.onBreach }
  const invariants = Invariants.create({ clock, log: log.child('invariants'), registry, ...onBreach })
  const { id: instanceId, region, availabilityZone } = settings.instance
  const identity = { instanceId, region, availabilityZone, startId: random.id() }
  const platform = world.openPlatform(settings, registry)
  return { settings, clock, random, log, registry, invariants, platform, identity, status: LocalStatus.create() }
}
