import type { IncomingMessage, Server } from 'node:http'
import { setMaxListeners } from 'node:events'
import { CallerServer, gatewayRequestId } from '@lovagehoist/callers'
import { addressWaitMs, untilAddressFree } from '@lovagehoist/common'
import type { Address, LogFields } from '@lovagehoist/common'
import { composeGateway } from './gatewayComponents.js'
import type { GatewayComponents, GatewayDependencies } from './gatewayComponents.js'
import { createMemoryWatcher, memoryLimitBytes, registerMemoryMetrics } from './memoryWatcher.js'
import type { MemoryUse } from './memoryWatcher.js'
import type { ProcessProbe } from './processProbe.js'
import { runTask } from './runTask.js'
import type { BackgroundTask } from './runTask.js'
import { serveMetrics, serveReadiness } from './readinessServer.js'

/** What a gateway daemon depends on, its process included. */
export interface GatewayDaemonDependencies extends GatewayDependencies {
  readonly probe: ProcessProbe
}

/** Listening options of a gateway daemon that its settings do not hold. */
export interface GatewayListenOptions {
  readonly readinessPath: string
  /** Address at which metrics are served; absent to serve none. */
  readonly metrics?: Address
  /** Aborts when the process is told to stop: a daemon that serves drains, one that has not begun to serve leaves at once. */
  readonly stopSignal?: AbortSignal
}

/** Longest request head, in bytes; fixed because it applies before any configuration is known. */
const MAX_HEAD_BYTES = 16_384
/** The load balancer checks once a second and removes an instance after two failed checks; connections it opened before may still arrive then. */
const BALANCER_LAG_MS = 2_600
const HEAD_TIMEOUT_MS = 3_000
const REQUEST_TIMEOUT_MS = 60_000
/** File descriptors that are not available for connections of callers: files, targets, peers and the store need them. */
const RESERVED_DESCRIPTORS = 1_200
/** Descriptors among them for connections of other daemons, which forward requests. */
const MAX_PEER_CONNECTIONS = 400
/** Room in a request's head for the header fields of a forwarded request. */
const MAX_FORWARDING_BYTES = 2_048

/** A running gateway daemon. */
export class GatewayDaemon {
  private isShuttingDown = false
  /** Aborts when the start is given up. */
  private readonly startController = new AbortController()
  /** Ends the background tasks. */
  private readonly stopController = new AbortController()
  private callerServers: readonly CallerServer[] = []
  private servers: readonly Server[] = []
  private resolveDone: () => void = () => {}
  /** Resolves when the daemon has stopped. */
  readonly done: Promise<void>

  private constructor (private readonly dependencies: GatewayDaemonDependencies, private readonly components: GatewayComponents) {
    setMaxListeners(0, this.stopController.signal)
    this.done = new Promise(resolve => { this.resolveDone = resolve })
  }

  /**
   * Creates a daemon and starts it.
   *
   * @param dependencies - Settings, clock, randomness, store, transport and process.
   * @param listen - Readiness path, metrics address and stop signal.
   * @returns The daemon, once it listens or has been stopped before.
   */
  static async create (dependencies: GatewayDaemonDependencies, listen: GatewayListenOptions): Promise<GatewayDaemon> {
    const daemon = new GatewayDaemon(dependencies, composeGateway(dependencies))
    const drain = (): void => { daemon.drain().catch((error: unknown) => { dependencies.log.error('drain failed', { error: String(error) }) }) }
    listen.stopSignal?.addEventListener('abort', drain, { once: true })
    if (listen.stopSignal?.aborted === true) drain()
    await daemon.start(listen)
    return daemon
  }

  /** Becomes unready, keeps serving until the load balancer has noticed, finishes requests in flight and stops; stops at once if it has not begun to serve. */
  async drain (): Promise<void> {
    if (this.isShuttingDown) return
    this.isShuttingDown = true
    this.startController.abort()
    const { liveSettings, log } = this.dependencies
    const { graceMs } = liveSettings.current().bounds
    log.info('draining', { graceMs, isServing: this.callerServers.length > 0 })
    this.components.drainWindow.begin(graceMs)
    const longestExchangeMs = Math.max(0, this.components.drainWindow.endsAtMs - this.dependencies.clock.monotonicMs() - BALANCER_LAG_MS)
    const drains = await Promise.all(this.callerServers.map(async server => await server.drain({ balancerLagMs: BALANCER_LAG_MS, longestExchangeMs })))
    const cutExchanges = drains.reduce((sum, drain) => sum + drain.cutExchanges, 0)
    await this.closeAll()
    log.info('daemon left', { cutExchanges })
    this.resolveDone()
  }

  /** Stops at once, aborting requests in flight. */
  async stop (): Promise<void> {
    this.isShuttingDown = true
    this.startController.abort()
    for (const server of this.callerServers) server.close()
    await this.closeAll()
    this.resolveDone()
  }

  private async closeAll (): Promise<void> {
    if (this.stopController.signal.aborted) return
    this.stopController.abort()
    for (const server of this.servers) server.close()
    await this.components.close()
  }

  /** Listens for callers last, so that a daemon that is stopped while it starts has not accepted a request yet. */
  private async start ({ readinessPath, metrics }: GatewayListenOptions): Promise<void> {
    const { settings, log, clock, headers, probe } = this.dependencies
    const { components } = this
    const describeRequest = (request: IncomingMessage): LogFields => ({ requestId: gatewayRequestId(request, headers) })
    const limits = { maxHeadBytes: MAX_HEAD_BYTES, headTimeoutMs: HEAD_TIMEOUT_MS, requestTimeoutMs: REQUEST_TIMEOUT_MS, maxConnections: Math.max(1, settings.maxDescriptors - RESERVED_DESCRIPTORS) }
    const peerLimits = { ...limits, maxHeadBytes: limits.maxHeadBytes + MAX_FORWARDING_BYTES, maxConnections: MAX_PEER_CONNECTIONS }
    const readiness = await this.listen(async () => await serveReadiness(settings.readiness, readinessPath, () => components.isReady() && !this.isShuttingDown))
    const metricsServers = await this.startMetrics(metrics)
    const peers = await this.listen(async () => await CallerServer.create({ address: settings.peers, limits: peerLimits, clock, log: log.child('peers'), describeRequest, handler: components.peerHandler, isHalfCloseDeparture: true }))
    const callers = await this.listen(async () => await CallerServer.create({ address: settings.callers, limits, clock, log: log.child('callers'), describeRequest, handler: components.handler }))
    if (this.isShuttingDown) {
      for (const server of [...readiness, ...metricsServers, ...peers]) server.close()
      return
    }
    this.servers = [...readiness, ...metricsServers]
    this.callerServers = [...peers, ...callers]
    for (const task of [...components.tasks, this.watchMemory()]) {
      runTask(task, { clock, log }, this.stopController.signal).catch((error: unknown) => { log.error('background task lost', { error: String(error) }) })
    }
    log.info('daemon started', { instanceId: settings.instanceId, zone: settings.availabilityZone, callers: settings.callers.port, readiness: settings.readiness.port, peers: settings.peers.port, startedAfterMs: Math.round(probe.ageMs()) })
  }

  private watchMemory (): BackgroundTask {
    const { settings, log, clock, probe } = this.dependencies
    const { registry, bufferBudget } = this.components
    const limitBytes = memoryLimitBytes(settings.memoryMb)
    registerMemoryMetrics(registry, probe, limitBytes)
    const use = (): MemoryUse => ({
      connections: this.callerServers.reduce((sum, { connectionCount }) => sum + connectionCount, 0),
      bufferedBytes: bufferBudget.heldFor('body') + bufferBudget.heldFor('response')
    })
    return createMemoryWatcher({ clock, log: log.child('process'), probe, limitBytes, use })
  }

  /** Opens a server once its address is free; returns none when the start has been given up. */
  private async listen <T extends { readonly close: () => unknown }> (open: () => Promise<T>): Promise<readonly T[]> {
    const { clock, log, settings } = this.dependencies
    const server = await untilAddressFree(open, { clock, log, stopSignal: this.startController.signal, maxWaitMs: addressWaitMs(settings.bounds.graceMs) })
    if (server !== undefined && !this.isShuttingDown) return [server]
    server?.close()
    return []
  }

  /** Serving goes on without metrics. */
  private async startMetrics (address: Address | undefined): Promise<readonly Server[]> {
    if (address === undefined || this.isShuttingDown) return []
    try {
      return [await serveMetrics(address, this.components.registry)]
    } catch (error) {
      this.dependencies.log.error('no metrics: their address cannot be listened on', { host: address.host, port: address.port, error: String(error) })
      return []
    }
  }
}
