import { AccountIndex, BufferBudget, DrainWindow, FORWARDING_HEADER, KeyVerifier, PeerForwarder, PoisonRequestDetector, WindowedRetryBudget, RouteIndex, TrafficSplitter, ReadinessGate, ShortageAdmission, UsualTimes, bufferCapacityOf, createRequestMetrics, createShortageMetrics, serveGateway } from '@lovagehoist/callers'
import type { AccountAllowances, ActiveConfig, GatewayServeOptions, RequestHandler } from '@lovagehoist/callers'
import { Invariants, ReadTurn, createRegistry, maxConfigAgeMs, maxListingAgeMs } from '@lovagehoist/common'
import type { Clock, GatewayConfig, GatewayHeaders, GatewaySettings, GatewayStore, InstanceRecord, Log, Random, ReadTurnOptions } from '@lovagehoist/common'
import { GatewayConfigFollower } from '@lovagehoist/operators'
import { RelayNode, createPeerDocumentHandler, fetchPeerDocument, relayFitnessOf } from '@lovagehoist/peers'
import type { Datagrams, FetchPeerDocument, PeerDocument, PeerDocumentTexts } from '@lovagehoist/peers'
import { ConnectionSender, CrashConfirmer, FleetLimits, FleetStatsAggregator, LeavingTargets, ListingPoller, PathMonitor, TargetStatsTracker, LowestCostSelector, TargetRegistry, TargetRests } from '@lovagehoist/targets'
import type { OpenSocket } from '@lovagehoist/targets'
import type { Registry } from 'prom-client'
import { registerBufferMetrics } from './bufferMetrics.js'
import { createDocumentFetchMetrics } from './documentFetchMetrics.js'
import { createAllowances, registerAllowanceMetrics } from './gatewayAllowances.js'
import { registerGatewayMetrics } from './gatewayMetrics.js'
import { InstanceRegistration } from './instanceRegistration.js'
import type { LiveSettings } from './liveSettings.js'
import { PeerDocumentSync } from './peerDocumentSync.js'
import type { BackgroundTask } from './runTask.js'
import { createSuspensionWatcher } from './suspensionWatcher.js'

/** Settings, clock, randomness, store and transport of a gateway daemon; tests replace them. */
export interface GatewayDependencies {
  readonly settings: GatewaySettings
  readonly liveSettings: LiveSettings
  /** Time since the machine started, including the time for which it was suspended. */
  readonly uptimeMs: () => number
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly store: GatewayStore
  readonly headers: GatewayHeaders
  readonly datagrams: Datagrams
  /** Starts to connect a socket to a target; a TCP connection by default. */
  readonly openTargetSocket?: OpenSocket
  /** Fetches a document from another daemon; over HTTP by default. */
  readonly fetchDocument?: FetchPeerDocument
}

/** The components of a gateway daemon, before it listens. */
export interface GatewayComponents {
  readonly handler: RequestHandler
  /** Serves documents and forwarded requests to other daemons. */
  readonly peerHandler: RequestHandler
  /** Configuration and listing that this daemon holds, as it serves them to other daemons. */
  readonly documentTexts: PeerDocumentTexts
  readonly registry: Registry
  readonly bufferBudget: BufferBudget
  readonly isReady: () => boolean
  readonly drainWindow: DrainWindow
  /** Background loops that run until their signal aborts. */
  readonly tasks: readonly BackgroundTask[]
  readonly close: () => Promise<void>
}

/** Connections within or between zones open within milliseconds; trying another target is faster than waiting for a retransmitted packet. */
const CONNECT_TIMEOUT_MS = 400
/** Other daemons that do not accept a connection this soon are left out for a while. */
const PEER_CONNECT_TIMEOUT_MS = 150
const OVERDUE_CHECK_INTERVAL_MS = 250
/** Time in which other daemons answer the first reports, also if all were restarted at once, which spreads their starts over 0.3 s, as the first start of a fleet does. */
const PEER_ANSWER_MS = 500
const FIRST_PEER_ANSWER_MS = 800
/** Silence of the relays after which a daemon counts as cut off from them; covers several views. */
const RELAY_SILENCE_MS = 1_000
/** Time between two reads of the settings file, which may change without a signal. */
const SETTINGS_POLL_MS = 15_000

const createTargetComponents = ({ liveSettings, clock, random, log, headers, openTargetSocket }: GatewayDependencies, { startId, availabilityZone }: InstanceRecord, registry: Registry, invariants: Invariants, onListingChanged: () => void) => {
  const path = PathMonitor.create({
    clock,
    random,
    log: log.child('path'),
    targets: () => targetRegistry.all().map(({ target }) => target).filter(target => !leaving.has(target)),
    checkConnect: (target, onDone) => { sender.openIdle(target).then(onDone, () => { onDone(false) }) }
  })
  const crashConfirmer = CrashConfirmer.create({ log: log.child('path'), path, isLeaving: target => targetRegistry.isLeaving(target.id) || leaving.has(target), isCurrent: target => targetRegistry.isCurrent(target), canConnect: target => sender.canConnect(target) })
  const statsTracker: TargetStatsTracker = TargetStatsTracker.create(clock, targetId => targetRegistry.serviceOf(targetId), path)
  const fleetStats = FleetStatsAggregator.create(clock)
  const limits = FleetLimits.create({ clock, random, log: log.child('limits'), startId, availabilityZone, headerName: headers.limit, serviceOf: targetId => targetRegistry.serviceOf(targetId) })
  const sender: ConnectionSender = ConnectionSender.create({ clock, onConnect: path.recordConnect, onAnswer: path.recordAnswer, connectTimeoutMs: () => CONNECT_TIMEOUT_MS, ...(openTargetSocket === undefined ? {} : { openSocket: openTargetSocket }), registry, invariants })
  const onForget = (targetId: string): void => {
    statsTracker.forget(targetId)
    fleetStats.forget(targetId)
    limits.forget(targetId)
    sender.closeIdleConnections(targetId, -1)
  }
  const targetRegistry: TargetRegistry = TargetRegistry.create({ clock, log: log.child('targets'), onForget, onChange: onListingChanged })
  const leaving: LeavingTargets = LeavingTargets.create({ clock, log: log.child('targets'), headerName: headers.leaving, onLeaving: targetId => { sender.closeIdleConnections(targetId, -1) } })
  const rests = TargetRests.create({ clock, random, log: log.child('targets') })
  const selector = LowestCostSelector.create({ registry: targetRegistry, rests, leaving, statsTracker, clock, random, availabilityZone, limits, floorShare: () => liveSettings.current().bounds.floorShare, hasIdle: sender.hasIdle })
  return { path, crashConfirmer, rests, leaving, statsTracker, fleetStats, limits, sender, targetRegistry, selector }
}

/** The exchange between daemons, and the quotas that depend on it. */
interface ExchangeComponents {
  readonly relay: RelayNode
  readonly allowances: AccountAllowances
}

const createExchange = (dependencies: GatewayDependencies, self: InstanceRecord, targets: ReturnType<typeof createTargetComponents>, documentSync: PeerDocumentSync, poisonDetector: PoisonRequestDetector, registry: Registry, config: () => GatewayConfig | undefined): ExchangeComponents => {
  const { liveSettings, clock, log, datagrams } = dependencies
  const { statsTracker, fleetStats, limits } = targets
  const allowances = createAllowances(dependencies, self, () => relay, config)
  const relay: RelayNode = RelayNode.create({ self, bootstrapHosts: () => liveSettings.current().bootstrapHosts, clock, log: log.child('peers'), datagrams, localCounters: statsTracker, fleetStats, news: [poisonDetector.news, targets.leaving.news, allowances.news], limits, heldVersions: documentSync.heldVersions, onPeerVersions: documentSync.handlePeerVersions, onReportedReads: documentSync.handleReportedReads })
  registerAllowanceMetrics(registry, allowances)
  return { relay, allowances }
}

const createOverdueTask = (clock: Clock, statsTracker: TargetStatsTracker) => async (signal: AbortSignal): Promise<void> => {
  while (!signal.aborted) {
    statsTracker.markOverdue()
    await clock.sleepMs(OVERDUE_CHECK_INTERVAL_MS, signal)
  }
}

const pollSettings = async ({ liveSettings, clock }: GatewayDependencies, signal: AbortSignal): Promise<void> => {
  while (!signal.aborted) {
    await clock.sleepMs(SETTINGS_POLL_MS, signal)
    if (!signal.aborted) await liveSettings.reload('interval')
  }
}

/** Creates the loops that mark overdue requests, detect suspensions and reload the settings file. */
const createMaintenanceTasks = (dependencies: GatewayDependencies, { statsTracker, sender, targetRegistry, limits }: ReturnType<typeof createTargetComponents>, relay: RelayNode): GatewayComponents['tasks'] => {
  const { clock, uptimeMs, log } = dependencies
  const onSuspended = (durationMs: number): void => {
    sender.closeAllIdle()
    targetRegistry.addMissedTime(durationMs)
    limits.dropPermits()
    relay.handlePause()
  }
  return [createOverdueTask(clock, statsTracker), createSuspensionWatcher({ clock, uptimeMs, log, onSuspended }), async signal => { await pollSettings(dependencies, signal) }]
}

const createActiveConfig = (config: GatewayConfig): ActiveConfig =>
  ({ config, routes: RouteIndex.create(config), accounts: config.accounts === undefined ? undefined : AccountIndex.create(config.accounts) })

/** Creates the record by which this daemon registers itself and that it sends to peers. */
const createInstanceRecord = ({ settings, random }: GatewayDependencies): InstanceRecord => ({
  instanceId: settings.instanceId,
  startId: random.id().slice(0, 12),
  host: settings.peers.host,
  availabilityZone: settings.availabilityZone,
  relayFitness: relayFitnessOf(settings)
})

interface ServeComponents {
  readonly activeConfig: () => ActiveConfig | undefined
  readonly targets: ReturnType<typeof createTargetComponents>
  readonly listingPoller: ListingPoller
  readonly relay: RelayNode
  readonly poisonDetector: PoisonRequestDetector
  readonly drainWindow: DrainWindow
  readonly registry: Registry
  readonly invariants: Invariants
  readonly forwarder: PeerForwarder
  readonly documentSync: PeerDocumentSync
  readonly allowances: AccountAllowances
}

const createBufferBudget = (settings: GatewaySettings, registry: Registry, invariants: Invariants): BufferBudget => {
  const budget = BufferBudget.create({ capacityBytes: bufferCapacityOf(settings.memoryMb), invariants })
  registerBufferMetrics(registry, budget)
  return budget
}

const createKeyVerifier = ({ clock, liveSettings, log }: Pick<GatewayDependencies, 'clock' | 'liveSettings' | 'log'>, activeConfig: () => ActiveConfig | undefined, documentSync: PeerDocumentSync): KeyVerifier =>
  KeyVerifier.create({
    clock,
    log: log.child('accounts'),
    accounts: () => {
      const active = activeConfig()
      return active?.accounts === undefined ? undefined : { version: active.config.version, index: active.accounts }
    },
    configAgeMs: () => documentSync.heldVersions('known').configAgeMs,
    bounds: () => liveSettings.current().bounds
  })

const createServeOptions = ({ settings, clock, headers, random, liveSettings, log }: GatewayDependencies, { activeConfig, targets, listingPoller, relay, poisonDetector, drainWindow, registry, invariants, forwarder, documentSync, allowances }: ServeComponents): GatewayServeOptions => ({
  clock,
  headers,
  invariants,
  config: activeConfig,
  allowances,
  keyVerifier: createKeyVerifier({ clock, liveSettings, log }, activeConfig, documentSync),
  trafficSplitter: TrafficSplitter.create(random),
  drainWindow,
  usualTimes: UsualTimes.create(),
  isForPeers: false,
  forwarder,
  bufferBudget: createBufferBudget(settings, registry, invariants),
  readinessGate: ReadinessGate.create({ clock, isReady: () => activeConfig() !== undefined && targets.targetRegistry.hasListing && (settings.isFirstStart || relay.hasView) }),
  targetSelector: targets.selector,
  untilListingRecent: listingPoller.untilRecent,
  sender: targets.sender,
  onTargetAnswer: (target, { status, headers, isProven, sentAtMs }) => {
    targets.leaving.recordAnswer(target, headers)
    if (!isProven) return
    targets.limits.recordAnswer(target.id, headers, sentAtMs)
    targets.rests.recordAnswer(target, status, headers)
  },
  isUsable: target => !listingPoller.isTooOld && targets.targetRegistry.isCurrent(target) && !targets.targetRegistry.isLeaving(target.id) && !targets.rests.isResting(target) && (!targets.leaving.has(target) || targets.leaving.isLastResort(target)),
  retryBudget: WindowedRetryBudget.create({ clock, limits: () => liveSettings.current().bounds, isFirstStart: settings.isFirstStart, fleetSize: () => relay.peers.size }),
  poisonDetector,
  confirmCrash: targets.crashConfirmer.confirm,
  path: targets.path,
  shortage: ShortageAdmission.create({ clock, random, log: log.child('request'), capacity: targets.selector, metrics: createShortageMetrics(registry) }),
  metrics: createRequestMetrics(registry),
  log: log.child('request')
})

const createPeerHandler = (serveOptions: GatewayServeOptions, documentSync: PeerDocumentSync): RequestHandler => {
  const serveDocument = createPeerDocumentHandler(documentSync.documentTexts)
  return async (request, response, exchange) => {
    if (request.headers[FORWARDING_HEADER] === undefined) await serveDocument(request, response)
    else await serveGateway({ ...serveOptions, isForPeers: true }, request, response, exchange)
  }
}

/** Time in which daemons named in the settings answer one that has just started; without any, the store is read at once. */
const peerAnswerMs = ({ settings, liveSettings }: GatewayDependencies): number => {
  const hasOthers = liveSettings.current().bootstrapHosts.some(host => host !== settings.peers.host)
  return !hasOthers ? 0 : settings.isFirstStart ? FIRST_PEER_ANSWER_MS : PEER_ANSWER_MS
}

/** Creates the turns in which this daemon reads the store. */
const createReaders = (dependencies: GatewayDependencies, relay: () => RelayNode, documentSync: () => PeerDocumentSync) => {
  const { clock, random, settings } = dependencies
  const startedAtMs = clock.monotonicMs()
  const isAwaitingPeers = (): boolean => relay().peers.size === 1 && clock.monotonicMs() - startedAtMs < peerAnswerMs(dependencies)
  const createTurn = (document: PeerDocument, maxAgeMs: ReadTurnOptions['maxAgeMs'], boundMs: () => number): ReadTurn =>
    ReadTurn.create({ clock, random, maxAgeMs, boundMs, isOverdue: () => documentSync().isOverdue(document), relayRank: () => relay().relayRank, zones: () => [...settings.availabilityZones, ...relay().peers.zones()], zone: settings.availabilityZone, isAwaitingPeers, isHearingRelay: () => relay().viewAgeMs < RELAY_SILENCE_MS, rankBehindRelays: () => relay().peers.rankBehindRelays })
  return { isAwaitingPeers, createTurn }
}

const createForwarder = ({ clock, random, log, headers, settings }: GatewayDependencies, relay: RelayNode) => {
  const peerSender = ConnectionSender.create({ clock, connectTimeoutMs: () => PEER_CONNECT_TIMEOUT_MS })
  const forwarder = PeerForwarder.create({ clock, random, log: log.child('request'), headers, sender: peerSender, peers: () => relay.peers.others(), peerPort: settings.peers.port })
  return { peerSender, forwarder }
}

const createDocumentSync = (dependencies: GatewayDependencies, config: GatewayConfigFollower, targetRegistry: TargetRegistry, registry: Registry, listingReadAtMs: () => number, relayRank: () => number): PeerDocumentSync => {
  const { settings, clock, random, log, store, fetchDocument = fetchPeerDocument } = dependencies
  return PeerDocumentSync.create({ settings, clock, random, log: log.child('peers'), fetchDocument, metrics: createDocumentFetchMetrics(registry), store, config, targetRegistry, listingReadAtMs, relayRank })
}

const createConfigFollower = ({ store, clock, random, log }: GatewayDependencies, readTurn: ReadTurn, isStoreDoubtful: () => boolean, onConfig: (config: GatewayConfig) => void): GatewayConfigFollower =>
  GatewayConfigFollower.create({ store, clock, random, log: log.child('config'), readTurn, isStoreDoubtful, onConfig })

/**
 * Creates the components of a gateway daemon.
 *
 * @param dependencies - Settings, clock, randomness, store and transport.
 * @returns The components, not yet started.
 */
export const composeGateway = (dependencies: GatewayDependencies): GatewayComponents => {
  const { clock, random, log, store } = dependencies
  const registry = createRegistry({ instance: dependencies.settings.instanceId })
  const invariants = Invariants.create({ clock, log: log.child('invariants'), registry })
  let activeConfig: ActiveConfig | undefined
  const readers = createReaders(dependencies, () => relay, () => documentSync)
  const config = createConfigFollower(dependencies, readers.createTurn('configuration', maxConfigAgeMs, () => dependencies.liveSettings.current().bounds.configApplyMs), () => listingPoller.isStoreDoubtful, next => {
    activeConfig = createActiveConfig(next)
    relay.announceVersions()
  })
  const self = createInstanceRecord(dependencies)
  const targets = createTargetComponents(dependencies, self, registry, invariants, () => { relay.announceVersions() })
  const documentSync = createDocumentSync(dependencies, config, targets.targetRegistry, registry, () => listingPoller.lastReadAtMs, () => relay.relayRank)
  const poisonDetector = PoisonRequestDetector.create(clock)
  const { relay, allowances }: ExchangeComponents = createExchange(dependencies, self, targets, documentSync, poisonDetector, registry, () => activeConfig?.config)
  registerGatewayMetrics({ registry, clock, config, targetRegistry: targets.targetRegistry, statsTracker: targets.statsTracker, targetLimits: targets.limits.targetLimits, rests: targets.rests, leaving: targets.leaving, relay })
  const targetDrainMs = (): number => dependencies.liveSettings.current().bounds.targetDrainMs
  const listingPoller: ListingPoller = ListingPoller.create({ store, registry: targets.targetRegistry, boundMs: targetDrainMs, readTurn: readers.createTurn('targets', maxListingAgeMs, targetDrainMs), clock, random, log: log.child('targets'), onReadStarted: config.check, onRead: () => { relay.announceRead() }, onStoreRecovered: config.restart })
  const registration = InstanceRegistration.create({ store, clock, random, log, peers: relay.peers, relayRank: () => relay.relayRank, isAwaitingPeers: readers.isAwaitingPeers })
  const { peerSender, forwarder } = createForwarder(dependencies, relay)
  const serveOptions = createServeOptions(dependencies, { activeConfig: () => activeConfig, targets, listingPoller, relay, poisonDetector, drainWindow: DrainWindow.create(clock), registry, invariants, forwarder, documentSync, allowances })
  return {
    handler: async (request, response, exchange) => { await serveGateway(serveOptions, request, response, exchange) },
    peerHandler: createPeerHandler(serveOptions, documentSync),
    documentTexts: documentSync.documentTexts,
    registry,
    bufferBudget: serveOptions.bufferBudget,
    drainWindow: serveOptions.drainWindow,
    isReady: () => activeConfig !== undefined && targets.targetRegistry.hasListing,
    tasks: [
      ...[config, listingPoller, relay, targets.sender, peerSender, registration].map((loop): BackgroundTask => async signal => { await loop.run(signal) }),
      ...createMaintenanceTasks(dependencies, targets, relay)
    ],
    close: async () => {
      for (const component of [targets.path, targets.sender, peerSender]) component.close()
      await store.close()
      dependencies.datagrams.close()
    }
  }
}
