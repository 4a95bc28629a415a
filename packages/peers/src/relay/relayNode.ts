import type { CancelTimer, InstanceRecord, PerTarget, TargetCounters } from '@lovagehoist/common'
import { FullPartTracker } from './fullPartTracker.js'
import { decodeMessage, encodeMessage } from './messages.js'
import type { RelayView, RelayMessage, Report, ZoneTotals } from './messages.js'
import { NewsBoard } from './newsBoard.js'
import { LARGE_ZONE_SIZE, PeerTable } from './peerTable.js'
import type { RelayNodeOptions } from './relayContracts.js'
import { ViewPublisher } from './viewPublisher.js'
import { ZoneTotalsSender } from './zoneTotalsSender.js'

/** Period of the send loop; changes within one period are batched. */
const TICK_MS = 100
/** Time without a tick from which the process counts as paused, and the time after it in which messages that waited for it are read. */
const MAX_TICK_GAP_MS = 1_000
const AFTER_PAUSE_MS = 150
/** Delay before a failure is sent, so that simultaneous failures are batched. */
const URGENT_DELAY_MS = 5
/** Delay after which an urgent message that had to wait for others is tried again. */
const URGENT_RETRY_MS = 20
/** Maximum time between two reports, reached when no counter changes. */
const HEARTBEAT_MS = 400
/** Time after its start in which a daemon that knows no other of its zone asks the hosts in its settings with each period. */
const SEARCH_MS = 2_000
/** Interval at which first relays introduce themselves to those hosts, right after the start and later: daemons of one zone that found different others would else form two groups. */
const INTRODUCTION_INTERVAL_MS = 5_000
const FIRST_INTRODUCTION_INTERVAL_MS = 1_000
/** Every interval, counters that changed within the lookback are sent again in case a datagram was lost. */
const REPEAT_INTERVAL_MS = 1_000
const REPEAT_LOOKBACK_MS = 2_500
/** Reports of a large zone are less frequent, and its standby relay gets fewer: it must be able to take over, not to serve at once. */
const LARGE_ZONE_REPORT_INTERVAL_MS = 200
const STANDBY_REPORT_INTERVAL_MS = 400
/** Own reads older than this are not reported. */
const MAX_REPORTED_READ_AGE_MS = 5_000
/** Up to this many targets, every repeat is a full report: all counters fit into a few packets. */
const ALWAYS_FULL_MAX_TARGETS = 64
/** With more targets, one repeat in this many is a full report. */
const REPEATS_PER_FULL_REPORT = 10

/** What a report is for. */
interface ReportScope {
  readonly isFull: boolean
  readonly isForNewRelay: boolean
  /** Whether the standby relay gets it too. */
  readonly isForStandby: boolean
}

/**
 * Aggregates load and failures over the fleet: every daemon reports its counters to the two relays of its zone,
 * the first relay of each zone exchanges totals with the other zones, and relays send the aggregated view back.
 */
export class RelayNode {
  readonly peers: PeerTable
  private readonly news: NewsBoard
  private readonly views: ViewPublisher
  private readonly zoneTotals: ZoneTotalsSender
  private readonly fullParts = FullPartTracker.create()
  private reportedRelayIds = ''
  private hasChanges = false
  private isLeaving = false
  private viewAtMs = -Infinity
  private cancelUrgent: CancelTimer | undefined
  private readonly lastSentMs = { report: -Infinity, standby: -Infinity, repeat: -Infinity, introduction: -Infinity }
  private unreadableDatagrams = 0
  private lastTickAtMs: number
  private ignoresUntilMs = -Infinity
  private repeatCount = 0
  private readonly startedAtMs: number

  private constructor (private readonly options: RelayNodeOptions) {
    this.startedAtMs = options.clock.monotonicMs()
    this.lastTickAtMs = this.startedAtMs
    this.news = NewsBoard.create(options.news)
    this.peers = PeerTable.create(options.self, options.clock)
    this.views = ViewPublisher.create(options, this.peers, this.news)
    this.zoneTotals = ZoneTotalsSender.create(options, this.peers, this.news)
    options.datagrams.onDatagram((bytes, host) => { this.receive(bytes, host) })
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
    return this.viewAtMs > -Infinity
  }

  /** Time since a relay's view arrived; infinite before the first one. */
  get viewAgeMs (): number {
    return this.options.clock.monotonicMs() - this.viewAtMs
  }

  /** Tells other daemons at once that this one holds a new version of the configuration or the listing. */
  announceVersions (): void {
    this.onCountersChanged(true)
  }

  /** Tells the relays at once that this daemon has read the store, which they and the others of the zone then need not; a first relay tells with its next totals. */
  announceRead (): void {
    if (this.relayRank !== 0) this.onCountersChanged(true)
  }

  /** Ignores messages for a moment after this process was paused: those that have waited for it look newer than they are. */
  handlePause (): void {
    this.ignoresUntilMs = this.options.clock.monotonicMs() + AFTER_PAUSE_MS
    this.options.log.warn('messages ignored after a pause of this process', { forMs: AFTER_PAUSE_MS })
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
    this.sendReport(this.options.localCounters.collectCounters(), { isFull: true, isForNewRelay: false, isForStandby: true })
  }

  private onCountersChanged (isUrgent: boolean): void {
    this.hasChanges = true
    if (isUrgent) this.scheduleUrgent(URGENT_DELAY_MS)
  }

  private scheduleUrgent (delayMs: number): void {
    if (this.isLeaving || this.cancelUrgent !== undefined) return
    this.cancelUrgent = this.options.clock.after(delayMs, () => {
      this.cancelUrgent = undefined
      this.tick(true)
    })
  }

  private tick (isUrgent = false): void {
    const nowMs = this.options.clock.monotonicMs()
    if (nowMs - this.lastTickAtMs > MAX_TICK_GAP_MS) this.handlePause()
    this.lastTickAtMs = nowMs
    this.reportIfDue(nowMs, isUrgent)
    const rank = this.relayRank
    if (rank === 0) this.introduceIfDue(nowMs)
    const isViewWaiting = (this.views.hasReporters || rank >= 0) && this.views.publishIfDue(rank, isUrgent)
    const areTotalsWaiting = rank === 0 && this.zoneTotals.sendIfDue(isUrgent)
    if (isViewWaiting || areTotalsWaiting) this.scheduleUrgent(URGENT_RETRY_MS)
  }

  /** Whether this daemon looks for others of its zone. */
  private get isSearching (): boolean {
    return this.peers.size === 1 || (this.peers.zoneSize === 1 && this.options.clock.monotonicMs() - this.startedAtMs < SEARCH_MS)
  }

  /** Asks the hosts in the settings for the relays of this zone, with a report that is empty since they may belong to other zones. */
  private introduceIfDue (nowMs: number): void {
    const { self, datagrams, bootstrapHosts, heldVersions } = this.options
    const uptimeMs = nowMs - this.startedAtMs
    const intervalMs = uptimeMs < INTRODUCTION_INTERVAL_MS ? FIRST_INTRODUCTION_INTERVAL_MS : INTRODUCTION_INTERVAL_MS
    if (this.isSearching || nowMs - this.lastSentMs.introduction < intervalMs) return
    this.lastSentMs.introduction = nowMs
    const [bytes] = encodeMessage({ type: 'report', from: self, isFull: false, isLeaving: false, uptimeMs, counters: [], news: {}, limits: { limits: [], demand: [], settled: [] }, heldVersions: heldVersions('known') })
    for (const host of bootstrapHosts()) if (host !== self.host && bytes !== undefined) datagrams.send(host, bytes)
  }

  private reportIfDue (nowMs: number, isUrgent: boolean): void {
    const lastSent = this.lastSentMs
    const isLargeZone = this.peers.zoneSize > LARGE_ZONE_SIZE
    const relayIds = this.peers.relays(this.options.self.availabilityZone).map(({ startId }) => startId).join()
    const isNewRelay = relayIds !== this.reportedRelayIds
    const isRepeat = nowMs - lastSent.repeat >= REPEAT_INTERVAL_MS
    if (!isNewRelay && !isRepeat && !this.hasChanges && !this.isSearching && nowMs - lastSent.report < HEARTBEAT_MS) return
    if (isLargeZone && !isUrgent && nowMs - lastSent.report < LARGE_ZONE_REPORT_INTERVAL_MS) return
    const isFull = isNewRelay || (isRepeat && this.isFullRepeat())
    const isForStandby = !isLargeZone || isFull || isRepeat || nowMs - lastSent.standby >= STANDBY_REPORT_INTERVAL_MS
    const changedWithinMs = isRepeat ? REPEAT_LOOKBACK_MS : nowMs - (isForStandby ? lastSent.standby : lastSent.report)
    this.reportedRelayIds = relayIds
    this.hasChanges = false
    lastSent.report = nowMs
    if (isForStandby) lastSent.standby = nowMs
    if (isFull || isRepeat) lastSent.repeat = nowMs
    this.sendReport(this.options.localCounters.collectCounters(isFull ? undefined : changedWithinMs), { isFull, isForNewRelay: isNewRelay, isForStandby })
  }

  /** Whether the next repeat is a full report, so that a relay that missed the first one gets another. */
  private isFullRepeat (): boolean {
    this.repeatCount++
    return this.options.localCounters.countTargets() <= ALWAYS_FULL_MAX_TARGETS || this.repeatCount % REPEATS_PER_FULL_REPORT === 0
  }

  private sendReport (counters: PerTarget<TargetCounters>, { isFull, isForNewRelay, isForStandby }: ReportScope): void {
    const { self, fleetStats, datagrams, bootstrapHosts, clock } = this.options
    const uptimeMs = clock.monotonicMs() - this.startedAtMs
    const limits = this.options.limits.report(isForNewRelay)
    if (isForNewRelay) this.news.requestFull('report')
    const news = this.news.collect('report', clock.monotonicMs())
    fleetStats.applyDaemonReport(self.startId, counters, isFull, uptimeMs)
    this.options.limits.applyReport(self.startId, limits)
    const relays = this.peers.relays(self.availabilityZone).filter(({ instanceId }) => instanceId !== self.instanceId)
    const parts = encodeMessage({ type: 'report', from: self, isFull, isLeaving: this.isLeaving, uptimeMs, counters, news, limits, heldVersions: this.options.heldVersions('known'), ...this.recentReads() }, this.repeatCount)
    const bootstrap = this.isSearching ? bootstrapHosts().filter(host => host !== self.host) : []
    const receivers = isForStandby || this.news.hasUnrepeated(news) || limits.limits.length > 0 ? relays : relays.slice(0, 1)
    for (const { instanceId } of receivers) this.peers.recordRequest(instanceId)
    for (const host of [...receivers.map(relay => relay.host), ...bootstrap]) for (const bytes of parts) datagrams.send(host, bytes)
  }

  /** Ages of own reads, unless they are too old to be of use to others. */
  private recentReads (): Pick<Report, 'ownReads'> {
    const ownReads = this.options.heldVersions('own')
    return Math.min(ownReads.listingAgeMs, ownReads.configAgeMs) > MAX_REPORTED_READ_AGE_MS ? {} : { ownReads }
  }

  private receive (bytes: Uint8Array, host: string): void {
    const nowMs = this.options.clock.monotonicMs()
    if (nowMs < this.ignoresUntilMs || nowMs - this.lastTickAtMs > MAX_TICK_GAP_MS) return
    try {
      this.apply(bytes, host)
    } catch (error) {
      this.unreadableDatagrams++
      this.options.log.error('message of another daemon could not be applied', { host, error: error instanceof Error ? error.stack : String(error) })
    }
  }

  private apply (bytes: Uint8Array, host: string): void {
    const message = decodeMessage(bytes)
    if (message === undefined) {
      this.unreadableDatagrams++
      return
    }
    if (message.from.instanceId === this.options.self.instanceId) return
    const handler = this.handlers[message.type] as (message: RelayMessage) => void
    if (this.peers.recordMessage(message.from, message.type === 'zone')) this.handleNewPeer(message.from)
    handler(message)
    if (message.type === 'zone' && host === message.from.host) this.passOn(bytes)
  }

  /** Sends totals of another zone to the standby relay of this one, so that they cross zones only once. */
  private passOn (bytes: Uint8Array): void {
    const { self, datagrams } = this.options
    const [first, ...standbys] = this.peers.relays(self.availabilityZone)
    if (first?.instanceId !== self.instanceId) return
    for (const { host } of standbys) datagrams.send(host, Buffer.from(bytes))
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

  private handleReport (report: Report): void {
    const { from, isLeaving, uptimeMs, counters, news, limits, heldVersions, ownReads } = report
    const hasUrgentNews = this.news.apply(news, 'zone')
    if (isLeaving) {
      this.views.removeReporter(from.startId)
      this.peers.remove(from.instanceId)
      this.options.log.info('peer left', { peer: from.instanceId })
      return
    }
    if (this.views.recordReport(from)) this.onCountersChanged(true)
    if (heldVersions !== undefined) this.options.onPeerVersions(heldVersions, from, 'report')
    const isReadRecent = heldVersions !== undefined && ownReads !== undefined && this.options.onReportedReads(ownReads, heldVersions, from)
    const hasUrgentLimits = this.options.limits.applyReport(from.startId, limits)
    if (this.options.fleetStats.applyDaemonReport(from.startId, counters, this.fullParts.isWhole(from.startId, report), uptimeMs) || hasUrgentLimits || hasUrgentNews || isReadRecent) this.onCountersChanged(true)
  }

  private handleZoneTotals (totals: ZoneTotals): void {
    const { from, counters, news, limits, heldVersions } = totals
    if (heldVersions !== undefined) this.options.onPeerVersions(heldVersions, from, 'zone')
    const hasUrgentNews = this.news.apply(news, 'fleet')
    const hasUrgentLimits = this.options.limits.applyZoneLimits(from.availabilityZone, limits)
    if (this.options.fleetStats.applyZoneReport(`${from.availabilityZone} ${from.startId}`, counters, this.fullParts.isWhole(from.startId, totals)) || hasUrgentLimits || hasUrgentNews) this.onCountersChanged(true)
  }

  private handleView ({ from, heldVersions, stats, members, news, limits }: RelayView): void {
    this.viewAtMs = this.options.clock.monotonicMs()
    this.news.apply(news, 'fleet')
    this.peers.addKnown(members)
    this.options.localCounters.applyFleetStats(stats)
    this.options.limits.applyView(limits)
    this.options.onPeerVersions(heldVersions, from, 'view')
  }
}
