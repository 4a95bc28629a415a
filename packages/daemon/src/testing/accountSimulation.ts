import { AccountAllowances } from '@lovagehoist/callers'
import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { ClientAccount, InstanceRecord, QuotaBounds } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/testing'
import { RelayNode } from '@lovagehoist/peers'
import { AccountLoad } from './accountLoad.js'
import type { AccountLoadOptions } from './accountLoad.js'
import { AccountTally } from './accountTally.js'
import type { AccountResult } from './accountTally.js'
import { noLimits } from './exchangeSimulation.js'
import { SimulatedNetwork } from './simulatedNetwork.js'

/** Time within the simulation, in milliseconds since the load began. */
type SimulatedMs = number

/** A daemon before a restart. */
export interface DaemonState {
  readonly record: InstanceRecord
  /** Position within its zone. */
  readonly index: number
  readonly relayRank: number
}

/** Size, load and faults of a simulation. */
export interface AccountSimulationOptions extends AccountLoadOptions {
  readonly seed: number
  /** Daemons of each zone. */
  readonly daemons: readonly number[]
  readonly seconds: number
  /** Latency between zones; 5.4 ms by default. */
  readonly crossZoneDelayMs?: number
  /** Share of the datagrams that are lost; none by default. */
  readonly lostShare?: number
  /** Zones that can't exchange datagrams at a time; all can by default. */
  readonly isCut?: (fromZone: string, toZone: string, atMs: SimulatedMs) => boolean
  /** Daemons that are killed at a time and start again as new processes later. */
  readonly restarts?: { readonly atMs: SimulatedMs, readonly downMs: number, readonly isHit: (daemon: DaemonState) => boolean }
  /** Factor of all quotas from a time on. */
  readonly quotaChange?: { readonly atMs: SimulatedMs, readonly factor: number }
  /** Whether the configuration names accounts; it does by default. */
  readonly hasAccounts?: boolean
  /** Share of the admitted requests that no target runs; none by default. */
  readonly notRunShare?: number
}

/** What the accounts saw, and what the exchange cost. */
export interface AccountSimulationResult {
  readonly accounts: readonly AccountResult[]
  /** Datagrams and bytes per second that all daemons sent. */
  readonly datagramsPerSecond: number
  readonly bytesPerSecond: number
  /** Bytes per second that cross zones. */
  readonly crossZoneBytesPerSecond: number
}

interface SimulatedDaemon {
  readonly record: InstanceRecord
  readonly index: number
  readonly relay: RelayNode
  readonly allowances: AccountAllowances
  readonly stopping: AbortController
  readonly startedAtMs: number
  readonly notifyCounters: () => void
}

const WARM_UP_MS = 2_000
const IN_ZONE_DELAY_MS = 0.2
const CROSS_ZONE_DELAY_MS = 5.4
const FITTEST_PER_ZONE = 3
const BOUNDS: QuotaBounds = { windowMs: 5_000, overageShare: 0.1, slackRequests: 20 }
/** A restarted daemon holds requests back until its first view, for this long at most. */
const STARTUP_MS = 1_000
/** Daemons don't tick at the same moments. */
const MAX_START_DELAY_MS = 100
const GATE_POLL_MS = 10
const WORK_MS = 150
const heldVersions = { configVersion: 1, listingDigest: 'digest', listingVersion: 1, listingAgeMs: 0, configAgeMs: 0 }

/** Runs the relays and account allowances of a whole fleet in virtual time. */
export class AccountSimulation {
  private readonly clock = ManualClock.create()
  private readonly random: SeededRandom
  private readonly network: SimulatedNetwork
  private readonly load: AccountLoad
  private readonly tally: AccountTally
  private readonly records: readonly InstanceRecord[]
  private readonly daemons: SimulatedDaemon[]
  private readonly down = new Set<string>()
  private accounts: readonly ClientAccount[]
  private restartCount = 0
  /** Time at which all daemons started again, if they did. */
  private emptiedAtMs = Infinity
  private datagrams = 0
  private bytes = 0
  private crossZoneBytes = 0

  private constructor (private readonly options: AccountSimulationOptions) {
    this.random = SeededRandom.create(options.seed)
    this.load = AccountLoad.create(options, this.random)
    this.accounts = this.load.accounts
    this.tally = AccountTally.create(BOUNDS)
    this.network = this.createNetwork()
    this.records = options.daemons.flatMap((count, zone) => Array.from({ length: count }, (_, index) => this.createRecord(zone, index)))
    this.daemons = this.records.map((record, index) => this.createDaemon(record, index))
  }

  /** Runs a simulation to its end. */
  static async run (options: AccountSimulationOptions): Promise<AccountSimulationResult> {
    return await new AccountSimulation(options).run()
  }

  private async run (): Promise<AccountSimulationResult> {
    const { seconds, restarts, quotaChange } = this.options
    await this.clock.advanceMs(WARM_UP_MS)
    this.datagrams = 0
    this.bytes = 0
    this.crossZoneBytes = 0
    this.load.accounts.forEach((_, account) => { this.scheduleRequest(account) })
    if (restarts !== undefined) this.clock.after(restarts.atMs, () => { this.restart(restarts) })
    if (quotaChange !== undefined) this.clock.after(quotaChange.atMs, () => { this.accounts = this.accounts.map(account => ({ ...account, requestsPerSecond: account.requestsPerSecond * quotaChange.factor, burst: account.burst * quotaChange.factor })) })
    await this.clock.advanceMs(seconds * 1_000)
    for (const { stopping } of this.daemons) stopping.abort()
    return {
      accounts: this.tally.results(this.load.accounts, quotaChange, this.emptiedAtMs),
      datagramsPerSecond: this.datagrams / seconds,
      bytesPerSecond: this.bytes / seconds,
      crossZoneBytesPerSecond: this.crossZoneBytes / seconds
    }
  }

  private createNetwork (): SimulatedNetwork {
    return SimulatedNetwork.create({
      clock: this.clock,
      inZoneDelayMs: IN_ZONE_DELAY_MS,
      crossZoneDelayMs: this.options.crossZoneDelayMs ?? CROSS_ZONE_DELAY_MS,
      isDown: ({ instanceId }) => this.down.has(instanceId),
      isLost: ({ from, to }) => this.options.isCut?.(from.availabilityZone, to.availabilityZone, this.elapsedMs()) === true || (this.options.lostShare !== undefined && this.random.next() < this.options.lostShare),
      onSent: ({ bytes, isCrossZone }) => {
        this.datagrams++
        this.bytes += bytes
        if (isCrossZone) this.crossZoneBytes += bytes
      }
    })
  }

  private createRecord (zone: number, index: number): InstanceRecord {
    const name = `edge-${zone}-${String(index).padStart(3, '0')}`
    return { instanceId: name, startId: `${name}-0`, host: `10.${zone}.0.${index}`, availabilityZone: `zone-${zone}`, relayFitness: index < FITTEST_PER_ZONE ? 1 : 0.2 }
  }

  private createDaemon (record: InstanceRecord, index: number): SimulatedDaemon {
    const allowances: AccountAllowances = AccountAllowances.create({
      clock: this.clock,
      random: this.random,
      log: silentLog,
      startId: record.startId,
      availabilityZone: record.availabilityZone,
      role: {
        relayRank: () => relay.relayRank,
        zones: () => this.options.daemons.map((_, zone) => `zone-${zone}`),
        zoneSilenceMs: zone => relay.peers.zoneSilenceMs(zone),
        viewAgeMs: () => relay.viewAgeMs,
        knownDaemons: () => relay.peers.size,
        zoneDaemons: () => ({ known: relay.peers.zoneSize, heard: relay.peers.heardInZone().length })
      },
      accounts: () => this.options.hasAccounts === false ? undefined : this.accounts,
      bounds: () => BOUNDS
    })
    let notifyCounters = (): void => {}
    const relay: RelayNode = RelayNode.create({
      self: record,
      bootstrapHosts: () => [],
      clock: this.clock,
      log: silentLog,
      datagrams: this.network.datagramsOf(record),
      localCounters: { onChange: listener => { notifyCounters = () => { listener(false) } }, collectCounters: () => [], countTargets: () => 0, applyFleetStats: () => {} },
      fleetStats: { applyDaemonReport: () => false, applyZoneReport: () => false, ownZoneCounters: () => [], targetStats: () => [], sweep: () => {} },
      news: [allowances.news],
      limits: noLimits,
      heldVersions: () => heldVersions,
      onReportedReads: () => false,
      onPeerVersions: () => {}
    })
    relay.peers.addKnown(this.records)
    const stopping = new AbortController()
    this.clock.after(this.random.next() * MAX_START_DELAY_MS, () => { relay.run(stopping.signal).catch(() => {}) })
    return { record, index, relay, allowances, stopping, startedAtMs: this.clock.monotonicMs(), notifyCounters }
  }

  private elapsedMs (): SimulatedMs {
    return this.clock.monotonicMs() - WARM_UP_MS
  }

  private scheduleRequest (account: number): void {
    this.clock.after(this.load.nextDelayMs(account), () => {
      this.scheduleRequest(account)
      if (this.load.isRequest(account, this.elapsedMs())) this.request(account)
    })
  }

  private request (account: number): void {
    const daemon = this.chooseDaemon(account)
    if (daemon === undefined) return
    this.tally.recordDemand(account, this.elapsedMs())
    this.admit(account, daemon)
  }

  private chooseDaemon (account: number): SimulatedDaemon | undefined {
    const zone = this.load.zoneOf(account, this.elapsedMs())
    const running = this.daemons.filter(({ record }) => !this.down.has(record.instanceId))
    const candidates = zone === undefined ? running : running.filter(({ record }) => record.availabilityZone === `zone-${zone}`)
    const chosen = candidates.length > 0 ? candidates : running
    return chosen.length === 0 ? undefined : chosen[this.random.int(chosen.length)]
  }

  private admit (account: number, daemon: SimulatedDaemon): void {
    const { relay, allowances, startedAtMs } = daemon
    const isHeld = startedAtMs > 0 && !relay.hasView && this.clock.monotonicMs() - startedAtMs < STARTUP_MS
    if (isHeld) {
      this.clock.after(GATE_POLL_MS, () => { this.admit(account, daemon) })
      return
    }
    const listed = this.accounts[account]
    if (listed === undefined) return
    const decision = allowances.admit(listed)
    daemon.notifyCounters()
    if (decision.type === 'over-allowance') {
      this.tally.recordRefused(account)
      return
    }
    const atMs = this.elapsedMs()
    const hasRun = this.options.notRunShare === undefined || this.random.next() >= this.options.notRunShare
    if (hasRun) this.tally.recordRun(account, atMs)
    else this.tally.recordNotRun(account)
    this.clock.after(WORK_MS, () => { decision.settle(hasRun) })
  }

  private restart ({ downMs, isHit }: NonNullable<AccountSimulationOptions['restarts']>): void {
    const hit = this.daemons.filter(({ record, index, relay }) => isHit({ record, index, relayRank: relay.relayRank }))
    for (const { record, stopping } of hit) {
      this.down.add(record.instanceId)
      stopping.abort()
    }
    this.clock.after(downMs, () => {
      if (hit.length === this.daemons.length) this.emptiedAtMs = this.elapsedMs()
      for (const { record } of hit) {
        this.down.delete(record.instanceId)
        const position = this.daemons.findIndex(daemon => daemon.record.instanceId === record.instanceId)
        const previous = this.daemons[position]
        if (previous !== undefined) this.daemons[position] = this.createDaemon({ ...record, startId: `${record.instanceId}-${++this.restartCount}` }, previous.index)
      }
    })
  }
}
