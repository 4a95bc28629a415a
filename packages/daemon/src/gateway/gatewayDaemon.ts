import type { Server } from 'node:http'
import { setMaxListeners } from 'node:events'
import { CallerServer } from '@lovagehoist/callers'
import type { Address } from '@lovagehoist/common'
import { servePeerDocuments } from '@lovagehoist/peers'
import { composeGateway } from './gatewayParts.js'
import type { GatewayParts, GatewayWorld } from './gatewayParts.js'
import { serveMetrics, serveReadiness } from './readinessServer.js'

/** Where a gateway daemon listens besides its settings. */
export interface GatewayListen {
  readonly readinessPath: string
  /** Address of the metrics; absent for none. */
  readonly metrics?: Address
}

/** Most that a head may hold before any configuration is known. */
const MAX_HEAD_BYTES = 16_384
/** The balancer asks once a second and takes an instance out after two misses; connections of before are still on their way then. */
const BALANCER_LAG_MS = 2_600
/** Time that is left for leaving before the process would be killed. */
const LEAVE_MARGIN_MS = 800
const HEAD_TIMEOUT_MS = 3_000
const REQUEST_TIMEOUT_MS = 60_000
/** Descriptors that sockets to callers may not use: files, targets, peers and the store need some. */
const RESERVED_DESCRIPTORS = 1_200

/** One running gateway daemon. */
export class GatewayDaemon {
  private isLeaving = false
  private readonly stopping = new AbortController()
  private servers: readonly Server[] = []
  private resolveDone: () => void = () => {}
  /** Resolves when the daemon has left. */
  readonly done: Promise<void>

  private constructor (private readonly world: GatewayWorld, private readonly parts: GatewayParts, private readonly callers: CallerServer) {
    setMaxListeners(0, this.stopping.signal)
    this.done = new Promise(resolve => { this.resolveDone = resolve })
  }

  /**
   * Composes and starts a daemon.
   *
   * @param world - Settings, time, randomness, store and transport.
   * @param listen - Further addresses.
   * @returns The daemon, once it listens.
   */
  static async create (world: GatewayWorld, listen: GatewayListen): Promise<GatewayDaemon> {
    const { settings, clock, log } = world
    const parts = composeGateway(world)
    const limits = { maxHeadBytes: MAX_HEAD_BYTES, headTimeoutMs: HEAD_TIMEOUT_MS, requestTimeoutMs: REQUEST_TIMEOUT_MS, maxConnections: Math.max(1, settings.maxDescriptors - RESERVED_DESCRIPTORS) }
    const callers = await CallerServer.create({ address: settings.callers, limits, clock, log: log.child('callers'), handler: parts.handler })
    const daemon = new GatewayDaemon(world, parts, callers)
    await daemon.start(listen)
    return daemon
  }

  /** Becomes unready, serves on while the balancer lags, finishes what is in flight and leaves. */
  async drain (): Promise<void> {
    if (this.isLeaving) return
    this.isLeaving = true
    const { live, log } = this.world
    const { graceMs } = live.current().bounds
    log.info('draining', { graceMs })
    this.parts.departure.begin(graceMs)
    const longestExchangeMs = Math.max(0, graceMs - BALANCER_LAG_MS - LEAVE_MARGIN_MS)
    const { cutExchanges } = await this.callers.drain({ balancerLagMs: BALANCER_LAG_MS, longestExchangeMs })
    await this.leave()
    log.info('daemon left', { cutExchanges })
    this.resolveDone()
  }

  /** Stops at once, cutting what is in flight. */
  async stop (): Promise<void> {
    this.isLeaving = true
    this.callers.close()
    await this.leave()
    this.resolveDone()
  }

  private async leave (): Promise<void> {
    if (this.stopping.signal.aborted) return
    this.stopping.abort()
    for (const server of this.servers) server.close()
    await this.parts.close()
  }

  private async start ({ readinessPath, metrics }: GatewayListen): Promise<void> {
    const { settings, log } = this.world
    const { parts } = this
    this.servers = [
      await serveReadiness(settings.readiness, readinessPath, () => parts.isReady() && !this.isLeaving),
      await servePeerDocuments(settings.peers, parts.facts.texts),
      ...(metrics === undefined ? [] : [await serveMetrics(metrics, parts.registry)])
    ]
    for (const task of parts.tasks) {
      task(this.stopping.signal).catch((error: unknown) => { log.error('a task ended', { error: error instanceof Error ? error.stack : String(error) }) })
    }
    log.info('daemon started', { instanceId: settings.instanceId, zone: settings.availabilityZone, callers: settings.callers.port, readiness: settings.readiness.port, peers: settings.peers.port })
  }
}
