import type { Server } from 'node:http'
import { setMaxListeners } from 'node:events'
import { CallerServer } from '@lovagehoist/callers'
import { untilAddressFree } from '@lovagehoist/common'
import type { Address } from '@lovagehoist/common'
import { composeGateway } from './gatewayComponents.js'
import type { GatewayComponents, GatewayDependencies } from './gatewayComponents.js'
import { runTask } from './runTask.js'
import { serveMetrics, serveReadiness } from './readinessServer.js'

/** Listening options of a gateway daemon that its settings do not hold. */
export interface GatewayListenOptions {
  readonly readinessPath: string
  /** Address at which metrics are served; absent to serve none. */
  readonly metrics?: Address
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
  private readonly stopController = new AbortController()
  private servers: readonly Server[] = []
  private resolveDone: () => void = () => {}
  /** Resolves when the daemon has stopped. */
  readonly done: Promise<void>

  private constructor (private readonly dependencies: GatewayDependencies, private readonly components: GatewayComponents, private readonly callers: CallerServer, private readonly peers: CallerServer) {
    setMaxListeners(0, this.stopController.signal)
    this.done = new Promise(resolve => { this.resolveDone = resolve })
  }

  /**
   * Creates a daemon and starts it.
   *
   * @param dependencies - Settings, clock, randomness, store and transport.
   * @param listen - Readiness path and metrics address.
   * @returns The daemon, once it listens.
   */
  static async create (dependencies: GatewayDependencies, listen: GatewayListenOptions): Promise<GatewayDaemon> {
    const { settings, clock, log } = dependencies
    const components = composeGateway(dependencies)
    const limits = { maxHeadBytes: MAX_HEAD_BYTES, headTimeoutMs: HEAD_TIMEOUT_MS, requestTimeoutMs: REQUEST_TIMEOUT_MS, maxConnections: Math.max(1, settings.maxDescriptors - RESERVED_DESCRIPTORS) }
    const callers = await untilAddressFree(async () => await CallerServer.create({ address: settings.callers, limits, clock, log: log.child('callers'), handler: components.handler }), clock, log)
    const peerLimits = { ...limits, maxHeadBytes: limits.maxHeadBytes + MAX_FORWARDING_BYTES, maxConnections: MAX_PEER_CONNECTIONS }
    const peers = await untilAddressFree(async () => await CallerServer.create({ address: settings.peers, limits: peerLimits, clock, log: log.child('peers'), handler: components.peerHandler }), clock, log)
    const daemon = new GatewayDaemon(dependencies, components, callers, peers)
    await daemon.start(listen)
    return daemon
  }

  /** Becomes unready, keeps serving until the load balancer has noticed, finishes requests in flight and stops. */
  async drain (): Promise<void> {
    if (this.isShuttingDown) return
    this.isShuttingDown = true
    const { liveSettings, log } = this.dependencies
    const { graceMs } = liveSettings.current().bounds
    log.info('draining', { graceMs })
    this.components.drainWindow.begin(graceMs)
    const longestExchangeMs = Math.max(0, this.components.drainWindow.endsAtMs - this.dependencies.clock.monotonicMs() - BALANCER_LAG_MS)
    const drains = await Promise.all([this.callers, this.peers].map(async server => await server.drain({ balancerLagMs: BALANCER_LAG_MS, longestExchangeMs })))
    const cutExchanges = drains.reduce((sum, drain) => sum + drain.cutExchanges, 0)
    await this.closeAll()
    log.info('daemon left', { cutExchanges })
    this.resolveDone()
  }

  /** Stops at once, aborting requests in flight. */
  async stop (): Promise<void> {
    this.isShuttingDown = true
    this.callers.close()
    this.peers.close()
    await this.closeAll()
    this.resolveDone()
  }

  private async closeAll (): Promise<void> {
    if (this.stopController.signal.aborted) return
    this.stopController.abort()
    for (const server of this.servers) server.close()
    await this.components.close()
  }

  private async start ({ readinessPath, metrics }: GatewayListenOptions): Promise<void> {
    const { settings, log, clock } = this.dependencies
    const { components } = this
    const readiness = await untilAddressFree(async () => await serveReadiness(settings.readiness, readinessPath, () => components.isReady() && !this.isShuttingDown), clock, log)
    this.servers = [readiness, ...await this.startMetrics(metrics)]
    for (const task of components.tasks) {
      runTask(task, { clock, log }, this.stopController.signal).catch((error: unknown) => { log.error('background task lost', { error: String(error) }) })
    }
    log.info('daemon started', { instanceId: settings.instanceId, zone: settings.availabilityZone, callers: settings.callers.port, readiness: settings.readiness.port, peers: settings.peers.port })
  }

  /** Serving goes on without metrics. */
  private async startMetrics (address: Address | undefined): Promise<readonly Server[]> {
    if (address === undefined) return []
    try {
      return [await serveMetrics(address, this.components.registry)]
    } catch (error) {
      this.dependencies.log.error('no metrics: their address cannot be listened on', { host: address.host, port: address.port, error: String(error) })
      return []
    }
  }
}
