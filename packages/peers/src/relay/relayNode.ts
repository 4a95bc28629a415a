import type { PerTarget, CancelTimer, FleetTargetStats, InstanceRecord, TargetCounters } from '@lovagehoist/common'
import { decodeMessage, encodeMessage } from './messages.js'
import type { RelayView, RelayMessage, Report, ZoneTotals } from './messages.js'
import { NewsBoard } from './newsBoard.js'
import { PeerTable } from './peerTable.js'
import type { RelayNodeOptions } from './relayContracts.js'

/** Period of the send loop; changes within one period are batched. */
const TICK_MS = 100
/** Delay before a failure is sent, so that simultaneous failures are batched. */
const URGENT_DELAY_MS = 5
/** Maximum time between two reports, reached when no counter changes. */
const HEARTBEAT_MS = 400
/** Minimum time between two views, and the maximum one while nothing changes. */
const VIEW_INTERVAL_MS = 150
const IDLE_VIEW_INTERVAL_MS = 300
/** Time between two messages to other zones: traffic between zones is expensive. */
const ZONE_TOTALS_INTERVAL_MS = 800
const FULL_ZONE_TOTALS_INTERVAL_MS = 4_000
/** Every interval, counters that changed within the lookback are sent again in case a datagram was lost. */
const REPEAT_INTERVAL_MS = 1_000
const REPEAT_LOOKBACK_MS = 2_500
/** Up to this many targets, every repeat is a full report: all counters fit into a few kilobytes. */
const ALWAYS_FULL_MAX_TARGETS = 64
/** With more targets, one repeat in this many is a full report. */
const REPEATS_PER_FULL_REPORT = 10
const MEMBERS_INTERVAL_MS = 1_000
/** Later requests to a target are sent again once the time of the last one differs by this much. */
const LAST_SENT_RESOLUTION_MS = 300
/** Silence of an earlier relay after which the next one issues permits. */
const ISSUER_SILENCE_MS = 800
/** Time after its last report for which a daemon is sent views. */
const REPORTER_TTL_MS = 1_500

interface Reporter {
  readonly host: string
  heardAtMs: number
}

/**
 * Aggregates load and failures over the fleet: every daemon reports its counters to the two relays of its zone,
 * the first relay of each zone exchanges totals with the other zones, and relays send the aggregated view back.
 */
export class RelayNode {
  readonly peers: PeerTable
  private readonly news: NewsBoard
  private readonly reporters = new Map<string, Reporter>()
  private readonly sentStats = new Map<string, string>()
  private readonly sentTotals = new Map<string, TargetCounters>()
  private reportedRelayIds = ''
  private hasChanges = false
  private isLeaving = false
  private hasReceivedView = false
  private cancelUrgent: CancelTimer | undefined
  private readonly lastSentMs = { report: -Infinity, repeat: -Infinity, view: -Infinity, zone: -Infinity, zoneRepeat: -Infinity, members: -Infinity }
  private unreadableDatagrams = 0
  private repeatCount = 0
  private readonly startedAtMs: number

  private constructor (private readonly options: RelayNodeOptions) {
    this.startedAtMs = options.clock.monotonicMs()
    this.news = NewsBoard.create(options.news)
    this.peers = PeerTable.create(options.self, options.clock)
    options.datagrams.onDatagram(bytes => { this.receive(bytes) })
    options.localCounters.onChange(isUrgent => { this.onCountersChanged(isUrgent) })
    options.limits.onChange(() => { this.onCountersChanged(true) })
    this.news.onChange(isUrgent => { this.onCountersChanged(isUrgent) })
  }

  /**
   * Creates a node; it sends nothing until `run` is called.
   *
   * @param options - Identity, transport and sources of counters.
   * @returns The node.
   */
  static create (options: RelayNodeOptions): RelayNode {
    return new RelayNode(options)
  }

  /** Number of received datagrams that could not be decoded. */
  get unreadableCount (): number {
    return this.unreadableDatagrams
  }

  /** Whether a relay has told this daemon what the fleet knows. */
  get hasView (): boolean {
    return this.hasReceivedView
  }

  /** Rank of this daemon among the relays of its zone: 0 for the first, -1 if it is not a relay. */
  get relayRank (): number {
    const { availabilityZone, instanceId } = this.options.self
    return this.peers.relays(availabilityZone).findIndex(relay => relay.instanceId === instanceId)
  }

  /**
   * Runs the send loop until aborted; then sends a last report that marks this daemon as leaving.
   *
   * @param signal - Stops the loop.
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.tick()
      await this.options.clock.sleepMs(TICK_MS, signal)
    }
    this.cancelUrgent?.()
    this.isLeaving = true
    this.sendReport(this.options.localCounters.collectCounters(), true, false)
  }

  private onCountersChanged (isUrgent: boolean): void {
    this.hasChanges = true
    if (!isUrgent || this.isLeaving || this.cancelUrgent !== undefined) return
    this.cancelUrgent = this.options.clock.after(URGENT_DELAY_MS, () => {
      this.cancelUrgent = undefined
      this.tick(true)
    })
  }

  private tick (isUrgent = false): void {
    const nowMs = this.options.clock.monotonicMs()
    this.reportIfDue(nowMs)
    const rank = this.relayRank
    if (this.reporters.size > 0 || rank >= 0) this.publishIfDue(nowMs, isUrgent)
    if (rank === 0) this.sendZoneTotalsIfDue(nowMs, isUrgent)
  }

  private reportIfDue (nowMs: number): void {
    const lastSent = this.lastSentMs
    const relayIds = this.peers.relays(this.options.self.availabilityZone).map(({ startId }) => startId).join()
    const isNewRelay = relayIds !== this.reportedRelayIds
    const isRepeat = nowMs - lastSent.repeat >= REPEAT_INTERVAL_MS
    if (!isNewRelay && !isRepeat && !this.hasChanges && nowMs - lastSent.report < HEARTBEAT_MS) return
    const isFull = isNewRelay || (isRepeat && this.isFullRepeat())
    const changedWithinMs = isRepeat ? REPEAT_LOOKBACK_MS : nowMs - lastSent.report
    this.reportedRelayIds = relayIds
    this.hasChanges = false
    lastSent.report = nowMs
    if (isFull || isRepeat) lastSent.repeat = nowMs
    this.sendReport(this.options.localCounters.collectCounters(isFull ? undefined : changedWithinMs), isFull, isNewRelay)
  }

  /** Whether the next repeat is a full report, so that a relay that missed the first one gets another. */
  private isFullRepeat (): boolean {
    this.repeatCount++
    return this.options.localCounters.countTargets() <= ALWAYS_FULL_MAX_TARGETS || this.repeatCount % REPEATS_PER_FULL_REPORT === 0
  }

  private sendReport (counters: PerTarget<TargetCounters>, isFull: boolean, isForNewRelay: boolean): void {
    const { self, fleetStats, datagrams, bootstrapHosts, clock } = this.options
    const uptimeMs = clock.monotonicMs() - this.startedAtMs
    const limits = this.options.limits.report(isForNewRelay)
    if (isForNewRelay) this.news.requestFull('report')
    const news = this.news.collect('report', clock.monotonicMs())
    fleetStats.applyDaemonReport(self.startId, counters, isFull, uptimeMs)
    this.options.limits.applyReport(self.startId, limits)
    const relays = this.peers.relays(self.availabilityZone).filter(({ instanceId }) => instanceId !== self.instanceId)
    const bytes = encodeMessage({ type: 'report', from: self, isFull, isLeaving: this.isLeaving, uptimeMs, counters, news, limits })
    for (const { instanceId, host } of relays) {
      this.peers.recordRequest(instanceId)
      datagrams.send(host, bytes)
    }
    if (this.peers.size === 1) for (const host of bootstrapHosts()) if (host !== self.host) datagrams.send(host, bytes)
  }

  private publishIfDue (nowMs: number, isUrgent: boolean): void {
    const lastSent = this.lastSentMs
    if (!isUrgent && nowMs - lastSent.view < VIEW_INTERVAL_MS) return
    const stats = this.changedStats(nowMs)
    if (!isUrgent && stats.length === 0 && nowMs - lastSent.view < IDLE_VIEW_INTERVAL_MS) return
    lastSent.view = nowMs
    this.options.localCounters.applyFleetStats(stats)
    this.sendView(nowMs, stats)
    this.options.fleetStats.sweep()
  }

  private sendView (nowMs: number, stats: PerTarget<FleetTargetStats>): void {
    const { self, datagrams, heldVersions } = this.options
    for (const [startId, { heardAtMs }] of this.reporters) if (nowMs - heardAtMs > REPORTER_TTL_MS) this.reporters.delete(startId)
    const withMembers = nowMs - this.lastSentMs.members >= MEMBERS_INTERVAL_MS
    const limits = this.options.limits.view({ isIssuer: this.isIssuer(), isRepeat: withMembers, reporters: [self.startId, ...this.reporters.keys()], zones: this.peers.zones() })
    if (this.reporters.size === 0) return
    if (withMembers) this.lastSentMs.members = nowMs
    const view: RelayView = { type: 'view', from: self, heldVersions: heldVersions(), stats, members: withMembers ? this.peers.members() : [], news: this.news.collect('view', nowMs), limits }
    const bytes = encodeMessage(view)
    for (const { host } of this.reporters.values()) datagrams.send(host, bytes)
  }

  /** Whether this daemon issues the permits of its zone: it is the first relay, or those before it have fallen silent. */
  private isIssuer (): boolean {
    const rank = this.relayRank
    const before = this.peers.relays(this.options.self.availabilityZone).slice(0, Math.max(0, rank))
    return rank >= 0 && !before.some(({ instanceId }) => this.peers.hasHeardWithin(instanceId, ISSUER_SILENCE_MS))
  }

  /** Stats that differ from those last sent, after rounding; stats with requests in progress are also repeated periodically. */
  private changedStats (nowMs: number): PerTarget<FleetTargetStats> {
    const isRepeat = nowMs - this.lastSentMs.members >= MEMBERS_INTERVAL_MS
    return this.options.fleetStats.targetStats().filter(([targetId, { inProgress, failingChance, refusalShare, latencyMs, idleMs }]) => {
      const rounded = `${inProgress} ${failingChance.toFixed(1)} ${refusalShare.toFixed(1)} ${Math.round(latencyMs / 50)} ${Math.floor((nowMs - idleMs) / LAST_SENT_RESOLUTION_MS)}`
      const isChanged = this.sentStats.get(targetId) !== rounded
      this.sentStats.set(targetId, rounded)
      return isChanged || (isRepeat && inProgress > 0)
    })
  }

  /** Sends the totals of this zone to other zones: new failures and targets that are in use again at once, other changes once per interval. */
  private sendZoneTotalsIfDue (nowMs: number, isUrgent: boolean): void {
    const lastSent = this.lastSentMs
    const isDue = nowMs - lastSent.zone >= ZONE_TOTALS_INTERVAL_MS
    if (!isUrgent && !isDue) return
    const isFull = isDue && nowMs - lastSent.zoneRepeat >= FULL_ZONE_TOTALS_INTERVAL_MS
    const counters = this.options.fleetStats.ownZoneCounters().filter(([targetId, targetCounters]) => {
      const previous = this.sentTotals.get(targetId)
      const hasFailed = targetCounters.failed + targetCounters.failedEarly > (previous === undefined ? 0 : previous.failed + previous.failedEarly)
      const isInUseAgain = previous?.inProgress === 0 && targetCounters.inProgress > 0
      const isSent = isFull || hasFailed || isInUseAgain || (isDue && JSON.stringify(previous) !== JSON.stringify(targetCounters))
      if (isSent) this.sentTotals.set(targetId, targetCounters)
      return isSent
    })
    const limits = this.options.limits.zoneLimits(isFull)
    const news = this.news.collect('zone', nowMs)
    if (counters.length === 0 && limits.limits.length === 0 && Object.values(news).flat().length === 0 && !isFull) return
    if (isDue) lastSent.zone = nowMs
    if (isFull) lastSent.zoneRepeat = nowMs
    this.sendZoneTotals({ counters, isFull, limits, news })
  }

  private sendZoneTotals (totals: Pick<ZoneTotals, 'counters' | 'isFull' | 'limits' | 'news'>): void {
    const { self, datagrams } = this.options
    const bytes = encodeMessage({ type: 'zone', from: self, ...totals })
    for (const zone of this.peers.zones()) {
      if (zone === self.availabilityZone) continue
      for (const { host } of this.peers.relays(zone)) datagrams.send(host, bytes)
    }
  }

  private receive (bytes: Uint8Array): void {
    const message = decodeMessage(bytes)
    if (message === undefined) {
      this.unreadableDatagrams++
      return
    }
    if (message.from.instanceId === this.options.self.instanceId) return
    const handler = this.handlers[message.type] as (message: RelayMessage) => void
    if (this.peers.recordMessage(message.from)) this.handleNewPeer(message.from)
    handler(message)
  }

  private readonly handlers: { readonly [Type in RelayMessage['type']]: (message: Extract<RelayMessage, { readonly type: Type }>) => void } = {
    report: message => { this.handleReport(message) },
    zone: message => { this.handleZoneTotals(message) },
    view: message => { this.handleView(message) }
  }

  private handleNewPeer ({ instanceId, availabilityZone }: InstanceRecord): void {
    this.options.log.info('peer seen', { peer: instanceId, zone: availabilityZone })
    this.news.requestFull(availabilityZone === this.options.self.availabilityZone ? 'view' : 'zone')
  }

  private handleReport ({ from, isFull, isLeaving, uptimeMs, counters, news, limits }: Report): void {
    const hasUrgentNews = this.news.apply(news, 'zone')
    if (isLeaving) {
      this.reporters.delete(from.startId)
      this.peers.remove(from.instanceId)
      this.options.log.info('peer left', { peer: from.instanceId })
      return
    }
    if (!this.reporters.has(from.startId)) this.onCountersChanged(true)
    this.reporters.set(from.startId, { host: from.host, heardAtMs: this.options.clock.monotonicMs() })
    const hasUrgentLimits = this.options.limits.applyReport(from.startId, limits)
    if (this.options.fleetStats.applyDaemonReport(from.startId, counters, isFull, uptimeMs) || hasUrgentLimits || hasUrgentNews) this.onCountersChanged(true)
  }

  private handleZoneTotals ({ from, isFull, counters, news, limits }: ZoneTotals): void {
    const hasUrgentNews = this.news.apply(news, 'fleet')
    const hasUrgentLimits = this.options.limits.applyZoneLimits(from.availabilityZone, limits)
    if (this.options.fleetStats.applyZoneReport(`${from.availabilityZone} ${from.startId}`, counters, isFull) || hasUrgentLimits || hasUrgentNews) this.onCountersChanged(true)
  }

  private handleView ({ from, heldVersions, stats, members, news, limits }: RelayView): void {
    this.hasReceivedView = true
    this.news.apply(news, 'fleet')
    this.peers.addKnown(members)
    this.options.localCounters.applyFleetStats(stats)
    this.options.limits.applyView(limits)
    this.options.onPeerVersions(heldVersions, from)
  }
}
