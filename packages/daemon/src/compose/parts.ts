import { Admission, RouteTable, serveRequest } from '@lovagehoist/callers'
import type { RequestHandler } from '@lovagehoist/callers'
import { Invariants, createLog, createRegistry } from '@lovagehoist/common'
import type { Log, Settings, StateSource } from '@lovagehoist/common'
import { ConfigFollower } from '@lovagehoist/operators'
import { SoloPeerBus } from '@lovagehoist/peers'
import { ConnectionSender, ConsecutiveFailureHealth, LeastLoadedPicker, PolledTargetDirectory } from '@lovagehoist/targets'
import type { Registry } from 'prom-client'
import type { DaemonWorld } from './world.js'

const CONFIG_POLL_MS = 1_000
const DIRECTORY_POLL_MS = 1_000
const CONNECT_TIMEOUT_MS = 1_000

/** The composed parts of a daemon, before it listens. */
export interface DaemonParts {
  readonly log: Log
  readonly registry: Registry
  readonly sources: readonly StateSource[]
  readonly handler: RequestHandler
  readonly hasConfig: () => boolean
  /** Starts the loops of all parts. */
  readonly start: () => void
  /** Ends the loops and closes all connections. */
  readonly stop: () => Promise<void>
}

const createBase = (settings: Settings, world: DaemonWorld) => {
  const log = createLog({ ...settings.log, clock: world.clock, write: world.write })
  const registry = createRegistry({ instance: settings.instance.id })
  const onBreach = world.onBreach === undefined ? {} : { onBreach: world.onBreach }
  const invariants = Invariants.create({ clock: world.clock, log: log.child('invariants'), registry, ...onBreach })
  const identity = { ...settings.instance, instanceId: settings.instance.id, startId: world.random.id() }
  return { log, registry, invariants, platform: world.openPlatform(settings), bus: SoloPeerBus.create(identity, world.clock) }
}

type Base = ReturnType<typeof createBase>

const createTargetSide = (base: Base, world: DaemonWorld, config: ConfigFollower) => {
  const { clock } = world
  const directory = PolledTargetDirectory.create({ instances: base.platform.directory, clock, log: base.log.child('targets'), pollMs: DIRECTORY_POLL_MS })
  const health = ConsecutiveFailureHealth.create(clock)
  const picker = LeastLoadedPicker.create({ directory, health })
  const connectTimeoutMs = (service: string): number => config.current()?.document.services[service]?.connectTimeoutMs ?? CONNECT_TIMEOUT_MS
  const sender = ConnectionSender.create({ clock, connectTimeoutMs })
  return { directory, health, picker, sender }
}

const createSources = (base: Base, config: ConfigFollower): readonly StateSource[] => [
  { name: 'instance', dump: () => ({ ...base.bus.self }) },
  { name: 'config', dump: () => ({ version: config.current()?.version ?? 0, digest: config.current()?.digest ?? null }) },
  { name: 'breaches', dump: () => JSON.parse(JSON.stringify(base.invariants.breaches())) }
]

/**
 * Composes the parts of a daemon.
 *
 * @param settings - Settings of the daemon.
 * @param world - Time, randomness, platform and output.
 * @returns The parts, not yet started.
 */
export const composeParts = (settings: Settings, world: DaemonWorld): DaemonParts => {
  const base = createBase(settings, world)
  const { clock } = world
  const config = ConfigFollower.create({ environment: settings.environment, platform: base.platform, clock, log: base.log.child('config'), invariants: base.invariants, pollMs: CONFIG_POLL_MS })
  const { directory, health, picker, sender } = createTargetSide(base, world, config)
  const admission = Admission.create(service => directory.targets(service).reduce((sum, target) => sum + target.slots, 0))
  let routes: RouteTable | undefined
  config.onChange(accepted => { routes = RouteTable.create(accepted.document) })
  const serve = { clock, config, routes: () => routes, admission, picker, sender, evidence: health }
  const stopping = new AbortController()
  let tasks: ReadonlyArray<Promise<void>> = []
  return {
    log: base.log,
    registry: base.registry,
    sources: createSources(base, config),
    handler: async (request, response) => { await serveRequest(serve, request, response) },
    hasConfig: () => config.current() !== undefined,
    start: () => { tasks = [config.run(stopping.signal), directory.run(stopping.signal)] },
    stop: async () => {
      stopping.abort()
      await Promise.all(tasks)
      sender.close()
      await base.platform.close()
    }
  }
}
