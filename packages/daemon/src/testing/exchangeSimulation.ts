import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { InstanceRecord } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/testing'
import { RelayNode } from '@lovagehoist/peers'
import { FleetStatsAggregator, TargetStatsTracker } from '@lovagehoist/targets'
import { SimulatedNetwork } from './simulatedNetwork.js'

/** Size and load of a simulated fleet. */
export interface ExchangeSimulationOptions {
  readonly seed: number
  /** Daemons of each zone. */
  readonly daemons: readonly number[]
  readonly targets: number
  /** Requests per second of the whole fleet. */
  readonly requestsPerSecond: number
  /** Share of the requests that fail. */
  readonly errorShare: number
  readonly seconds: number
  /** Whether a daemon has lost power at a time; none has by default. */
  readonly isDown?: (record: InstanceRecord, atMs: number) => boolean
}

/** Datagrams between the daemons after the warm-up. */
export interface ExchangeSimulationResult {
  /** Datagrams per second that a daemon which is not a relay receives, the largest of all daemons. */
  readonly memberReceivesPerSecond: number
  /** Datagrams per second that a relay sends, the largest of all relays. */
  readonly relaySendsPerSecond: number
  /** Bytes per second that such a daemon receives, the largest of all. */
  readonly memberBytesPerSecond: number
  /** Bytes per second that cross zones. */
  readonly crossZoneBytesPerSecond: number
  /** Length of the longest datagram in bytes. */
  readonly longestBytes: number
  /** Time from a failure to its arrival at the other daemons of the zone, the largest of all means by daemon. */
  readonly failureDelayMs: number
  /** Largest time for which a daemon that runs and is not a relay received no view. */
  readonly longestSilenceMs: number
}

interface SimulatedDaemon {
  readonly record: InstanceRecord
  readonly relay: RelayNode
  readonly tracker: TargetStatsTracker
}

const SERVICE = 's'
const WARM_UP_MS = 3_000
const WORK_MS = 500
const IN_ZONE_DELAY_MS = 0.2
const CROSS_ZONE_DELAY_MS = 4.5
const FITTEST_PER_ZONE = 3
/** Share of the requests that stay in the zone of their daemon. */
const LOCAL_SHARE = 0.9
const FAILURE_CHECK_MS = 10
const SUSPECT_CHANCE = 0.2
const MAX_FAILURE_DELAY_MS = 2_000

/** Exchange of limits that targets name, without any. */
export const noLimits = { onChange: () => {}, report: () => ({ limits: [], demand: [], settled: [] }), applyReport: () => false, zoneLimits: () => ({ limits: [], demand: [] }), applyZoneLimits: () => false, view: () => ({ limits: [], permits: [] }), applyView: () => {} }

/** Runs the exchange of load and failures between all daemons of a fleet in virtual time. */
export class ExchangeSimulation {
  private readonly clock = ManualClock.create()
  private readonly random: SeededRandom
  private readonly network: SimulatedNetwork
  private readonly received = new Map<string, number>()
  private readonly receivedBytes = new Map<string, number>()
  private readonly sent = new Map<string, number>()
  private readonly lastReceivedAtMs = new Map<string, number>()
  private readonly failureDelaysMs: number[] = []
  private readonly daemons: readonly SimulatedDaemon[]
  private crossZoneBytes = 0
  private longestBytes = 0
  private longestSilenceMs = 0

  private constructor (private readonly options: ExchangeSimulationOptions) {
    this.random = SeededRandom.create(options.seed)
    this.network = this.createNetwork()
    const records = options.daemons.flatMap((count, zone) => Array.from({ length: count }, (_, index) => this.createRecord(zone, index)))
    this.daemons = records.map(record => this.createDaemon(record, records))
  }

  /** Runs a simulation to its end. */
  static async run (options: ExchangeSimulationOptions): Promise<ExchangeSimulationResult> {
    return await new ExchangeSimulation(options).run()
  }

  private async run (): Promise<ExchangeSimulationResult> {
    const { seconds } = this.options
    this.scheduleRequest()
    await this.clock.advanceMs(WARM_UP_MS)
    this.received.clear()
    this.receivedBytes.clear()
    this.sent.clear()
    this.crossZoneBytes = 0
    await this.clock.advanceMs(seconds * 1_000)
    for (const { record, relay } of this.daemons) if (relay.relayRank < 0) this.recordSilence(record)
    const isRelay = new Map(this.daemons.map(({ record, relay }) => [record.host, relay.relayRank >= 0]))
    const largest = (counts: ReadonlyMap<string, number>, relays: boolean): number => Math.max(0, ...[...counts].filter(([host]) => isRelay.get(host) === relays).map(([, count]) => count / seconds))
    return {
      memberReceivesPerSecond: largest(this.received, false),
      memberBytesPerSecond: largest(this.receivedBytes, false),
      relaySendsPerSecond: largest(this.sent, true),
      crossZoneBytesPerSecond: this.crossZoneBytes / seconds,
      longestBytes: this.longestBytes,
      failureDelayMs: this.failureDelaysMs.reduce((sum, delayMs) => sum + delayMs, 0) / Math.max(1, this.failureDelaysMs.length),
      longestSilenceMs: this.longestSilenceMs
    }
  }

  private createRecord (zone: number, index: number): InstanceRecord {
    const name = `edge-${zone}-${String(index).padStart(3, '0')}`
    return { instanceId: name, startId: `${name}-0`, host: `10.${zone}.0.${index}`, availabilityZone: `zone-${zone}`, relayFitness: index < FITTEST_PER_ZONE ? 1 : 0.2 }
  }

  private createDaemon (record: InstanceRecord, known: readonly InstanceRecord[]): SimulatedDaemon {
    const tracker = TargetStatsTracker.create(this.clock, () => SERVICE)
    const relay: RelayNode = RelayNode.create({
      self: record,
      bootstrapHosts: () => [],
      clock: this.clock,
      log: silentLog,
      datagrams: this.network.datagramsOf(record),
      localCounters: tracker,
      fleetStats: FleetStatsAggregator.create(this.clock),
      news: [],
      limits: noLimits,
      heldVersions: () => ({ configVersion: 1, listingDigest: 'digest', listingVersion: 1, listingAgeMs: 0, configAgeMs: 0 }),
      onReportedReads: () => false,
      onPeerVersions: () => { if (relay.relayRank < 0) this.recordSilence(record) }
    })
    relay.peers.addKnown(known)
    relay.run(new AbortController().signal).catch(() => {})
    return { record, relay, tracker }
  }

  private isDown (record: InstanceRecord): boolean {
    return this.options.isDown?.(record, this.clock.monotonicMs() - WARM_UP_MS) === true
  }

  private createNetwork (): SimulatedNetwork {
    return SimulatedNetwork.create({
      clock: this.clock,
      inZoneDelayMs: IN_ZONE_DELAY_MS,
      crossZoneDelayMs: CROSS_ZONE_DELAY_MS,
      isDown: record => this.isDown(record),
      onSent: ({ from: { host }, bytes, isCrossZone }) => {
        this.sent.set(host, (this.sent.get(host) ?? 0) + 1)
        this.longestBytes = Math.max(this.longestBytes, bytes)
        if (isCrossZone) this.crossZoneBytes += bytes
      },
      onReceived: ({ to: { host }, bytes }) => {
        this.received.set(host, (this.received.get(host) ?? 0) + 1)
        this.receivedBytes.set(host, (this.receivedBytes.get(host) ?? 0) + bytes)
      }
    })
  }

  /** Records the time since the previous view of a daemon that runs. */
  private recordSilence (record: InstanceRecord): void {
    const nowMs = this.clock.monotonicMs()
    const previousMs = this.lastReceivedAtMs.get(record.host) ?? nowMs
    this.lastReceivedAtMs.set(record.host, nowMs)
    if (nowMs > WARM_UP_MS && !this.isDown(record)) this.longestSilenceMs = Math.max(this.longestSilenceMs, nowMs - previousMs)
  }

  private scheduleRequest (): void {
    const { requestsPerSecond } = this.options
    this.clock.after(-Math.log(1 - this.random.next()) * 1_000 / requestsPerSecond, () => {
      this.scheduleRequest()
      const daemon = this.daemons[this.random.int(this.daemons.length)]
      if (daemon !== undefined && !this.isDown(daemon.record)) this.send(daemon)
    })
  }

  private send ({ record, tracker }: SimulatedDaemon): void {
    const targetId = this.chooseTarget(record)
    const attempt = tracker.startAttempt(targetId, SERVICE)
    const isFailing = this.random.next() < this.options.errorShare
    this.clock.after(isFailing ? 0 : WORK_MS, () => {
      attempt.end(isFailing ? 'failed' : 'succeeded', isFailing ? 1 : WORK_MS)
      if (isFailing && this.clock.monotonicMs() > WARM_UP_MS) this.measureFailureDelay(record, targetId)
    })
  }

  /** Chooses a target, mostly in the zone of the daemon. */
  private chooseTarget ({ availabilityZone }: InstanceRecord): string {
    const zones = this.options.daemons.length
    const index = this.random.int(this.options.targets)
    const isLocal = this.random.next() < LOCAL_SHARE
    const zone = Number(availabilityZone.slice('zone-'.length))
    return `i-${String(isLocal ? index - index % zones + zone : index).padStart(10, '0')}`
  }

  /** Measures the time until a daemon of the same zone suspects a target that failed. */
  private measureFailureDelay (from: InstanceRecord, targetId: string): void {
    const observers = this.daemons.filter(({ record, relay }) => record.availabilityZone === from.availabilityZone && record.host !== from.host && relay.relayRank < 0)
    const observer = observers[this.random.int(Math.max(1, observers.length))]
    const failedAtMs = this.clock.monotonicMs()
    const check = (): void => {
      const delayMs = this.clock.monotonicMs() - failedAtMs
      if (delayMs < MAX_FAILURE_DELAY_MS && observer !== undefined && observer.tracker.estimate(targetId).failingChance < SUSPECT_CHANCE) this.clock.after(FAILURE_CHECK_MS, check)
      else this.failureDelaysMs.push(delayMs)
    }
    check()
  }
}
