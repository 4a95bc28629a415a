import { ok } from 'neverthrow'
import { Agent, Client, request } from 'undici'
import type { Dispatcher } from 'undici'
import { SeededRandom, SystemClock, createLog } from '@lovagehoist/common'
import type { Address, GatewaySettings } from '@lovagehoist/common'
import { GatewayDaemon, LiveSettings, SystemProcessProbe } from '@lovagehoist/daemon/gateway'
import { openDatagrams } from '@lovagehoist/peers'
import { PLATFORM_HEADERS, READINESS_PATH, RowStore } from '@lovagehoist/platform'
import { DaemonLinks } from './daemonLinks.js'
import { GatewayTarget } from './gatewayTarget.js'
import { RowStoreStandin } from './rowStoreStandin.js'

/** A route of the configuration that the fleet writes. */
export interface RouteOptions {
  readonly prefix: string
  readonly kind: 'safe' | 'unsafe' | 'download' | 'upload'
  readonly service?: string
  readonly split?: ReadonlyArray<{ readonly service: string, readonly weight: number }>
  readonly timeoutMs?: number
  readonly priority?: number
  readonly maxAttempts?: number
  readonly isPublic?: boolean
}

/** A client account of the configuration that the fleet writes. */
export interface AccountOptions {
  readonly name: string
  readonly keys: readonly string[]
  readonly priority?: number
  readonly requestsPerSecond?: number
  readonly burst?: number
}

/** A caller's request; what is absent gets a default. */
export interface CallOptions {
  readonly daemon?: number
  readonly path?: string
  readonly method?: 'GET' | 'POST'
  readonly body?: string
  readonly requestId?: string
  readonly deadlineMs?: number
  readonly signal?: AbortSignal
  /** Loopback address that the request comes from; chosen by the system by default. */
  readonly callerHost?: string
  /** Further header fields. */
  readonly headers?: Readonly<Record<string, string | string[]>>
}

/** Response that a caller received. */
export interface CallResponse {
  readonly status: number
  readonly body: string
  readonly header: (name: string) => string | undefined
}

/** A parsed JSON log line of a daemon. */
export type LogLine = Readonly<Record<string, unknown>>

interface RunningDaemon {
  readonly daemon: GatewayDaemon
  readonly callerAddress: Address
  readonly peerAddress: Address
  readonly links: DaemonLinks
  readonly readinessAddress: Address
}

export const HOST_NAME = 'shop.example'
const DEFAULT_SEED = 11
const POLL_INTERVAL_MS = 10
const KEEP_ALIVE_MS = 60_000
/** Margin by which the client closes an idle connection before the `keep-alive` timeout that responses announce. */
const KEEP_ALIVE_MARGIN_MS = 300
const WAIT_TIMEOUT_MS = 20_000

let nextPortBlock = 0

/** Allocates the ports of a fleet: its daemons share them, each on its own loopback address. */
const allocatePorts = (seed: number): { readonly callers: number, readonly readiness: number, readonly peers: number } => {
  const firstPort = 20_000 + (seed * 7 + nextPortBlock++ * 3) % 12_000
  return { callers: firstPort, readiness: firstPort + 1, peers: firstPort + 2 }
}

/** Gateway daemons, a stand-in of the platform's row store and targets in one process, on loopback addresses. */
export class GatewayFleet {
  readonly clock = SystemClock.create()
  readonly random: SeededRandom
  readonly targets = new Map<string, GatewayTarget>()
  readonly daemons: RunningDaemon[] = []
  readonly logLines: LogLine[] = []
  /** Whether daemons that are added from now on reach the targets that exist then through links that can be cut. */
  hasCuttableLinks = false
  /** Memory limit of daemons that are added from now on. */
  memoryMb = 350
  /** Limit of request bodies in configurations that are written from now on. */
  maxBodyBytes = 1_000_000
  /** Log output of all daemons, unparsed. */
  logText = ''
  private readonly ports = allocatePorts(process.pid)
  private configVersion = 0
  private nextRequestId = 0
  private startedDaemons = 0

  private constructor (readonly store: RowStoreStandin, seed: number) {
    this.random = SeededRandom.create(seed)
  }

  /** Starts the row store, without targets and daemons. */
  static async create (seed = DEFAULT_SEED): Promise<GatewayFleet> {
    return new GatewayFleet(await RowStoreStandin.create(SystemClock.create()), seed)
  }

  /** Writes the next version of the configuration to the store; without accounts it lists none. */
  configure (routes: readonly RouteOptions[], accounts?: readonly AccountOptions[]): void {
    this.configVersion += 2
    const services = new Set(routes.flatMap(({ service, split }) => [...(service === undefined ? [] : [service]), ...(split ?? []).map(part => part.service)]))
    this.store.put('op', 'config', {
      version: `r${this.configVersion}`,
      routes: routes.map(({ prefix, kind, service, split, timeoutMs = 4_000, priority = 1, maxAttempts = 2, isPublic = false }, index) => ({
        name: `route-${index}`,
        host: HOST_NAME,
        path_prefix: prefix,
        kind,
        timeout: `${timeoutMs}ms`,
        target_latency: '1000ms',
        priority,
        max_attempts: maxAttempts,
        public: isPublic,
        ...(split === undefined ? { service } : { traffic_split: split })
      })),
      services: [...services].map(name => ({ name, health_path: '/health', max_connections: 300, protocol: 'h1', tls: false })),
      limits: { max_header_bytes: 16_384, max_body_bytes: this.maxBodyBytes, header_timeout: '3000ms', idle_timeout: '15000ms' },
      ...(accounts === undefined ? {} : { tenants: accounts.map(({ name, keys, priority, requestsPerSecond = 0, burst = 0 }) => ({ name, api_keys: keys, priority, rate_per_s: requestsPerSecond, burst })) })
    })
  }

  /** Starts a target and registers it in the store. */
  async addTarget (id: string, service: string, zone = 'a'): Promise<GatewayTarget> {
    const target = await GatewayTarget.create(id, this.clock)
    this.store.put('servers', id, target.createRow(service, zone))
    this.targets.set(id, target)
    return target
  }

  /** Starts a daemon and, unless `shouldAwaitReady` is false, waits until it is ready; with `isFirstStart` false it replaces an earlier one. */
  async addDaemon (zone = 'a', shouldAwaitReady = true, isFirstStart = true): Promise<void> {
    const number = this.startedDaemons++
    const host = `127.0.0.${number + 2}`
    const addressAt = (port: number): Address => ({ host, port })
    const callers = addressAt(this.ports.callers)
    const readiness = addressAt(this.ports.readiness)
    const settings: GatewaySettings = {
      instanceId: `gate-${number}`,
      availabilityZone: zone,
      availabilityZones: [...new Set(['a', zone])],
      isFirstStart,
      callers,
      readiness,
      peers: addressAt(this.ports.peers),
      bootstrapHosts: ['127.0.0.2'],
      store: this.store.address,
      maxDescriptors: 4_096,
      cores: 1,
      linkMbps: 1_000,
      memoryMb: this.memoryMb,
      bounds: { graceMs: 6_000, targetDrainMs: 2_000, configApplyMs: 2_000, retryShare: 0.2, retrySlack: 50, retryWindowMs: 10_000, floorShare: 0.7, keyRevocationMs: 5_000, isKeyRevocationStrict: false, quota: { windowMs: 5_000, overageShare: 0.1, slackRequests: 20 } }
    }
    const write = (line: string): void => {
      this.logText += line
      this.logLines.push(JSON.parse(line) as LogLine)
    }
    const log = createLog({ level: 'info', format: 'json', clock: this.clock, write, fields: { instance: settings.instanceId } })
    const random = SeededRandom.create(100 + number)
    const datagrams = await openDatagrams(settings.peers, log)
    const links = await DaemonLinks.create(this.clock, this.hasCuttableLinks ? [...this.targets.values()].map(({ port }) => port) : [], host)
    const daemon = await GatewayDaemon.create(
      { settings, liveSettings: LiveSettings.create(settings, async () => ok(settings), log), uptimeMs: this.clock.monotonicMs, clock: this.clock, random, log, store: RowStore.create(settings.store, this.clock), headers: PLATFORM_HEADERS, datagrams, openTargetSocket: links.openSocket, probe: SystemProcessProbe.create() },
      { readinessPath: READINESS_PATH })
    this.daemons.push({ daemon, links, callerAddress: callers, peerAddress: settings.peers, readinessAddress: readiness })
    if (shouldAwaitReady) await this.waitUntil(async () => await this.readinessStatus(this.daemons.length - 1) === 200)
  }

  /** Status of a daemon's readiness endpoint, as a load balancer sees it. */
  async readinessStatus (index: number): Promise<number> {
    const { host = '', port = 0 } = this.daemons[index]?.readinessAddress ?? {}
    const { statusCode, body } = await request(`http://${host}:${port}${READINESS_PATH}`)
    await body.dump()
    return statusCode
  }

  /** Sends a request to a daemon as a caller does. */
  async call (call: CallOptions = {}, dispatcher?: Dispatcher): Promise<CallResponse> {
    const { daemon = 0, path = '/p/x', method = 'GET', body, deadlineMs = 6_000, signal, callerHost } = call
    if (callerHost !== undefined) return await this.callFrom(callerHost, call)
    const { host = '', port = 0 } = this.daemons[daemon]?.callerAddress ?? {}
    const requestId = call.requestId ?? `req-${this.nextRequestId++}`
    const headers = { host: HOST_NAME, [PLATFORM_HEADERS.requestId]: requestId, [PLATFORM_HEADERS.deadline]: String(deadlineMs), ...call.headers }
    const response = await request(`http://${host}:${port}${path}`, { method, headers, ...(body === undefined ? {} : { body }), ...(signal === undefined ? {} : { signal }), ...(dispatcher === undefined ? {} : { dispatcher }) })
    const text = await response.body.text()
    return { status: response.statusCode, body: text, header: name => response.headers[name]?.toString() }
  }

  /** Sends a request from another loopback address, on a connection of its own. */
  private async callFrom (localAddress: string, { callerHost: _, ...call }: CallOptions): Promise<CallResponse> {
    const agent = new Agent({ localAddress })
    try {
      return await this.call(call, agent)
    } finally {
      await agent.close()
    }
  }

  /** Creates a client that sends all its requests over one keep-alive connection. */
  connect (daemon: number): { readonly call: (call?: CallOptions) => Promise<CallResponse>, readonly close: () => Promise<void> } {
    const { host = '', port = 0 } = this.daemons[daemon]?.callerAddress ?? {}
    const client = new Client(`http://${host}:${port}`, { pipelining: 1, keepAliveTimeout: KEEP_ALIVE_MS, keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS })
    return { call: async call => await this.call({ ...call, daemon }, client), close: async () => { await client.destroy() } }
  }

  /** Requests that the targets began to run. */
  runs (): ReadonlyArray<{ readonly targetId: string, readonly requestId: string }> {
    return [...this.targets].flatMap(([targetId, { runs }]) => runs.map(({ requestId }) => ({ targetId, requestId })))
  }

  /**
   * Polls a condition until it holds.
   *
   * @throws Error when it does not hold within 20,000 ms.
   */
  async waitUntil (isMet: () => boolean | Promise<boolean>): Promise<void> {
    for (let waitedMs = 0; !(await isMet()); waitedMs += POLL_INTERVAL_MS) {
      if (waitedMs > WAIT_TIMEOUT_MS) throw new Error('condition not met in time')
      await this.clock.sleepMs(POLL_INTERVAL_MS)
    }
  }

  /** Stops the daemons, the targets and the store. */
  async close (): Promise<void> {
    await Promise.all(this.daemons.map(async ({ daemon, links }) => {
      await daemon.stop()
      await links.close()
    }))
    await Promise.all([...this.targets.values()].map(async target => { await target.close() }))
    await this.store.close()
  }
}
