import type { FleetTargetStats, InstanceRecord, PerTarget } from '@lovagehoist/common'
import { encodeMessage } from './messages.js'
import type { RelayView } from './messages.js'
import type { NewsBoard } from './newsBoard.js'
import { LARGE_ZONE_SIZE } from './peerTable.js'
import type { PeerTable } from './peerTable.js'
import type { RelayNodeOptions } from './relayContracts.js'
import { SendPacer } from './sendPacer.js'

/** Minimum time between two views, and the maximum one while nothing changes; both stretch with the number of receivers. */
const VIEW_INTERVAL_MS = 150
const IDLE_VIEW_INTERVAL_MS = 300
/** Interval at which stats with requests in progress and all limits are repeated, in case a datagram was lost. */
const REPEAT_INTERVAL_MS = 1_000
/** Targets without requests for this long are repeated too, since those in use are expected to get requests again soon. */
const IDLE_TARGET_MS = 800
/** Stats that one view carries at most; those of failing targets come first, then those that this zone uses, then those that waited longest. */
const MAX_VIEW_STATS = 28
/** Every how many views daemons are announced. */
const VIEWS_PER_MEMBERS = 3
/** Smaller changes of the latency are not sent. */
const LATENCY_RESOLUTION_MS = 50
/** Later requests to a target are sent again once the time of the last one differs by this much. */
const LAST_SENT_RESOLUTION_MS = 300
/** Silence of an earlier relay after which the next one issues permits. */
const ISSUER_SILENCE_MS = 800
/** Time after its last report for which a daemon is sent views. */
const REPORTER_TTL_MS = 1_500

/** Stats of a target as last sent. */
interface SentStats {
  readonly rounded: string
  readonly health: string
  readonly atMs: number
}

/** Order in which changed stats are sent, the lowest first. */
type Urgency = 0 | 1 | 2

interface ChangedStats {
  readonly entry: PerTarget<FleetTargetStats>[number]
  readonly sent: SentStats
  readonly urgency: Urgency
  readonly waitingSinceMs: number
}

interface Reporter {
  readonly host: string
  heardAtMs: number
}

/** Sends the stats of the whole fleet to the daemons that report to this one. */
export class ViewPublisher {
  private readonly reporters = new Map<string, Reporter>()
  private readonly sentStats = new Map<string, SentStats>()
  private readonly pacer: SendPacer
  private lastViewAtMs = -Infinity
  private viewCount = 0
  private lastRepeatAtMs = -Infinity

  private constructor (private readonly options: RelayNodeOptions, private readonly peers: PeerTable, private readonly news: NewsBoard) {
    this.pacer = SendPacer.create(options.clock, options.self.relayFitness)
  }

  /**
   * Creates a publisher without receivers.
   *
   * @param options - Identity, transport and sources of the stats.
   * @param peers - Known daemons.
   * @param news - News that views carry.
   * @returns The publisher.
   */
  static create (options: RelayNodeOptions, peers: PeerTable, news: NewsBoard): ViewPublisher {
    return new ViewPublisher(options, peers, news)
  }

  /** Whether any daemon reports to this one. */
  get hasReporters (): boolean {
    return this.reporters.size > 0
  }

  /** Records a report; returns whether its sender is new. */
  recordReport ({ startId, host }: InstanceRecord): boolean {
    const isNew = !this.reporters.has(startId)
    if (isNew) this.greet(host)
    this.reporters.set(startId, { host, heardAtMs: this.options.clock.monotonicMs() })
    return isNew
  }

  /**
   * Sends a daemon that has just started what it needs to leave the store to others: the relays of its zone, and what they hold. The views
   * for all daemons have to wait when many start at once.
   */
  private greet (host: string): void {
    const { self, datagrams, heldVersions, fleetStats } = this.options
    const stats = fleetStats.targetStats().filter(([, { inProgress }]) => inProgress > 0).slice(0, MAX_VIEW_STATS)
    const parts = encodeMessage({ type: 'view', from: self, heldVersions: heldVersions('known'), stats, members: this.peers.fittestMembers(), news: {}, limits: { limits: [], permits: [] } })
    for (const bytes of parts) datagrams.send(host, bytes)
  }

  /** Stops sending views to a daemon that left. */
  removeReporter (startId: string): void {
    this.reporters.delete(startId)
  }

  /**
   * Sends a view if one is due.
   *
   * @param relayRank - Rank of this daemon among the relays of its zone, -1 if it is none.
   * @param isUrgent - Whether something has changed that the receivers should know at once.
   * @returns Whether an urgent view has to wait.
   */
  publishIfDue (relayRank: number, isUrgent: boolean): boolean {
    const nowMs = this.options.clock.monotonicMs()
    if (!this.pacer.maySend) return isUrgent
    if (!isUrgent && nowMs - this.lastViewAtMs < VIEW_INTERVAL_MS) return false
    const stats = this.isIdleStandby(relayRank) ? [] : this.changedStats(nowMs)
    if (!isUrgent && stats.length === 0 && nowMs - this.lastViewAtMs < IDLE_VIEW_INTERVAL_MS) return false
    this.lastViewAtMs = nowMs
    this.options.localCounters.applyFleetStats(stats)
    this.sendView(nowMs, stats, relayRank)
    this.options.fleetStats.sweep()
    return false
  }

  private sendView (nowMs: number, stats: PerTarget<FleetTargetStats>, relayRank: number): void {
    const isIssuer = this.isIssuer(relayRank)
    const { self, datagrams, heldVersions } = this.options
    for (const [startId, { heardAtMs }] of this.reporters) if (nowMs - heardAtMs > REPORTER_TTL_MS) this.reporters.delete(startId)
    const isRepeat = nowMs - this.lastRepeatAtMs >= REPEAT_INTERVAL_MS
    const limits = this.options.limits.view({ isIssuer, isRepeat, reporters: [self.startId, ...this.reporters.keys()], zones: this.peers.zones() })
    if (this.reporters.size === 0) return
    if (isRepeat) this.lastRepeatAtMs = nowMs
    const view: RelayView = { type: 'view', from: self, heldVersions: heldVersions('known'), stats, members: this.viewCount++ % VIEWS_PER_MEMBERS === 0 ? this.peers.nextMembers() : [], news: this.news.collect('view', nowMs), limits }
    const parts = encodeMessage(view)
    this.pacer.recordSent(parts.length * this.reporters.size, relayRank > 0 && !isIssuer)
    for (const { host } of this.reporters.values()) for (const bytes of parts) datagrams.send(host, bytes)
  }

  /** Whether this daemon issues the permits of its zone: it is the first relay, or those before it have fallen silent. */
  private isIssuer (relayRank: number): boolean {
    const before = this.peers.relays(this.options.self.availabilityZone).slice(0, Math.max(0, relayRank))
    return relayRank >= 0 && !before.some(({ instanceId }) => this.peers.hasHeardWithin(instanceId, ISSUER_SILENCE_MS))
  }

  /** Whether another relay sends the stats: this one, which gets fewer reports in a large zone, would only send older ones. */
  private isIdleStandby (relayRank: number): boolean {
    return relayRank > 0 && this.peers.zoneSize > LARGE_ZONE_SIZE && !this.isIssuer(relayRank)
  }

  /** Stats that differ from those last sent, after rounding; stats of targets that are in use or idle are also repeated periodically. */
  private changedStats (nowMs: number): PerTarget<FleetTargetStats> {
    const isRepeat = nowMs - this.lastRepeatAtMs >= REPEAT_INTERVAL_MS
    const changed = this.options.fleetStats.targetStats().flatMap(entry => this.findChange(entry, nowMs, isRepeat))
    const chosen = changed.length <= MAX_VIEW_STATS ? changed : changed.sort((a, b) => a.urgency - b.urgency || a.waitingSinceMs - b.waitingSinceMs).slice(0, MAX_VIEW_STATS)
    for (const { entry: [targetId], sent } of chosen) this.sentStats.set(targetId, sent)
    return chosen.map(({ entry }) => entry)
  }

  private findChange (entry: PerTarget<FleetTargetStats>[number], nowMs: number, isRepeat: boolean): readonly ChangedStats[] {
    const [targetId, { inProgress, failingChance, refusalShare, latencyMs, idleMs, isUsedHere }] = entry
    const previous = this.sentStats.get(targetId)
    const health = `${failingChance.toFixed(1)} ${refusalShare.toFixed(1)}`
    const rounded = `${inProgress} ${Math.round(latencyMs / LATENCY_RESOLUTION_MS)} ${Math.floor((nowMs - idleMs) / LAST_SENT_RESOLUTION_MS)}`
    const isHealthChanged = previous?.health !== health
    if (!isHealthChanged && previous.rounded === rounded && !(isRepeat && (inProgress > 0 || idleMs >= IDLE_TARGET_MS))) return []
    return [{ entry, sent: { rounded, health, atMs: nowMs }, urgency: isHealthChanged ? 0 : isUsedHere === true ? 1 : 2, waitingSinceMs: previous?.atMs ?? -Infinity }]
  }
}
