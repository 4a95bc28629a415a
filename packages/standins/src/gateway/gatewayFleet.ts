import { ok } from 'neverthrow'
import { Client, request } from 'undici'
import type { Dispatcher } from 'undici'
import { SeededRandom, SystemClock, createLog } from '@lovagehoist/common'
import type { Address, GatewaySettings } from '@lovagehoist/common'
import { GatewayDaemon, LiveSettings } from '@lovagehoist/daemon/gateway'
import { openDatagrams } from '@lovagehoist/peers'
import { PLATFORM_HEADERS, READINESS_PATH, RowStore } from '@lovagehoist/platform'
import { GatewayTarget } from './gatewayTarget.js'
import { RowStoreStandin } from './rowStoreStandin.js'

/** A route of the stand-in's configuration. */
export interface RouteOptions {
  readonly prefix: string
  readonly kind: 'safe' | 'unsafe' | 'download'
  readonly service?: string
  readonly split?: ReadonlyArray<{ readonly service: string, readonly weight: number }>
  readonly timeoutMs?: number
  readonly priority?: number
  readonly maxAttempts?: number
}

/** A caller's request. */
export interface Call {
  readonly daemon?: number
  readonly path?: string
  readonly method?: 'GET' | 'POST'
  readonly body?: string
  readonly requestId?: string
  readonly deadlineMs?: number
  readonly signal?: AbortSignal
}

/** What a caller got. */
export interface CallAnswer {
  readonly status: number
  readonly body: string
  readonly header: (name: string) => string | undefined
}

/** A log line of a daemon. */
export type LoggedLine = Readonly<Record<string, unknown>>

interface Running {
  readonly daemon: GatewayDaemon
  readonly callers: Address
  readonly readiness: Address
}

export const HOST_NAME = 'shop.example'
const WAIT_LOOK_MS = 10
const KEPT_MS = 60_000
/** Time by which the caller closes before the time that answers announce. */
const CLOSE_AHEAD_MS = 300
const WAIT_LIMIT_MS = 20_000

let nextBlock = 0

/** Ports of a fleet; all its daemons use the same ones on addresses of their own. */
const portsOf = (seed: number): { readonly callers: number, readonly readiness: number, readonly peers: number } => {
  const base = 20_000 + (seed * 7 + nextBlock++ * 3) % 12_000
  return { callers: base, readiness: base + 1, peers: base + 2 }
}

/** Gateway daemons, the platform's store and targets in one process, over loopback addresses. */
export class GatewayFleet {
  readonly clock = SystemClock.create()
  readonly random = SeededRandom.create(11)
  readonly targets = new Map<string, GatewayTarget>()
  readonly daemons: Running[] = []
  readonly lines: LoggedLine[] = []
  /** All lines as the daemons wrote them. */
  text = ''
  private readonly ports = portsOf(process.pid)
  private version = 0
  private nextId = 0

  private constructor (readonly store: RowStoreStandin) {}

  /** Starts a store without targets and daemons. */
  static async create (): Promise<GatewayFleet> {
    return new GatewayFleet(await RowStoreStandin.create(SystemClock.create()))
  }

  /** Writes the next version of the configuration. */
  configure (routes: readonly RouteOptions[]): void {
    this.version += 2
    const services = new Set(routes.flatMap(({ service, split }) => [...(service === undefined ? [] : [service]), ...(split ?? []).map(part => part.service)]))
    this.store.put('op', 'config', {
      version: `r${this.version}`,
      routes: routes.map(({ prefix, kind, service, split, timeoutMs = 4_000, priority = 1, maxAttempts = 2 }, index) => ({
        name: `route-${index}`,
        host: HOST_NAME,
        path_prefix: prefix,
        kind,
        timeout: `${timeoutMs}ms`,
        target_latency: '1000ms',
        priority,
        max_attempts: maxAttempts,
        ...(split === undefined ? { service } : { traffic_split: split })
      })),
      services: [...services].map(name => ({ name, health_path: '/health', max_connections: 300, protocol: 'h1', tls: false })),
      limits: { max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout: '3000ms', idle_timeout: '15000ms' }
    })
  }

  /** Starts a target and registers it. */
  async addTarget (id: string, service: string, zone = 'a'): Promise<GatewayTarget> {
    const target = await GatewayTarget.create(id, this.clock)
    this.store.put('servers', id, target.entry(service, zone))
    this.targets.set(id, target)
    return target
  }

  /** Starts a daemon; waits until it is ready unless told otherwise. */
  async addDaemon (zone = 'a', isAwaited = true): Promise<void> {
    const host = `127.0.0.${this.daemons.length + 2}`
    const at = (port: number): Address => ({ host, port })
    const callers = at(this.ports.callers)
    const readiness = at(this.ports.readiness)
    const settings: GatewaySettings = {
      instanceId: `gate-${this.daemons.length}`,
      availabilityZone: zone,
      isFirstStart: true,
      callers,
      readiness,
      peers: at(this.ports.peers),
      bootstrapHosts: ['127.0.0.2'],
      store: this.store.address,
      maxDescriptors: 4_096,
      cores: 1,
      linkMbps: 1_000,
      bounds: { graceMs: 6_000, retryShare: 0.2, retrySlack: 50, retryWindowMs: 10_000 }
    }
    const write = (line: string): void => {
      this.text += line
      this.lines.push(JSON.parse(line) as LoggedLine)
    }
    const log = createLog({ level: 'info', format: 'json', clock: this.clock, write, fields: { instance: settings.instanceId } })
    const random = SeededRandom.create(100 + this.daemons.length)
    const datagrams = await openDatagrams(settings.peers, log)
    const daemon = await GatewayDaemon.create(
      { settings, live: LiveSettings.create(settings, async () => ok(settings), log), uptimeMs: this.clock.monotonicMs, clock: this.clock, random, log, store: RowStore.create(settings.store, this.clock), headers: PLATFORM_HEADERS, datagrams },
      { readinessPath: READINESS_PATH })
    this.daemons.push({ daemon, callers, readiness })
    if (isAwaited) await this.until(async () => await this.readiness(this.daemons.length - 1) === 200)
  }

  /** Status that the balancer gets from a daemon. */
  async readiness (index: number): Promise<number> {
    const { host = '', port = 0 } = this.daemons[index]?.readiness ?? {}
    const { statusCode, body } = await request(`http://${host}:${port}${READINESS_PATH}`)
    await body.dump()
    return statusCode
  }

  /** Sends a request as a caller does. */
  async call (call: Call = {}, dispatcher?: Dispatcher): Promise<CallAnswer> {
    const { daemon = 0, path = '/p/x', method = 'GET', body, deadlineMs = 6_000, signal } = call
    const { host = '', port = 0 } = this.daemons[daemon]?.callers ?? {}
    const requestId = call.requestId ?? `req-${this.nextId++}`
    const headers = { host: HOST_NAME, [PLATFORM_HEADERS.requestId]: requestId, [PLATFORM_HEADERS.deadline]: String(deadlineMs) }
    const answer = await request(`http://${host}:${port}${path}`, { method, headers, ...(body === undefined ? {} : { body }), ...(signal === undefined ? {} : { signal }), ...(dispatcher === undefined ? {} : { dispatcher }) })
    const text = await answer.body.text()
    return { status: answer.statusCode, body: text, header: name => answer.headers[name]?.toString() }
  }

  /** Opens a connection that a caller keeps. */
  connect (daemon: number): { readonly call: (call?: Call) => Promise<CallAnswer>, readonly close: () => Promise<void> } {
    const { host = '', port = 0 } = this.daemons[daemon]?.callers ?? {}
    const client = new Client(`http://${host}:${port}`, { pipelining: 1, keepAliveTimeout: KEPT_MS, keepAliveTimeoutThreshold: CLOSE_AHEAD_MS })
    return { call: async call => await this.call({ ...call, daemon }, client), close: async () => { await client.destroy() } }
  }

  /** Runs of all targets. */
  runs (): ReadonlyArray<{ readonly targetId: string, readonly requestId: string }> {
    return [...this.targets].flatMap(([targetId, { runs }]) => runs.map(({ requestId }) => ({ targetId, requestId })))
  }

  /** Waits until something holds. */
  async until (isMet: () => boolean | Promise<boolean>): Promise<void> {
    for (let waitedMs = 0; !(await isMet()); waitedMs += WAIT_LOOK_MS) {
      if (waitedMs > WAIT_LIMIT_MS) throw new Error('what was waited for did not come')
      await this.clock.sleepMs(WAIT_LOOK_MS)
    }
  }

  /** Stops everything. */
  async close (): Promise<void> {
    await Promise.all(this.daemons.map(async ({ daemon }) => { await daemon.stop() }))
    await Promise.all([...this.targets.values()].map(async target => { await target.close() }))
    await this.store.close()
  }
}
