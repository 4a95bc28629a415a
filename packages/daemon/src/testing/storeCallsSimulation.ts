import { err, ok } from 'neverthrow'
import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { GatewaySettings, ListedTarget } from '@lovagehoist/common'
import { ManualClock, fakeTarget } from '@lovagehoist/common/testing'
import type { Datagrams, FetchPeerDocument } from '@lovagehoist/peers'
import { composeGateway } from '../gateway/gatewayComponents.js'
import type { GatewayComponents } from '../gateway/gatewayComponents.js'
import { LiveSettings } from '../gateway/liveSettings.js'
import type { PeerListing } from '../gateway/peerListing.js'
import { SimulatedLinks } from './simulatedLinks.js'
import { SimulatedStore } from './simulatedStore.js'
import type { SimulatedStoreFault } from './simulatedStore.js'

/** A machine of the simulated fleet. */
export interface SimulatedMachine {
  readonly instanceId: string
  readonly host: string
  readonly zone: string
  /** Place in its zone; the machines 0 and 1 are the fittest and relay unless they are down. */
  readonly index: number
}

/** Machines and the time for which something happens to them; times count from the start of the simulation. */
export interface MachinePeriod {
  readonly fromMs: number
  readonly toMs: number
  readonly includes: (machine: SimulatedMachine) => boolean
}

/** Size of a fleet and what happens to it. */
export interface StoreCallsOptions {
  readonly seed: number
  /** Daemons of each zone. */
  readonly daemons: readonly number[]
  readonly targets: number
  readonly seconds: number
  /** Share of the datagrams that are lost. */
  readonly lossShare?: number
  /** Times at which the store accepts a configuration, the draining of a target, and a new target. */
  readonly configAtMs?: readonly number[]
  readonly drainAtMs?: readonly number[]
  readonly newTargetAtMs?: readonly number[]
  readonly storeFaults?: ReadonlyArray<MachinePeriod & { readonly fault: SimulatedStoreFault }>
  /** Machines that lose power; their daemons start again afterwards. */
  readonly outages?: readonly MachinePeriod[]
  /** Machines whose datagrams and documents reach other zones no more. */
  readonly partitions?: readonly MachinePeriod[]
  /** Machines that can't fetch documents from others, although datagrams pass. */
  readonly documentFaults?: readonly MachinePeriod[]
  /** Size of the configuration as one daemon sends it to another; it arrives at once by default. */
  readonly configBytes?: number
  /** Bounds on how late a change of the targets or of the configuration may have an effect; ages are measured where it is set. */
  readonly boundMs?: number
  /** Hosts that the settings name; two first relays by default. */
  readonly bootstrapHosts?: readonly string[]
}

/** Calls by cause, and the longest delays until all daemons knew of a change. */
export interface StoreCallsResult {
  readonly calls: ReadonlyMap<string, number>
  readonly total: number
  readonly longestConfigMs: number
  readonly longestDrainMs: number
  readonly longestNewTargetMs: number
  /** Longest time from the start of a process until it was ready. */
  readonly longestStartMs: number
  /** Fewest daemons that any daemon knows in the end, itself included. */
  readonly fewestKnown: number
  /** Longest time without a successful read of the listing by any daemon. */
  readonly longestReadGapMs: number
  /** Highest age of the listing at daemons that run and reach the store, and did for a while; 0 unless a bound is set. */
  readonly longestListingAgeMs: number
}

interface Process {
  readonly machine: SimulatedMachine
  readonly startedAtMs: number
  readonly components: GatewayComponents
  readonly stop: AbortController
  receive: (bytes: Uint8Array, host: string) => void
}

type Held = (process: Process) => boolean

const IN_ZONE_DELAY_MS = 0.5
const CROSS_ZONE_DELAY_MS = 5.4
/** Machines of a fleet start within this time. */
const START_SPREAD_MS = 300
const CHECK_MS = 20
/** Time since a fault after which a machine counts as in touch with the store. */
const IN_TOUCH_AFTER_MS = 3_000
const DEFAULT_BOUND_MS = 2_000
const MAX_DELAY_MS = 10_000
/** Calls made by a process this soon after its start are counted as calls of the start. */
const START_PHASE_MS = 1_500
const FETCH_TIMEOUT_MS = 1_000
const FIT_LINK_MBPS = 200
const SLOW_LINK_MBPS = 10
const ROLES = ['first relay', 'second relay'] as const

/** Number of daemons that a daemon knows, itself included. */
const countKnown = async ({ components }: Process): Promise<number> => {
  const metric = await components.registry.getSingleMetric('lovagehoist_peers')?.get()
  return metric?.values[0]?.value ?? 0
}

/** Runs all daemons of a fleet in virtual time on a simulated store and counts the calls by cause. */
export class StoreCallsSimulation {
  private readonly clock = ManualClock.create()
  private readonly random: SeededRandom
  private readonly machines: readonly SimulatedMachine[]
  private readonly processes = new Map<string, Process>()
  private readonly startsAtMs = new Map<string, number[]>()
  private readonly store: SimulatedStore
  private readonly links: SimulatedLinks
  private readonly longestMs = { config: 0, drain: 0, newTarget: 0, start: 0, listingAge: 0 }
  private targetCount = 0

  private constructor (private readonly options: StoreCallsOptions) {
    this.random = SeededRandom.create(options.seed)
    this.machines = options.daemons.flatMap((count, zone) => Array.from({ length: count }, (_, index) => ({ instanceId: `edge-${zone}-${String(index).padStart(3, '0')}`, host: `10.${zone}.0.${index}`, zone: `zone-${zone}`, index })))
    const fitHosts = new Set(this.machines.filter(({ index }) => index < 2).map(({ host }) => host))
    this.links = SimulatedLinks.create(this.clock, host => fitHosts.has(host) ? FIT_LINK_MBPS : SLOW_LINK_MBPS)
    this.store = SimulatedStore.create(this.clock, instanceId => this.faultOf(instanceId))
  }

  /** Runs a simulation to its end. */
  static async run (options: StoreCallsOptions): Promise<StoreCallsResult> {
    return await new StoreCallsSimulation(options).run()
  }

  private async run (): Promise<StoreCallsResult> {
    const { seconds, targets } = this.options
    this.store.acceptConfig()
    for (let index = 0; index < targets; index++) this.store.putTarget(this.createTarget())
    for (const machine of this.machines) this.clock.after(this.random.next() * START_SPREAD_MS, () => { this.start(machine, true) })
    this.scheduleChanges()
    this.scheduleOutages()
    for (const { fromMs } of this.options.storeFaults ?? []) this.clock.after(fromMs, () => { this.store.applyFaults() })
    if (this.options.boundMs !== undefined) this.clock.after(IN_TOUCH_AFTER_MS, () => { this.measureListingAges() })
    await this.clock.advanceMs(seconds * 1_000)
    const fewestKnown = Math.min(...await Promise.all([...this.processes.values()].map(countKnown)))
    for (const process of this.processes.values()) process.stop.abort()
    return { ...this.countCalls(), fewestKnown, longestConfigMs: this.longestMs.config, longestDrainMs: this.longestMs.drain, longestNewTargetMs: this.longestMs.newTarget, longestStartMs: this.longestMs.start, longestReadGapMs: this.longestReadGapMs(), longestListingAgeMs: this.longestMs.listingAge }
  }

  private scheduleChanges (): void {
    const { configAtMs = [], drainAtMs = [], newTargetAtMs = [] } = this.options
    for (const atMs of configAtMs) {
      this.clock.after(atMs, () => {
        const version = this.store.acceptConfig()
        this.measure('config', ({ components }) => Number(components.documentTexts.configuration() ?? 0) >= version)
      })
    }
    for (const [index, atMs] of drainAtMs.entries()) {
      this.clock.after(atMs, () => {
        const target = { ...fakeTarget(`t-${index}`), coldForMs: 0, isLeaving: true }
        this.store.putTarget(target)
        this.measure('drain', ({ components }) => components.documentTexts.targets()?.includes(JSON.stringify(target)) === true)
      })
    }
    for (const atMs of newTargetAtMs) {
      this.clock.after(atMs, () => {
        const target = this.createTarget()
        this.store.putTarget(target)
        this.measure('newTarget', ({ components }) => components.documentTexts.targets()?.includes(JSON.stringify(target)) === true)
      })
    }
  }

  private scheduleOutages (): void {
    for (const { fromMs, toMs, includes } of this.options.outages ?? []) {
      for (const machine of this.machines.filter(includes)) {
        this.clock.after(fromMs, () => { this.loseProcess(machine) })
        this.clock.after(toMs + this.random.next() * START_SPREAD_MS, () => { this.start(machine, false) })
      }
    }
  }

  private createTarget (): ListedTarget {
    return { ...fakeTarget(`t-${this.targetCount++}`), coldForMs: 0 }
  }

  /** Measures the time until all daemons that run know of a change. */
  private measure (name: 'config' | 'drain' | 'newTarget', isHeld: Held): void {
    const acceptedAtMs = this.clock.monotonicMs()
    const waiting = new Set([...this.processes.values()].filter(({ components }) => components.isReady()))
    const check = (): void => {
      const delayMs = this.clock.monotonicMs() - acceptedAtMs
      for (const process of waiting) if (!this.isRunning(process) || isHeld(process)) waiting.delete(process)
      this.longestMs[name] = Math.max(this.longestMs[name], delayMs)
      if (waiting.size > 0 && delayMs < MAX_DELAY_MS) this.clock.after(CHECK_MS, check)
    }
    this.clock.after(CHECK_MS, check)
  }

  private measureListingAges (): void {
    for (const process of this.processes.values()) {
      if (!this.isInTouch(process)) continue
      const text = process.components.documentTexts.targets()
      const ageMs = text === undefined ? Infinity : (JSON.parse(text) as PeerListing).ageMs
      this.longestMs.listingAge = Math.max(this.longestMs.listingAge, ageMs)
    }
    this.clock.after(CHECK_MS, () => { this.measureListingAges() })
  }

  private isInTouch ({ machine, startedAtMs }: Process): boolean {
    const atMs = this.clock.monotonicMs()
    const isCut = (this.options.storeFaults ?? []).some(({ fromMs, toMs, includes }) => atMs >= fromMs && atMs < toMs + IN_TOUCH_AFTER_MS && includes(machine))
    return !isCut && atMs - startedAtMs >= IN_TOUCH_AFTER_MS
  }

  private isRunning (process: Process): boolean {
    return this.processes.get(process.machine.host) === process
  }

  private start (machine: SimulatedMachine, isFirstStart: boolean): void {
    const nowMs = this.clock.monotonicMs()
    const random = { ...SeededRandom.create(this.random.int(1_000_000)), id: () => `${machine.instanceId}-${nowMs}` }
    const settings = this.settingsOf(machine, isFirstStart)
    const listeners: Array<Process['receive']> = []
    const components = composeGateway({
      settings,
      liveSettings: LiveSettings.create(settings, async () => ok(settings), silentLog),
      uptimeMs: this.clock.monotonicMs,
      clock: this.clock,
      random,
      log: silentLog,
      store: this.store.client(machine.instanceId),
      headers: { requestId: 'a', deadline: 'b', expectedTarget: 'c', notRun: 'd', signature: 'e', leaving: 'f', limit: 'g', account: 'h' },
      datagrams: this.datagramsOf(machine, listeners),
      fetchDocument: this.fetchFor(machine)
    })
    const process: Process = { machine, startedAtMs: nowMs, components, stop: new AbortController(), receive: (bytes, host) => { for (const receive of listeners) receive(bytes, host) } }
    this.processes.set(machine.host, process)
    this.startsAtMs.set(machine.instanceId, [...this.startsAtMs.get(machine.instanceId) ?? [], nowMs])
    for (const task of components.tasks) task(process.stop.signal).catch(() => {})
    this.measureStart(process)
  }

  private measureStart (process: Process): void {
    const delayMs = this.clock.monotonicMs() - process.startedAtMs
    if (!this.isRunning(process)) return
    this.longestMs.start = Math.max(this.longestMs.start, delayMs)
    if (!process.components.isReady() && delayMs < MAX_DELAY_MS) this.clock.after(CHECK_MS, () => { this.measureStart(process) })
  }

  /** Ends a process without a farewell, as a loss of power does. */
  private loseProcess ({ host, instanceId }: SimulatedMachine): void {
    const process = this.processes.get(host)
    this.processes.delete(host)
    this.store.dropWatches(instanceId)
    process?.stop.abort()
  }

  private settingsOf ({ instanceId, host, zone, index }: SimulatedMachine, isFirstStart: boolean): GatewaySettings {
    const address = { host, port: 1 }
    return {
      instanceId,
      availabilityZone: zone,
      availabilityZones: this.options.daemons.map((_, number) => `zone-${number}`),
      isFirstStart,
      callers: address,
      readiness: address,
      peers: address,
      bootstrapHosts: this.options.bootstrapHosts ?? ['10.0.0.2', '10.1.0.2'],
      store: address,
      maxDescriptors: 4_096,
      cores: index < 2 ? 1 : 0.2,
      linkMbps: 200,
      memoryMb: 300,
      bounds: { graceMs: 6_000, targetDrainMs: this.options.boundMs ?? DEFAULT_BOUND_MS, configApplyMs: this.options.boundMs ?? DEFAULT_BOUND_MS, retryShare: 0.2, retrySlack: 50, retryWindowMs: 10_000, floorShare: 0.7, keyRevocationMs: 5_000, isKeyRevocationStrict: false, quota: { windowMs: 5_000, overageShare: 0.1, slackRequests: 20 } }
    }
  }

  private datagramsOf (from: SimulatedMachine, listeners: Array<Process['receive']>): Datagrams {
    const isFromProcess = (): boolean => this.processes.get(from.host)?.stop.signal.aborted === false
    return {
      send: (host, bytes) => {
        const to = this.processes.get(host)
        if (to === undefined || !isFromProcess() || !this.isConnected(from, to.machine) || this.random.next() < (this.options.lossShare ?? 0)) return
        this.clock.after(this.delayMs(from, to.machine), () => { if (this.isRunning(to)) to.receive(bytes, from.host) })
      },
      onDatagram: listener => { listeners.push(listener) },
      close: () => {}
    }
  }

  private fetchFor (from: SimulatedMachine): FetchPeerDocument {
    return async (_clock, { host }, name) => {
      const to = this.processes.get(host)
      if (to === undefined || !this.isConnected(from, to.machine) || this.isIn(this.options.documentFaults, from)) {
        await this.clock.sleepMs(FETCH_TIMEOUT_MS)
        return err('no answer')
      }
      // The connection is opened first.
      await this.clock.sleepMs(4 * this.delayMs(from, to.machine))
      const text = to.components.documentTexts[name]()
      if (name === 'configuration' && this.options.configBytes !== undefined) await this.links.transfer(host, from.host, this.options.configBytes)
      return text === undefined ? err('status 404') : ok(text)
    }
  }

  private delayMs (from: SimulatedMachine, to: SimulatedMachine): number {
    return from.zone === to.zone ? IN_ZONE_DELAY_MS : CROSS_ZONE_DELAY_MS
  }

  private isIn (periods: readonly MachinePeriod[] = [], machine: SimulatedMachine): boolean {
    const atMs = this.clock.monotonicMs()
    return periods.some(({ fromMs, toMs, includes }) => atMs >= fromMs && atMs < toMs && includes(machine))
  }

  private isConnected (from: SimulatedMachine, to: SimulatedMachine): boolean {
    const atMs = this.clock.monotonicMs()
    return from.zone === to.zone || !(this.options.partitions ?? []).some(({ fromMs, toMs, includes }) => atMs >= fromMs && atMs < toMs && includes(from) !== includes(to))
  }

  private faultOf (instanceId: string): SimulatedStoreFault {
    const atMs = this.clock.monotonicMs()
    const machine = this.machineOf(instanceId)
    return (this.options.storeFaults ?? []).find(({ fromMs, toMs, includes }) => atMs >= fromMs && atMs < toMs && machine !== undefined && includes(machine))?.fault ?? 'none'
  }

  private machineOf (instanceId: string): SimulatedMachine | undefined {
    return this.machines.find(machine => machine.instanceId === instanceId)
  }

  private countCalls (): Pick<StoreCallsResult, 'calls' | 'total'> {
    const calls = new Map<string, number>()
    for (const { kind, instanceId, atMs, isFailed } of this.store.calls) {
      const isStart = (this.startsAtMs.get(instanceId) ?? []).some(startMs => atMs >= startMs && atMs < startMs + START_PHASE_MS)
      const role = ROLES[this.machineOf(instanceId)?.index ?? -1] ?? 'others'
      const cause = isFailed ? `turned away: ${kind}` : isStart ? `start: ${kind}` : kind === 'listing' ? `steady: ${kind}, ${role}` : `steady: ${kind}`
      calls.set(cause, (calls.get(cause) ?? 0) + 1)
    }
    return { calls: new Map([...calls].sort(([, a], [, b]) => b - a)), total: this.store.calls.length }
  }

  private longestReadGapMs (): number {
    const readsAtMs = this.store.calls.filter(({ kind, isFailed }) => kind === 'listing' && !isFailed).map(({ atMs }) => atMs)
    return Math.max(0, ...readsAtMs.map((atMs, index) => atMs - (readsAtMs[index - 1] ?? atMs)))
  }
}
