import type { PerTarget, CancelTimer, Clock, CrashCounts, FleetTargetStats, InstanceRecord, Log, TargetCounters } from '@lovagehoist/common'
import { CrashLedger } from './crashLedger.js'
import type { Datagrams } from './datagrams.js'
import { decodeMessage, encodeMessage } from './messages.js'
import type { FleetView, HeldFacts, RelayMessage, Report, ZoneSums } from './messages.js'
import { RelayRoster } from './relayRoster.js'

/** What this daemon itself does at targets. */
export interface OwnTallies {
  /** Sets what is told of changes; failures are urgent. */
  readonly onChange: (listener: (isUrgent: boolean) => void) => void
  /** Tallies that changed within a time; all of them without one. */
  readonly takeTallies: (changedWithinMs?: number) => PerTarget<TargetCounters>
  /** Number of all tallies, without taking them as reported. */
  readonly countTallies: () => number
  readonly takeFleet: (readings: PerTarget<FleetTargetStats>) => void
}

/** Merges what daemons and zones report. */
export interface Ledger {
  /** Takes a report; tells whether it has failures that others should know at once. */
  readonly takeDaemon: (startId: string, tallies: PerTarget<TargetCounters>, isFull: boolean, uptimeMs: number) => boolean
  readonly takeZone: (zone: string, tallies: PerTarget<TargetCounters>, isFull: boolean) => boolean
  readonly zoneTallies: () => PerTarget<TargetCounters>
  readonly readings: () => PerTarget<FleetTargetStats>
  readonly sweep: () => void
}

/** Requests that break connections of targets, as this daemon and the fleet see them. */
export interface CrashExchange {
  readonly takeCrashes: () => CrashCounts
  readonly takeFleetCrashes: (counts: CrashCounts) => void
}

/** What a relay node needs. */
export interface RelayNodeOptions {
  readonly self: InstanceRecord
  /** Hosts that are told of this daemon while none of its zone is known. */
  readonly bootstrapHosts: () => readonly string[]
  readonly clock: Clock
  readonly log: Log
  readonly datagrams: Datagrams
  readonly own: OwnTallies
  readonly ledger: Ledger
  readonly crashes: CrashExchange
  readonly facts: () => HeldFacts
  /** Called for each view of another daemon. */
  readonly onFacts: (facts: HeldFacts, from: InstanceRecord) => void
}

/** Rhythm of the loop; changes within it travel together. */
const TICK_MS = 100
/** Delay of a failure, so that several at once travel together. */
const URGENT_MS = 5
/** Longest time between two reports of a quiet daemon. */
const HEARTBEAT_MS = 400
/** Time between two views, and the longest one while nothing changes. */
const VIEW_MS = 150
const QUIET_VIEW_MS = 300
/** Time between two sums to other zones: bytes between zones are dear. */
const ZONE_MS = 800
const FULL_ZONE_MS = 4_000
/** Time between two repeats of what changed lately, which heal lost datagrams. */
const REPEAT_MS = 1_000
const REPEATED_WITHIN_MS = 2_500
/** Up to so many targets, each repeat has all tallies: they fit into a few kilobytes. */
const FEW_TARGETS = 64
/** With more targets, every so many repeats have all. */
const FULL_REPEATS = 10
const MEMBERS_MS = 1_000
/** Begins the names of sources that are zones. */
const ZONE_SOURCE = 'zone '
/** Time after its last report for which a daemon gets views. */
const REPORTER_MS = 1_500

interface Reporter {
  readonly host: string
  heardAtMs: number
}

/** Exchanges load and evidence: daemons report to two relays of their zone, relays answer with the fleet's view. */
export class RelayNode {
  readonly roster: RelayRoster
  private readonly crashes: CrashLedger
  private readonly reporters = new Map<string, Reporter>()
  private readonly published = new Map<string, string>()
  private readonly sentSums = new Map<string, TargetCounters>()
  private relayKey = ''
  private hasNews = false
  private isLeaving = false
  private cancelUrgent: CancelTimer | undefined
  private readonly lastMs = { report: -Infinity, repeat: -Infinity, view: -Infinity, zone: -Infinity, zoneRepeat: -Infinity, members: -Infinity }
  private unreadable = 0
  private repeats = 0
  private readonly startedAtMs: number

  private constructor (private readonly options: RelayNodeOptions) {
    this.startedAtMs = options.clock.monotonicMs()
    this.crashes = CrashLedger.create(options.clock)
    this.roster = RelayRoster.create(options.self, options.clock)
    options.datagrams.onDatagram(bytes => { this.receive(bytes) })
    options.own.onChange(isUrgent => { this.note(isUrgent) })
  }

  /**
   * Creates a node; it sends nothing before it runs.
   *
   * @param options - Transport, tallies and ledger.
   * @returns The node.
   */
  static create (options: RelayNodeOptions): RelayNode {
    return new RelayNode(options)
  }

  /** Datagrams that could not be read. */
  get unreadableCount (): number {
    return this.unreadable
  }

  /** Place of this daemon among the relays of its zone: 0 for the first, -1 for none. */
  get relayRank (): number {
    const { availabilityZone, instanceId } = this.options.self
    return this.roster.relays(availabilityZone).findIndex(relay => relay.instanceId === instanceId)
  }

  /**
   * Runs until stopped; then tells the relays that this daemon leaves.
   *
   * @param signal - Ends the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.tick()
      await this.options.clock.sleepMs(TICK_MS, signal)
    }
    this.cancelUrgent?.()
    this.isLeaving = true
    this.report(this.options.own.takeTallies(), true)
  }

  private note (isUrgent: boolean): void {
    this.hasNews = true
    if (!isUrgent || this.cancelUrgent !== undefined) return
    this.cancelUrgent = this.options.clock.after(URGENT_MS, () => {
      this.cancelUrgent = undefined
      this.tick(true)
    })
  }

  private tick (isUrgent = false): void {
    const nowMs = this.options.clock.monotonicMs()
    this.reportIfDue(nowMs)
    const rank = this.relayRank
    if (this.reporters.size > 0 || rank >= 0) this.publishIfDue(nowMs, isUrgent)
    if (rank === 0) this.sumIfDue(nowMs, isUrgent)
  }

  private reportIfDue (nowMs: number): void {
    const last = this.lastMs
    const relayKey = this.roster.relays(this.options.self.availabilityZone).map(({ startId }) => startId).join()
    const isNewRelay = relayKey !== this.relayKey
    const isRepeat = nowMs - last.repeat >= REPEAT_MS
    if (!isNewRelay && !isRepeat && !this.hasNews && nowMs - last.report < HEARTBEAT_MS) return
    const isFull = isNewRelay || (isRepeat && this.isFullRepeat())
    const changedWithinMs = isRepeat ? REPEATED_WITHIN_MS : nowMs - last.report
    this.relayKey = relayKey
    this.hasNews = false
    last.report = nowMs
    if (isFull || isRepeat) last.repeat = nowMs
    this.report(this.options.own.takeTallies(isFull ? undefined : changedWithinMs), isFull)
  }

  /** Whether a repeat has all tallies, so that a relay that missed the first full report gets another. */
  private isFullRepeat (): boolean {
    this.repeats++
    return this.options.own.countTallies() <= FEW_TARGETS || this.repeats % FULL_REPEATS === 0
  }

  private report (tallies: PerTarget<TargetCounters>, isFull: boolean): void {
    const { self, ledger, datagrams, bootstrapHosts, clock } = this.options
    const uptimeMs = clock.monotonicMs() - this.startedAtMs
    const crashes = this.options.crashes.takeCrashes()
    ledger.takeDaemon(self.startId, tallies, isFull, uptimeMs)
    this.crashes.take(self.startId, crashes)
    const relays = this.roster.relays(self.availabilityZone).filter(({ instanceId }) => instanceId !== self.instanceId)
    const bytes = encodeMessage({ type: 'report', from: self, isFull, isLeaving: this.isLeaving, uptimeMs, tallies, crashes })
    for (const { instanceId, host } of relays) {
      this.roster.asked(instanceId)
      datagrams.send(host, bytes)
    }
    if (this.roster.size === 1) for (const host of bootstrapHosts()) if (host !== self.host) datagrams.send(host, bytes)
  }

  private publishIfDue (nowMs: number, isUrgent: boolean): void {
    const last = this.lastMs
    if (!isUrgent && nowMs - last.view < VIEW_MS) return
    const readings = this.changedReadings(nowMs)
    if (readings.length === 0 && nowMs - last.view < QUIET_VIEW_MS) return
    last.view = nowMs
    this.options.own.takeFleet(readings)
    this.options.crashes.takeFleetCrashes(this.crashes.sums())
    this.sendView(nowMs, readings)
    this.options.ledger.sweep()
  }

  private sendView (nowMs: number, readings: PerTarget<FleetTargetStats>): void {
    const { self, datagrams, facts } = this.options
    for (const [startId, { heardAtMs }] of this.reporters) if (nowMs - heardAtMs > REPORTER_MS) this.reporters.delete(startId)
    if (this.reporters.size === 0) return
    const withMembers = nowMs - this.lastMs.members >= MEMBERS_MS
    if (withMembers) this.lastMs.members = nowMs
    const view: FleetView = { type: 'view', from: self, facts: facts(), readings, members: withMembers ? this.roster.members() : [], crashes: this.crashes.sums() }
    const bytes = encodeMessage(view)
    for (const { host } of this.reporters.values()) datagrams.send(host, bytes)
  }

  /** Readings that differ from the last view; those with requests in progress are repeated. */
  private changedReadings (nowMs: number): PerTarget<FleetTargetStats> {
    const isRepeat = nowMs - this.lastMs.members >= MEMBERS_MS
    return this.options.ledger.readings().filter(([targetId, { inProgress, failingChance, refusalShare, latencyMs }]) => {
      const text = `${inProgress} ${failingChance.toFixed(1)} ${refusalShare.toFixed(1)} ${Math.round(latencyMs / 50)}`
      const isChanged = this.published.get(targetId) !== text
      this.published.set(targetId, text)
      return isChanged || (isRepeat && inProgress > 0)
    })
  }

  /** Sends the sums of the zone: new failures at once, the rest seldom. */
  private sumIfDue (nowMs: number, isUrgent: boolean): void {
    const last = this.lastMs
    const isDue = nowMs - last.zone >= ZONE_MS
    if (!isUrgent && !isDue) return
    const isFull = isDue && nowMs - last.zoneRepeat >= FULL_ZONE_MS
    const tallies = this.options.ledger.zoneTallies().filter(([targetId, tally]) => {
      const before = this.sentSums.get(targetId)
      const hasFailed = tally.failed + tally.failedEarly > (before === undefined ? 0 : before.failed + before.failedEarly)
      const isSent = isFull || hasFailed || (isDue && JSON.stringify(before) !== JSON.stringify(tally))
      if (isSent) this.sentSums.set(targetId, tally)
      return isSent
    })
    if (tallies.length === 0 && !isFull) return
    if (isDue) last.zone = nowMs
    if (isFull) last.zoneRepeat = nowMs
    this.sendSums(tallies, isFull)
  }

  private sendSums (tallies: PerTarget<TargetCounters>, isFull: boolean): void {
    const { self, datagrams } = this.options
    const crashes = this.crashes.sums(source => !source.startsWith(ZONE_SOURCE))
    const bytes = encodeMessage({ type: 'zone', from: self, isFull, tallies, crashes })
    for (const zone of this.roster.zones()) {
      if (zone === self.availabilityZone) continue
      for (const { host } of this.roster.relays(zone)) datagrams.send(host, bytes)
    }
  }

  private receive (bytes: Uint8Array): void {
    const message = decodeMessage(bytes)
    if (message === undefined) {
      this.unreadable++
      return
    }
    if (message.from.instanceId === this.options.self.instanceId) return
    const handle = this.handlers[message.type] as (message: RelayMessage) => void
    if (this.roster.heard(message.from)) this.options.log.info('peer seen', { peer: message.from.instanceId, zone: message.from.availabilityZone })
    handle(message)
  }

  private readonly handlers: { readonly [Type in RelayMessage['type']]: (message: Extract<RelayMessage, { readonly type: Type }>) => void } = {
    report: message => { this.takeReport(message) },
    zone: message => { this.takeSums(message) },
    view: message => { this.takeView(message) }
  }

  private takeReport ({ from, isFull, isLeaving, uptimeMs, tallies, crashes }: Report): void {
    this.crashes.take(from.startId, crashes)
    if (isLeaving) {
      this.reporters.delete(from.startId)
      this.roster.remove(from.instanceId)
      this.options.log.info('peer left', { peer: from.instanceId })
      return
    }
    this.reporters.set(from.startId, { host: from.host, heardAtMs: this.options.clock.monotonicMs() })
    if (this.options.ledger.takeDaemon(from.startId, tallies, isFull, uptimeMs)) this.note(true)
  }

  private takeSums ({ from, isFull, tallies, crashes }: ZoneSums): void {
    this.crashes.take(`${ZONE_SOURCE}${from.availabilityZone}`, crashes)
    if (this.options.ledger.takeZone(`${from.availabilityZone} ${from.startId}`, tallies, isFull)) this.note(true)
  }

  private takeView ({ from, facts, readings, members, crashes }: FleetView): void {
    this.options.crashes.takeFleetCrashes(crashes)
    this.roster.learn(members)
    this.options.own.takeFleet(readings)
    this.options.onFacts(facts, from)
  }
}
