import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SystemClock } from '@lovagehoist/common'
import type { Random } from '@lovagehoist/common'
import { READINESS_PATH } from '@lovagehoist/platform'
import { request } from 'undici'
import { GatewayTarget } from '../../gateway/gatewayTarget.js'
import { RowStoreStandin } from '../../gateway/rowStoreStandin.js'
import { TcpProxy } from '../../network/tcpProxy.js'
import { GatewayProcess, deployedNodeOptions } from '../../process/gatewayProcess.js'
import type { ProcessOptions } from '../../process/gatewayProcess.js'
import { SoakConfig } from './soakConfig.js'
import type { SoakRoute } from './soakConfig.js'
import { FaultPeriods } from './faultPeriods.js'
import type { SoakLimit } from './limitOracle.js'
import { CRASH_PREFIX } from './targetOracle.js'
import type { SoakDeparture } from './targetOracle.js'

/** A target with the TCP proxy through which daemons reach it. */
export interface SoakTarget {
  readonly target: GatewayTarget
  readonly service: string
  readonly zone: string
  readonly proxy: TcpProxy
  readonly faultPeriods: FaultPeriods
  /** Monotonic time at which the store acknowledged its drain; undefined before. */
  drainedAtMs: number | undefined
}

/** An instance of the fleet: its address is permanent, its process may be replaced. */
export interface SoakInstance {
  readonly id: string
  readonly host: string
  readonly zone: string
  /** TCP proxy through which the daemon reaches the store. */
  readonly storeProxy: TcpProxy
  readonly faultPeriods: FaultPeriods
  process: GatewayProcess
  isReady: boolean
  /** Restart in progress. */
  restarting: Promise<void> | undefined
}

/** Size of a soak fleet. */
export interface SoakSize {
  readonly instances: number
  readonly targetsPerService: number | Readonly<Record<string, number>>
  /** Routes of all configurations. */
  readonly routes?: readonly SoakRoute[]
  /** How the daemons are started; their log files are named after the process. */
  readonly processOptions?: Omit<ProcessOptions, 'logFile'> & { readonly logFolder?: string }
  /** Memory limit of each daemon; with it, the daemons run with the options of the deploy file. */
  readonly memoryMb?: number
}

export const SERVICES = ['orders', 'menus'] as const
const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const
const WORK_MS = 40
const SLOTS = 6
const RETRY_BOUNDS = { grace_period: '6s', retry_budget_ratio: 0.2, retry_budget_slack: 60, budget_window: '10s' }
const LIMITS = { cpu_share: 1, cores: 1, max_fds: 4_096, memory_mb: 350, link_mbps: 1_000 }
const PORTS = { callers: 8_381, readiness: 8_388, peers: 7_200 }
const READINESS_TIMEOUT_MS = 400
const STATUS_OK = 200
const TARGET_RESTART_MS = 1_000
const START_TIMEOUT_MS = 60_000
const START_POLL_MS = 50

/** Prefix of the instances' loopback addresses, different for concurrent soaks. */
export const networkPrefixOf = (pid: number): string => `127.${16 + pid % 200}.${1 + Math.floor(pid / 200) % 250}`

/** Real daemons in child processes, with targets and a stand-in of the row store in this process, connected through TCP proxies. */
export class SoakFleet {
  readonly targets: SoakTarget[] = []
  /** Targets that are draining or removed; their runs still count. */
  readonly removedTargets: SoakTarget[] = []
  readonly instances: SoakInstance[] = []
  readonly config: SoakConfig
  readonly storeFaultPeriods: FaultPeriods
  /** Limits that targets have named. */
  readonly limits: SoakLimit[] = []
  /** Targets that have said that they leave. */
  readonly departures: SoakDeparture[] = []
  /** All processes, in the order of their starts. */
  readonly processes: GatewayProcess[] = []
  /** Called for each target that is added. */
  onTargetAdded: (added: SoakTarget) => void = () => {}
  private nextTarget = 0
  private nextProcess = 0
  private isFirstStart = true

  private constructor (readonly clock: SystemClock, readonly random: Random, readonly store: RowStoreStandin, private readonly folder: string, private readonly size: SoakSize, private readonly nodeOptions: readonly string[]) {
    this.config = SoakConfig.create(store, clock, size.routes)
    this.storeFaultPeriods = FaultPeriods.create(clock.monotonicMs)
  }

  /**
   * Starts a store, targets and daemons.
   *
   * @param random - Random numbers for the choice of faults.
   * @param size - Number of daemons and targets.
   * @returns The fleet; its daemons may not be ready yet.
   */
  static async create (random: Random, size: SoakSize): Promise<SoakFleet> {
    const clock = SystemClock.create()
    const fleet = new SoakFleet(clock, random, await RowStoreStandin.create(clock), await mkdtemp(join(tmpdir(), 'soak-')), size, size.memoryMb === undefined ? [] : await deployedNodeOptions())
    for (const [service, count] of Object.entries(fleet.targetCounts)) for (let index = 0; index < count; index++) await fleet.addTarget(service)
    fleet.config.publishNextVersion()
    for (let index = 0; index < size.instances; index++) await fleet.addInstance()
    fleet.isFirstStart = false
    return fleet
  }

  private get targetCounts (): Readonly<Record<string, number>> {
    const { targetsPerService: count } = this.size
    return typeof count === 'number' ? Object.fromEntries(SERVICES.map(service => [service, count])) : count
  }

  /** Starts a target with its proxy and registers it. */
  async addTarget (service: string): Promise<SoakTarget> {
    const id = `${service}-${this.nextTarget++}`
    const target = await GatewayTarget.create(id, this.clock)
    target.workMs = WORK_MS
    target.responseBodyFor = requestId => `answer to ${requestId} of ${service}`
    const proxy = await TcpProxy.create(this.clock, '127.0.0.1')
    proxy.setDestination({ host: '127.0.0.1', port: target.port })
    target.crashesUnder = path => path.startsWith(CRASH_PREFIX)
    const soakTarget: SoakTarget = { target, service, zone: ZONES[this.nextTarget % ZONES.length] ?? '', proxy, faultPeriods: FaultPeriods.create(this.clock.monotonicMs), drainedAtMs: undefined }
    target.onCrashed = () => { this.replaceCrashed(soakTarget).catch(() => {}) }
    this.onTargetAdded(soakTarget)
    this.targets.push(soakTarget)
    this.store.put('servers', id, this.createRow(soakTarget, 'ready'))
    return soakTarget
  }

  /** Marks a target as draining; it stays registered. */
  drainTarget (soakTarget: SoakTarget): void {
    this.store.put('servers', soakTarget.target.id, this.createRow(soakTarget, 'draining'))
    soakTarget.drainedAtMs = this.clock.monotonicMs()
    this.targets.splice(this.targets.indexOf(soakTarget), 1)
    this.removedTargets.push(soakTarget)
  }

  /** Makes all answers of a target say that it leaves, while it stays listed as ready. */
  sayLeaving ({ target }: SoakTarget): void {
    target.saysLeaving = true
    target.onAnswered = () => {
      target.onAnswered = () => {}
      this.departures.push({ targetId: target.id, saidAtMs: this.clock.monotonicMs() })
    }
  }

  /** Makes a target name a limit in its answers; returns the function that ends it. */
  nameLimit ({ target }: SoakTarget, perSecond: number): () => void {
    const limit = { targetId: target.id, perSecond, fromMs: this.clock.monotonicMs(), toMs: Infinity }
    this.limits.push(limit)
    target.limitPerSecond = perSecond
    return () => {
      limit.toMs = this.clock.monotonicMs()
      target.limitPerSecond = undefined
    }
  }

  /** Removes the row of a draining target; the target keeps running. */
  removeTarget (soakTarget: SoakTarget): void {
    this.store.remove('servers', soakTarget.target.id)
  }

  /** Starts another instance with its own address. */
  async addInstance (): Promise<void> {
    const index = this.instances.length
    const storeProxy = await TcpProxy.create(this.clock, '127.0.0.1')
    storeProxy.setDestination(this.store.address)
    const instance = { id: `gate-${index}`, host: `${networkPrefixOf(process.pid)}.${index + 2}`, zone: ZONES[index % ZONES.length] ?? '', storeProxy }
    this.instances.push({ ...instance, faultPeriods: FaultPeriods.create(this.clock.monotonicMs), process: await this.startProcess(instance), isReady: false, restarting: undefined })
  }

  /** Starts a new process for an instance once its process has exited; concurrent calls share one restart. */
  async restart (instance: SoakInstance): Promise<void> {
    instance.restarting ??= this.replaceProcess(instance).finally(() => { instance.restarting = undefined })
    await instance.restarting
  }

  /** Base URL of an instance for callers. */
  baseUrlOf ({ host }: SoakInstance): string {
    return `http://${host}:${PORTS.callers}`
  }

  /** Polls the readiness of an instance. */
  async updateReadiness (instance: SoakInstance): Promise<void> {
    const timeouts = { headersTimeout: READINESS_TIMEOUT_MS, bodyTimeout: READINESS_TIMEOUT_MS }
    const response = await request(`http://${instance.host}:${PORTS.readiness}${READINESS_PATH}`, timeouts).catch(() => undefined)
    await response?.body.dump().catch(() => {})
    instance.isReady = response?.statusCode === STATUS_OK
  }

  /** Polls the readiness of all instances until each is ready. */
  async pollUntilReady (): Promise<void> {
    while (this.instances.some(({ isReady }) => !isReady)) {
      await this.clock.sleepMs(START_POLL_MS)
      for (const instance of this.instances) await this.updateReadiness(instance)
    }
  }

  /**
   * Waits until all instances are ready.
   *
   * @throws Error with the output of the instances that are not ready within 60,000 ms.
   */
  async waitUntilReady (): Promise<void> {
    const deadlineMs = this.clock.monotonicMs() + START_TIMEOUT_MS
    while (this.instances.some(({ isReady }) => !isReady)) {
      if (this.clock.monotonicMs() > deadlineMs) throw new Error(`not ready: ${JSON.stringify(this.instances.filter(({ isReady }) => !isReady).map(({ id, process: { output } }) => [id, output]))}`)
      await this.clock.sleepMs(START_POLL_MS)
    }
  }

  /** Starts another process for an instance, also beside one that still leaves. */
  async startNext (instance: SoakInstance): Promise<void> {
    instance.process = await this.startProcess(instance)
  }

  /** Kills the daemons and stops the stand-ins. */
  async close (): Promise<void> {
    for (const daemon of this.processes) {
      daemon.signal('SIGCONT')
      daemon.signal('SIGKILL')
    }
    await Promise.all(this.processes.map(async ({ exited }) => { await exited }))
    await Promise.all(this.instances.map(async ({ storeProxy }) => { await storeProxy.close() }))
    await Promise.all([...this.targets, ...this.removedTargets].map(async ({ target, proxy }) => {
      await proxy.close()
      await target.close()
    }))
    await this.store.close()
    await rm(this.folder, { recursive: true, force: true })
  }

  /** Lets connects to a crashed target fail, and starts another one in its place after a while. */
  private async replaceCrashed (soakTarget: SoakTarget): Promise<void> {
    this.targets.splice(this.targets.indexOf(soakTarget), 1)
    this.removedTargets.push(soakTarget)
    await soakTarget.proxy.close()
    await this.clock.sleepMs(TARGET_RESTART_MS)
    this.store.remove('servers', soakTarget.target.id)
    await this.addTarget(soakTarget.service)
  }

  private async replaceProcess (instance: SoakInstance): Promise<void> {
    await instance.process.exited
    await this.startNext(instance)
  }

  private createRow ({ target, service, zone, proxy }: SoakTarget, state: 'ready' | 'draining'): Readonly<Record<string, unknown>> {
    return { ...target.createRow(service, zone, state), address: `127.0.0.1:${proxy.port}`, slots: SLOTS }
  }

  private async startProcess ({ id, host, zone, storeProxy }: Pick<SoakInstance, 'id' | 'host' | 'zone' | 'storeProxy'>): Promise<GatewayProcess> {
    const { memoryMb = LIMITS.memory_mb, processOptions: { logFolder, ...options } = {} } = this.size
    const logFile = logFolder === undefined ? {} : { logFile: join(logFolder, `${id}-${this.nextProcess++}.log`) }
    const settings = {
      node_name: id,
      ip: host,
      zone,
      first_start: this.isFirstStart,
      limits: { ...LIMITS, memory_mb: memoryMb },
      listen: { front: `${host}:${PORTS.callers}`, ready: `${host}:${PORTS.readiness}` },
      internal_port_range: [PORTS.peers, PORTS.peers + 1],
      seeds: this.instances.slice(0, 3).map(other => `${other.host}:${PORTS.peers}`),
      platform: { address: `127.0.0.1:${storeProxy.port}` },
      bounds: RETRY_BOUNDS
    }
    const started = await GatewayProcess.create(this.folder, settings, this.nodeOptions, { ...options, ...logFile })
    this.processes.push(started)
    return started
  }
}
