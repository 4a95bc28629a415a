import { PoisonRequestDetector } from '@lovagehoist/callers'
import { SeededRandom, silentLog } from '@lovagehoist/common'
import type { InstanceRecord } from '@lovagehoist/common'
import { ManualClock } from '@lovagehoist/common/testing'
import { RelayNode } from '@lovagehoist/peers'
import type { Datagrams } from '@lovagehoist/peers'

/** Time within the simulation, in milliseconds since its start. */
type SimulatedMs = number

/** Size and faults of a simulation. */
export interface CrashSimulationOptions {
  readonly seed: number
  readonly daemons: number
  readonly seconds: number
  /** Time between two repetitions of the crashing request, each at any daemon. */
  readonly repeatMs: number
  /** Zones that can't exchange datagrams at a time; all can by default. */
  readonly isCut?: (fromZone: string, toZone: string, atMs: SimulatedMs) => boolean
  /** Interval at which the first relays of all zones restart; never by default. */
  readonly relayRestartMs?: number
  /** Interval at which one daemon in this many restarts; none by default. */
  readonly restarts?: { readonly everyMs: number, readonly oneIn: number }
  /** Times at which the request is repeated; always by default. */
  readonly isRepeating?: (atMs: SimulatedMs) => boolean
}

/** What the targets saw of the crashing request. */
export interface CrashSimulationResult {
  readonly targetsCrashed: number
  /** Retries that reached targets later than the stability window after the third crash. */
  readonly sentAfterThird: number
  /** Time from the third crash to the last time that a daemon sent the request. */
  readonly stopMs: number
}

const ZONES = ['a', 'b', 'c'] as const
const WARM_UP_MS = 3_000
const STABILITY_WINDOW_MS = 3_000
const ALLOWED_CRASHES = 3
const MAX_ATTEMPTS = 2
const WORK_MS = 90
const NETWORK_DELAY_MS = 2
/** A restarted daemon holds requests back until its first view, for this long at most. */
const STARTUP_MS = 1_000
const GATE_POLL_MS = 10
const REQUEST = { method: 'GET', path: '/menus/1', callerAddress: '10.0.0.1', body: undefined }

interface SimulatedDaemon {
  readonly record: InstanceRecord
  readonly detector: PoisonRequestDetector
  readonly relay: RelayNode
  readonly stopping: AbortController
  readonly startedAtMs: number
}

/** Runs the relays and detectors of a whole fleet in virtual time, while a request that crashes each target comes again and again. */
export class CrashSimulation {
  private readonly clock = ManualClock.create()
  private readonly random: SeededRandom
  private readonly listeners = new Map<string, { readonly zone: string, readonly receive: (bytes: Uint8Array, host: string) => void }>()
  private readonly crashedAtMs: number[] = []
  private readonly sentAtMs: number[] = []
  private readonly daemons: SimulatedDaemon[]
  private restartCount = 0

  private constructor (private readonly options: CrashSimulationOptions) {
    this.random = SeededRandom.create(options.seed)
    const records = Array.from({ length: options.daemons }, (_, index) => this.createRecord(index))
    this.daemons = records.map(record => this.createDaemon(record, records))
  }

  /** Runs a simulation to its end. */
  static async run (options: CrashSimulationOptions): Promise<CrashSimulationResult> {
    const simulation = new CrashSimulation(options)
    return await simulation.run()
  }

  private async run (): Promise<CrashSimulationResult> {
    const { seconds, repeatMs, relayRestartMs, restarts } = this.options
    await this.clock.advanceMs(WARM_UP_MS)
    this.repeat(repeatMs, () => { this.repeatRequest() })
    if (relayRestartMs !== undefined) this.repeat(relayRestartMs, () => { this.restartFirstRelays() })
    if (restarts !== undefined) this.repeat(restarts.everyMs, () => { this.restartOneIn(restarts.oneIn) })
    await this.clock.advanceMs(seconds * 1_000)
    for (const { stopping } of this.daemons) stopping.abort()
    const thirdMs = this.crashedAtMs[ALLOWED_CRASHES - 1] ?? Infinity
    return {
      targetsCrashed: this.crashedAtMs.length,
      sentAfterThird: this.sentAtMs.filter(atMs => atMs > thirdMs + STABILITY_WINDOW_MS).length,
      stopMs: Math.max(0, ...this.sentAtMs.map(atMs => atMs - thirdMs))
    }
  }

  private createRecord (index: number): InstanceRecord {
    return { instanceId: `d${String(index).padStart(3, '0')}`, startId: `d${index}-0`, host: `10.0.${Math.floor(index / 250)}.${index % 250}`, availabilityZone: ZONES[index % ZONES.length] ?? 'a', relayFitness: 1 }
  }

  private createDaemon (record: InstanceRecord, known: readonly InstanceRecord[]): SimulatedDaemon {
    const detector = PoisonRequestDetector.create(this.clock)
    const relay = RelayNode.create({
      self: record,
      bootstrapHosts: () => known.slice(0, 3).map(({ host }) => host),
      clock: this.clock,
      log: silentLog,
      datagrams: this.datagramsOf(record),
      localCounters: { onChange: () => {}, collectCounters: () => [], countTargets: () => 0, applyFleetStats: () => {} },
      fleetStats: { applyDaemonReport: () => false, applyZoneReport: () => false, ownZoneCounters: () => [], targetStats: () => [], sweep: () => {} },
      news: [detector.news],
      limits: { onChange: () => {}, report: () => ({ limits: [], demand: [], settled: [] }), applyReport: () => false, zoneLimits: () => ({ limits: [], demand: [] }), applyZoneLimits: () => false, view: () => ({ limits: [], permits: [] }), applyView: () => {} },
      heldVersions: () => ({ configVersion: 0, listingDigest: '', listingVersion: -1, listingAgeMs: 0, configAgeMs: 0 }),
      onReportedReads: () => false,
      onPeerVersions: () => {}
    })
    relay.peers.addKnown(known)
    const stopping = new AbortController()
    relay.run(stopping.signal).catch(() => {})
    return { record, detector, relay, stopping, startedAtMs: this.clock.monotonicMs() }
  }

  private datagramsOf ({ host, availabilityZone }: InstanceRecord): Datagrams {
    return {
      send: (to, bytes) => {
        this.clock.after(NETWORK_DELAY_MS, () => {
          const receiver = this.listeners.get(to)
          if (receiver === undefined || this.options.isCut?.(availabilityZone, receiver.zone, this.elapsedMs()) === true) return
          receiver.receive(bytes, host)
        })
      },
      onDatagram: receive => { this.listeners.set(host, { zone: availabilityZone, receive }) },
      close: () => {}
    }
  }

  private elapsedMs (): SimulatedMs {
    return this.clock.monotonicMs() - WARM_UP_MS
  }

  private repeat (intervalMs: number, run: () => void): void {
    this.clock.after(intervalMs, () => {
      run()
      this.repeat(intervalMs, run)
    })
  }

  private repeatRequest (): void {
    if (this.options.isRepeating?.(this.elapsedMs()) === false) return
    const daemon = this.daemons[this.random.int(this.daemons.length)]
    if (daemon !== undefined) this.attempt(daemon, MAX_ATTEMPTS)
  }

  /** Sends the request unless the daemon knows better; a target crashes under it, and the next attempt follows. */
  private attempt (daemon: SimulatedDaemon, attemptsLeft: number): void {
    const isWaiting = daemon.startedAtMs > 0 && !daemon.relay.hasView && this.clock.monotonicMs() - daemon.startedAtMs < STARTUP_MS
    if (isWaiting) {
      this.clock.after(GATE_POLL_MS, () => { this.attempt(daemon, attemptsLeft) })
      return
    }
    if (attemptsLeft === 0 || daemon.stopping.signal.aborted || daemon.detector.isPoison(() => REQUEST)) return
    this.sentAtMs.push(this.clock.monotonicMs())
    this.clock.after(WORK_MS, () => {
      this.crashedAtMs.push(this.clock.monotonicMs())
      if (daemon.stopping.signal.aborted) return
      daemon.detector.recordCrash(REQUEST, { id: `t${this.crashedAtMs.length}`, startedAtMs: 0 })
      this.attempt(daemon, attemptsLeft - 1)
    })
  }

  private restartFirstRelays (): void {
    for (const zone of ZONES) {
      const index = this.daemons.findIndex(({ record, relay }) => record.availabilityZone === zone && relay.relayRank === 0)
      if (index >= 0) this.restart(index)
    }
  }

  private restartOneIn (oneIn: number): void {
    const offset = this.random.int(oneIn)
    this.daemons.forEach((_, index) => { if (index % oneIn === offset) this.restart(index) })
  }

  private restart (index: number): void {
    const previous = this.daemons[index]
    if (previous === undefined) return
    previous.stopping.abort()
    const record = { ...previous.record, startId: `${previous.record.instanceId}-${++this.restartCount}` }
    this.daemons[index] = this.createDaemon(record, this.daemons.map(({ record: { ...other } }) => other))
  }
}
