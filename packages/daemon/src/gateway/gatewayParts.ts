import { DrainWindow, PoisonRequestDetector, WindowedRetryBudget, RouteIndex, TrafficSplitter, ReadinessGate, createRequestMetrics, serveGateway } from '@lovagehoist/callers'
import type { GatewayServeOptions, RequestHandler } from '@lovagehoist/callers'
import { Invariants, createRegistry } from '@lovagehoist/common'
import type { Clock, GatewayConfig, GatewayHeaders, GatewaySettings, GatewayStore, InstanceRecord, Log, Random } from '@lovagehoist/common'
import { GatewayConfigFollower } from '@lovagehoist/operators'
import { RelayNode, relayFitnessOf } from '@lovagehoist/peers'
import type { Datagrams } from '@lovagehoist/peers'
import { ConnectionSender, FleetStatsAggregator, ListingPoller, TargetStatsTracker, LowestCostSelector, TargetRegistry } from '@lovagehoist/targets'
import type { Registry } from 'prom-client'
import { registerGatewayMetrics } from './gatewayMetrics.js'
import type { LiveSettings } from './liveSettings.js'
import { PeerFacts } from './peerFacts.js'
import { watchSuspension } from './suspension.js'

/** What a gateway daemon is given. */
export interface GatewayWorld {
  readonly settings: GatewaySettings
  readonly live: LiveSettings
  /** Time since the machine started, which goes on while it is suspended. */
  readonly uptimeMs: () => number
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly store: GatewayStore
  readonly headers: GatewayHeaders
  readonly datagrams: Datagrams
}

/** The composed parts of a gateway daemon, before it listens. */
export interface GatewayParts {
  readonly handler: RequestHandler
  readonly registry: Registry
  readonly isReady: () => boolean
  readonly facts: PeerFacts
  readonly departure: DrainWindow
  /** Loops that run until their signal aborts. */
  readonly tasks: ReadonlyArray<(signal: AbortSignal) => Promise<void>>
  readonly close: () => Promise<void>
}

interface InForce {
  readonly config: GatewayConfig
  readonly routes: RouteIndex
}

/** A connection within a zone or to the next opens within some milliseconds; another target is nearer than a repeated packet. */
const CONNECT_LIMIT_MS = 400
const OVERDUE_LOOK_MS = 250
/** Time between two reads of the fleet's instances, and the one after a start. */
const INSTANCES_MS = 15_000
const FIRST_INSTANCES_MS = 1_000
/** The settings file may change without a signal. */
const SETTINGS_MS = 15_000

const createTargets = ({ settings, clock, random, log }: GatewayWorld, registry: Registry, invariants: Invariants) => {
  const board: TargetStatsTracker = TargetStatsTracker.create(clock, targetId => roster.serviceOf(targetId))
  const ledger = FleetStatsAggregator.create(clock)
  const sender = ConnectionSender.create({ clock, connectTimeoutMs: () => CONNECT_LIMIT_MS, registry, invariants })
  const onForget = (targetId: string): void => {
    board.forget(targetId)
    ledger.forget(targetId)
    sender.closeIdleConnections(targetId, -1)
  }
  const roster: TargetRegistry = TargetRegistry.create({ clock, log: log.child('targets'), onForget })
  const chooser = LowestCostSelector.create({ registry: roster, statsTracker: board, clock, random, availabilityZone: settings.availabilityZone, hasIdle: sender.hasIdle })
  return { board, ledger, sender, roster, chooser }
}

const createPeers = (world: GatewayWorld, self: InstanceRecord, targets: ReturnType<typeof createTargets>, facts: PeerFacts, crashes: PoisonRequestDetector): RelayNode => {
  const { live, clock, log, datagrams } = world
  const { board, ledger } = targets
  return RelayNode.create({ self, bootstrapHosts: () => live.current().bootstrapHosts, clock, log: log.child('peers'), datagrams, localCounters: board, fleetStats: ledger, crashes, heldVersions: facts.current, onPeerVersions: facts.take })
}

const watchOverdue = (clock: Clock, board: TargetStatsTracker) => async (signal: AbortSignal): Promise<void> => {
  while (!signal.aborted) {
    board.markOverdue()
    await clock.sleepMs(OVERDUE_LOOK_MS, signal)
  }
}

const rereadSettings = async ({ live, clock }: GatewayWorld, signal: AbortSignal): Promise<void> => {
  while (!signal.aborted) {
    await clock.sleepMs(SETTINGS_MS, signal)
    if (!signal.aborted) await live.reload('interval')
  }
}

const register = async ({ store, clock, random, log }: GatewayWorld, self: InstanceRecord, relay: RelayNode, signal: AbortSignal): Promise<void> => {
  let isRegistered = false
  while (!signal.aborted) {
    if (!isRegistered) {
      const put = await store.putInstance(self)
      isRegistered = put.isOk()
      if (put.isErr()) log.warn('this instance is not registered yet', { kind: put.error.kind, detail: put.error.message })
    }
    const read = relay.relayRank === 0 || relay.peers.size === 1 ? await store.readInstances() : undefined
    read?.match(records => { relay.peers.addKnown(records) }, ({ kind, message }) => { log.warn('the fleet\'s instances could not be read', { kind, detail: message }) })
    await clock.sleepMs((isRegistered && relay.peers.size > 1 ? INSTANCES_MS : FIRST_INSTANCES_MS) * (0.5 + random.next()), signal)
  }
}

/** Loops that watch requests, the machine and the settings file. */
const createUpkeep = (world: GatewayWorld, { board, sender, roster }: ReturnType<typeof createTargets>): GatewayParts['tasks'] => {
  const { clock, uptimeMs, log } = world
  const onSuspended = (durationMs: number): void => {
    sender.closeAllIdle()
    roster.addMissedTime(durationMs)
  }
  return [watchOverdue(clock, board), watchSuspension({ clock, uptimeMs, log, onSuspended }), async signal => { await rereadSettings(world, signal) }]
}

/** What this daemon tells others of itself. */
const describeSelf = ({ settings, random }: GatewayWorld): InstanceRecord => ({
  instanceId: settings.instanceId,
  startId: random.id().slice(0, 12),
  host: settings.peers.host,
  availabilityZone: settings.availabilityZone,
  relayFitness: relayFitnessOf(settings)
})

interface ServeParts {
  readonly inForce: () => InForce | undefined
  readonly targets: ReturnType<typeof createTargets>
  readonly relay: RelayNode
  readonly poison: PoisonRequestDetector
  readonly departure: DrainWindow
  readonly registry: Registry
  readonly invariants: Invariants
}

const createServe = ({ settings, clock, headers, random, live, log }: GatewayWorld, { inForce, targets, relay, poison, departure, registry, invariants }: ServeParts): GatewayServeOptions => ({
  clock,
  headers,
  invariants,
  config: inForce,
  trafficSplitter: TrafficSplitter.create(random),
  drainWindow: departure,
  readinessGate: ReadinessGate.create({ clock, isReady: () => inForce() !== undefined && targets.roster.hasListing }),
  targetSelector: targets.chooser,
  sender: targets.sender,
  retryBudget: WindowedRetryBudget.create({ clock, limits: () => live.current().bounds, isFirstStart: settings.isFirstStart, fleetSize: () => relay.peers.size }),
  poisonDetector: poison,
  metrics: createRequestMetrics(registry),
  log: log.child('request')
})

/**
 * Composes the parts of a gateway daemon.
 *
 * @param world - Settings, time, randomness, store and transport.
 * @returns The parts, not yet started.
 */
export const composeGateway = (world: GatewayWorld): GatewayParts => {
  const { clock, random, log, store, settings } = world
  const registry = createRegistry({ instance: settings.instanceId })
  const invariants = Invariants.create({ clock, log: log.child('invariants'), registry })
  let inForce: InForce | undefined
  const config = GatewayConfigFollower.create({ store, clock, random, log: log.child('config'), onConfig: next => { inForce = { config: next, routes: RouteIndex.create(next) } } })
  const targets = createTargets(world, registry, invariants)
  const facts = PeerFacts.create({ settings, clock, log: log.child('peers'), store, config, roster: targets.roster })
  const self = describeSelf(world)
  const poison = PoisonRequestDetector.create(clock)
  const relay = createPeers(world, self, targets, facts, poison)
  registerGatewayMetrics({ registry, clock, config, roster: targets.roster, board: targets.board, relay })
  const listing = ListingPoller.create({ store, registry: targets.roster, relayRank: () => relay.relayRank, clock, random, log: log.child('targets'), onStoreRecovered: config.restart })
  const departure = DrainWindow.create(clock)
  const serve = createServe(world, { inForce: () => inForce, targets, relay, poison, departure, registry, invariants })
  return {
    handler: async (request, response) => { await serveGateway(serve, request, response) },
    registry,
    facts,
    departure,
    isReady: () => inForce !== undefined && targets.roster.hasListing,
    tasks: [
      config.run.bind(config), listing.run.bind(listing), relay.run.bind(relay), targets.sender.run.bind(targets.sender),
      ...createUpkeep(world, targets), async signal => { await register(world, self, relay, signal) }
    ],
    close: async () => {
      targets.sender.close()
      await store.close()
      world.datagrams.close()
    }
  }
}
