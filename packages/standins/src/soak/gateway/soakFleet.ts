import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SystemClock } from '@lovagehoist/common'
import type { Random } from '@lovagehoist/common'
import { READINESS_PATH } from '@lovagehoist/platform'
import { request } from 'undici'
import { GatewayTarget } from '../../gateway/gatewayTarget.js'
import { RowStoreStandin } from '../../gateway/rowStoreStandin.js'
import { Relay } from '../../network/relay.js'
import { GatewayProcess } from '../../process/gatewayProcess.js'
import { SoakConfig } from './soakConfig.js'
import { Troubles } from './troubles.js'

/** A target with the proxy that daemons reach it through. */
export interface SoakTarget {
  readonly target: GatewayTarget
  readonly service: string
  readonly zone: string
  readonly relay: Relay
  readonly troubles: Troubles
  /** Monotonic time at which the store acknowledged that it leaves. */
  leftAtMs: number | undefined
}

/** An instance of the fleet: its address stays, its processes come and go. */
export interface SoakInstance {
  readonly id: string
  readonly host: string
  readonly zone: string
  /** Proxy to the store. */
  readonly storeRelay: Relay
  readonly troubles: Troubles
  process: GatewayProcess
  isReady: boolean
  /** Start of the next process, while it is under way. */
  restarting: Promise<void> | undefined
}

/** Sizes of a soak. */
export interface SoakSize {
  readonly instances: number
  readonly targetsOfService: number
}

export const SERVICES = ['orders', 'menus'] as const
const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const
const WORK_MS = 40
const SLOTS = 6
const BOUNDS = { grace_period: '6s', retry_budget_ratio: 0.2, retry_budget_slack: 60, budget_window: '10s' }
const LIMITS = { cpu_share: 1, cores: 1, max_fds: 4_096, link_mbps: 1_000 }
const PORTS = { callers: 8_381, readiness: 8_388, peers: 7_200 }
const READY_LIMIT_MS = 400
const STATUS_OK = 200
const SETTLE_LIMIT_MS = 60_000
const SETTLE_LOOK_MS = 50

/** Loopback network that parallel soaks split by process id. */
const networkOf = (pid: number): string => `127.${16 + pid % 200}.${1 + Math.floor(pid / 200) % 250}`

/** Real daemons, each behind proxies, with targets and the platform's store in this process. */
export class SoakFleet {
  readonly targets: SoakTarget[] = []
  /** Targets that have been taken away, whose runs still count. */
  readonly gone: SoakTarget[] = []
  readonly instances: SoakInstance[] = []
  readonly config: SoakConfig
  readonly storeTroubles: Troubles
  private nextTarget = 0
  private isFirstStart = true

  private constructor (readonly clock: SystemClock, readonly random: Random, readonly store: RowStoreStandin, private readonly folder: string) {
    this.config = SoakConfig.create(store, clock)
    this.storeTroubles = Troubles.create(clock.monotonicMs)
  }

  /**
   * Starts a store, targets and daemons.
   *
   * @param random - Source of all choices.
   * @param size - Numbers of daemons and targets.
   * @returns The fleet; its daemons may not be ready yet.
   */
  static async create (random: Random, size: SoakSize): Promise<SoakFleet> {
    const clock = SystemClock.create()
    const fleet = new SoakFleet(clock, random, await RowStoreStandin.create(clock), await mkdtemp(join(tmpdir(), 'soak-')))
    for (const service of SERVICES) for (let index = 0; index < size.targetsOfService; index++) await fleet.addTarget(service)
    fleet.config.change()
    for (let index = 0; index < size.instances; index++) await fleet.addInstance()
    fleet.isFirstStart = false
    return fleet
  }

  /** Starts and registers a target. */
  async addTarget (service: string): Promise<SoakTarget> {
    const id = `${service}-${this.nextTarget++}`
    const target = await GatewayTarget.create(id, this.clock)
    target.workMs = WORK_MS
    target.bodyFor = requestId => `answer to ${requestId} of ${service}`
    const relay = await Relay.create(this.clock, '127.0.0.1')
    relay.connectTo({ host: '127.0.0.1', port: target.port })
    const added: SoakTarget = { target, service, zone: ZONES[this.nextTarget % ZONES.length] ?? '', relay, troubles: Troubles.create(this.clock.monotonicMs), leftAtMs: undefined }
    this.targets.push(added)
    this.store.put('servers', id, this.entryOf(added, 'ready'))
    return added
  }

  /** Marks a target as leaving; it stays registered. */
  drainTarget (leaving: SoakTarget): void {
    this.store.put('servers', leaving.target.id, this.entryOf(leaving, 'draining'))
    leaving.leftAtMs = this.clock.monotonicMs()
    this.targets.splice(this.targets.indexOf(leaving), 1)
    this.gone.push(leaving)
  }

  /** Removes the row of a target that leaves. */
  removeTarget (leaving: SoakTarget): void {
    this.store.remove('servers', leaving.target.id)
  }

  /** Starts another instance. */
  async addInstance (): Promise<void> {
    const index = this.instances.length
    const storeRelay = await Relay.create(this.clock, '127.0.0.1')
    storeRelay.connectTo(this.store.address)
    const place = { id: `gate-${index}`, host: `${networkOf(process.pid)}.${index + 2}`, zone: ZONES[index % ZONES.length] ?? '', storeRelay }
    this.instances.push({ ...place, troubles: Troubles.create(this.clock.monotonicMs), process: await this.start(place), isReady: false, restarting: undefined })
  }

  /** Starts the next process of an instance once its process is gone; faults that overlap start one together. */
  async restart (instance: SoakInstance): Promise<void> {
    instance.restarting ??= this.replaceProcess(instance).finally(() => { instance.restarting = undefined })
    await instance.restarting
  }

  /** Base address of an instance. */
  urlOf ({ host }: SoakInstance): string {
    return `http://${host}:${PORTS.callers}`
  }

  /** Asks an instance whether it is ready. */
  async askReady (instance: SoakInstance): Promise<void> {
    const limits = { headersTimeout: READY_LIMIT_MS, bodyTimeout: READY_LIMIT_MS }
    const reply = await request(`http://${instance.host}:${PORTS.readiness}${READINESS_PATH}`, limits).catch(() => undefined)
    await reply?.body.dump().catch(() => {})
    instance.isReady = reply?.statusCode === STATUS_OK
  }

  /** Waits until all instances are ready. */
  async settle (): Promise<void> {
    const untilMs = this.clock.monotonicMs() + SETTLE_LIMIT_MS
    while (this.instances.some(({ isReady }) => !isReady)) {
      if (this.clock.monotonicMs() > untilMs) throw new Error(`not ready: ${JSON.stringify(this.instances.filter(({ isReady }) => !isReady).map(({ id, process: { output } }) => [id, output]))}`)
      await this.clock.sleepMs(SETTLE_LOOK_MS)
    }
  }

  /** Ends all processes that this fleet started, and the stand-ins. */
  async close (): Promise<void> {
    for (const { process: running } of this.instances) {
      running.signal('SIGCONT')
      running.signal('SIGKILL')
    }
    await Promise.all(this.instances.map(async ({ process: running, storeRelay }) => {
      await running.exited
      await storeRelay.close()
    }))
    await Promise.all([...this.targets, ...this.gone].map(async ({ target, relay }) => {
      await relay.close()
      await target.close()
    }))
    await this.store.close()
    await rm(this.folder, { recursive: true, force: true })
  }

  private async replaceProcess (instance: SoakInstance): Promise<void> {
    await instance.process.exited
    instance.process = await this.start(instance)
  }

  private entryOf ({ target, service, zone, relay }: SoakTarget, state: 'ready' | 'draining'): Readonly<Record<string, unknown>> {
    return { ...target.entry(service, zone, state), address: `127.0.0.1:${relay.port}`, slots: SLOTS }
  }

  private async start ({ id, host, zone, storeRelay }: Pick<SoakInstance, 'id' | 'host' | 'zone' | 'storeRelay'>): Promise<GatewayProcess> {
    return await GatewayProcess.create(this.folder, {
      node_name: id,
      ip: host,
      zone,
      first_start: this.isFirstStart,
      limits: LIMITS,
      listen: { front: `${host}:${PORTS.callers}`, ready: `${host}:${PORTS.readiness}` },
      internal_port_range: [PORTS.peers, PORTS.peers + 1],
      seeds: this.instances.slice(0, 3).map(other => `${other.host}:${PORTS.peers}`),
      platform: { address: `127.0.0.1:${storeRelay.port}` },
      bounds: BOUNDS
    } as { readonly node_name: string })
  }
}
