import type { PerTarget, TargetCounters } from '@lovagehoist/common'
import { encodeMessage } from './messages.js'
import type { HeldVersions } from './messages.js'
import type { NewsBoard } from './newsBoard.js'
import type { PeerTable } from './peerTable.js'
import type { RelayNodeOptions } from './relayContracts.js'

/** Time between two messages to other zones: traffic between zones is expensive. */
const INTERVAL_MS = 800
const FULL_INTERVAL_MS = 4_000
/** Minimum time between two messages that report failures, for each other zone. */
const URGENT_INTERVAL_PER_ZONE_MS = 25
/** Differences of a time worked out from an age that do not count. */
const ROUNDING_MS = 1

/** Sends the totals of a zone to the relays of other zones. */
export class ZoneTotalsSender {
  private readonly sentTotals = new Map<string, TargetCounters>()
  private lastSentAtMs = -Infinity
  private lastUrgentAtMs = -Infinity
  private lastRegularAtMs = -Infinity
  private lastFullAtMs = -Infinity
  private fullCount = 0
  private sentVersions: HeldVersions | undefined
  private sentReadsAtMs: readonly number[] = []

  private constructor (private readonly options: RelayNodeOptions, private readonly peers: PeerTable, private readonly news: NewsBoard) {}

  /**
   * Creates a sender that has sent nothing.
   *
   * @param options - Identity, transport and sources of the totals.
   * @param peers - Known daemons.
   * @param news - News that the totals carry.
   * @returns The sender.
   */
  static create (options: RelayNodeOptions, peers: PeerTable, news: NewsBoard): ZoneTotalsSender {
    return new ZoneTotalsSender(options, peers, news)
  }

  /**
   * Sends new failures, new versions, own reads of the store and targets that are in use again at once; other changes once per interval.
   *
   * @param isUrgent - Whether something has changed that other zones should know at once.
   * @returns Whether an urgent message has to wait.
   */
  sendIfDue (isUrgent: boolean): boolean {
    const nowMs = this.options.clock.monotonicMs()
    const otherZones = this.peers.zones().filter(zone => zone !== this.options.self.availabilityZone)
    const isDue = nowMs - this.lastRegularAtMs >= INTERVAL_MS
    const heldVersions = this.options.heldVersions('zone')
    const readsAtMs = [heldVersions.listingAgeMs, heldVersions.configAgeMs].map(ageMs => nowMs - ageMs)
    const hasRead = readsAtMs.some((atMs, index) => nowMs - atMs < INTERVAL_MS && atMs > (this.sentReadsAtMs[index] ?? -Infinity) + ROUNDING_MS)
    if (!isUrgent && !isDue && !hasRead) return false
    if (!isDue && nowMs - this.lastUrgentAtMs < otherZones.length * URGENT_INTERVAL_PER_ZONE_MS) return true
    const isFull = isDue && nowMs - this.lastFullAtMs >= FULL_INTERVAL_MS
    const counters = this.changedCounters(isDue, isFull)
    const limits = this.options.limits.zoneLimits(isFull)
    const news = this.news.collect('zone', nowMs)
    const hasNewVersions = hasRead || heldVersions.configVersion !== this.sentVersions?.configVersion || heldVersions.listingDigest !== this.sentVersions.listingDigest
    const isEmpty = counters.length === 0 && limits.limits.length === 0 && Object.values(news).flat().length === 0 && !isFull
    if (isEmpty && !hasNewVersions && nowMs - this.lastSentAtMs < INTERVAL_MS) return false
    this.lastSentAtMs = nowMs
    this.sentVersions = heldVersions
    this.sentReadsAtMs = readsAtMs
    if (!isDue) this.lastUrgentAtMs = nowMs
    if (isDue && !isEmpty) this.lastRegularAtMs = nowMs
    if (isFull) this.lastFullAtMs = nowMs
    const parts = encodeMessage({ type: 'zone', from: this.options.self, counters, isFull, limits, news, heldVersions }, ++this.fullCount)
    for (const zone of otherZones) for (const { host } of this.peers.zoneContacts(zone)) for (const bytes of parts) this.options.datagrams.send(host, bytes)
    return false
  }

  private changedCounters (isDue: boolean, isFull: boolean): PerTarget<TargetCounters> {
    return this.options.fleetStats.ownZoneCounters().filter(([targetId, counters]) => {
      const previous = this.sentTotals.get(targetId)
      const hasFailed = counters.failed + counters.failedEarly > (previous === undefined ? 0 : previous.failed + previous.failedEarly)
      const isInUseAgain = previous?.inProgress === 0 && counters.inProgress > 0
      const isSent = isFull || hasFailed || isInUseAgain || (isDue && JSON.stringify(previous) !== JSON.stringify(counters))
      if (isSent) this.sentTotals.set(targetId, counters)
      return isSent
    })
  }
}
