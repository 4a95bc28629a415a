import type { Clock, InstanceRecord } from '@lovagehoist/common'

interface KnownPeer {
  readonly record: InstanceRecord
  /** Monotonic time of its newest message; -Infinity if it is known only through other daemons. */
  heardAtMs: number
  /** Monotonic time of its newest zone totals, which only first relays send; -Infinity if there were none. */
  readonly totalsAtMs: number
  /** Monotonic time of the oldest unanswered message to it, reset after each exclusion; undefined if all were answered. */
  unansweredSinceMs: number | undefined
}

/** Time without an answer after which a daemon is excluded as a relay; covers several views. */
const ANSWER_TIMEOUT_MS = 700
/** Time for which an unresponsive daemon is excluded before it is tried again. */
const EXCLUSION_MS = 3_000
/** Time since its last message after which a daemon no longer counts as a member. */
const MEMBER_TTL_MS = 3_000
/** Time since the last message of another zone's relay after which another daemon of that zone is contacted. */
const ZONE_CONTACT_TTL_MS = 1_500
/** Daemons of each zone that every second view announces, since relays are chosen among them. */
const FITTEST_ANNOUNCED = 2
/** Daemons that the other views announce, in turn; any of them may serve callers for a daemon that reaches no target. */
const OTHERS_ANNOUNCED = 10
/** Number of daemons above which a zone counts as large. */
export const LARGE_ZONE_SIZE = 24
/** Relays per zone; the second takes over without an election if the first fails. */
const RELAYS_PER_ZONE = 2

/** Orders daemons by descending relay fitness, then by instance id. */
const byFitness = ({ record: a }: KnownPeer, { record: b }: KnownPeer): number =>
  b.relayFitness - a.relayFitness || (a.instanceId < b.instanceId ? -1 : 1)

/** Known daemons of the fleet; chooses the relays of each zone: the fittest responsive ones. */
export class PeerTable {
  private readonly peers = new Map<string, KnownPeer>()
  private announcements = 0

  private constructor (private readonly self: InstanceRecord, private readonly clock: Clock) {}

  /**
   * Creates a table that contains only this daemon.
   *
   * @param self - This daemon.
   * @param clock - Source of time.
   * @returns The table.
   */
  static create (self: InstanceRecord, clock: Clock): PeerTable {
    return new PeerTable(self, clock)
  }

  /** Adds daemons that another source knows; entries that already exist are kept. */
  addKnown (records: readonly InstanceRecord[]): void {
    for (const record of records) {
      if (record.instanceId === this.self.instanceId || this.peers.has(record.instanceId)) continue
      this.peers.set(record.instanceId, { record, heardAtMs: -Infinity, totalsAtMs: -Infinity, unansweredSinceMs: undefined })
    }
  }

  /**
   * Records that a message from a daemon arrived.
   *
   * @param record - Sender as it describes itself.
   * @param hasTotals - Whether the message carries the totals of its zone.
   * @returns Whether the sender is new, restarted, or was not heard from within the member TTL.
   */
  recordMessage (record: InstanceRecord, hasTotals = false): boolean {
    const previous = this.peers.get(record.instanceId)
    const nowMs = this.clock.monotonicMs()
    const isNew = previous === undefined || previous.record.startId !== record.startId || nowMs - previous.heardAtMs > MEMBER_TTL_MS
    this.peers.set(record.instanceId, { record, heardAtMs: nowMs, totalsAtMs: hasTotals ? nowMs : previous?.totalsAtMs ?? -Infinity, unansweredSinceMs: undefined })
    return isNew
  }

  /** Records that a message that expects an answer was sent to a daemon. */
  recordRequest (instanceId: string): void {
    const peer = this.peers.get(instanceId)
    const nowMs = this.clock.monotonicMs()
    if (peer !== undefined && (peer.unansweredSinceMs === undefined || nowMs - peer.unansweredSinceMs > ANSWER_TIMEOUT_MS + EXCLUSION_MS)) peer.unansweredSinceMs = nowMs
  }

  /** All other daemons that are known, without those that recently failed to answer this one. */
  others (): readonly InstanceRecord[] {
    const nowMs = this.clock.monotonicMs()
    return [...this.peers.values()].filter(({ unansweredSinceMs }) => !this.isUnresponsive(unansweredSinceMs, nowMs)).map(({ record }) => record)
  }

  /** Whether a message from a daemon arrived within the given time. */
  hasHeardWithin (instanceId: string, durationMs: number): boolean {
    return this.clock.monotonicMs() - (this.peers.get(instanceId)?.heardAtMs ?? -Infinity) <= durationMs
  }

  /** Removes a daemon that left. */
  remove (instanceId: string): void {
    this.peers.delete(instanceId)
  }

  /**
   * Chooses the relays of a zone.
   *
   * @param zone - Availability zone.
   * @returns The fittest responsive daemons, fittest first; this daemon is a candidate in its own zone.
   */
  relays (zone: string): readonly InstanceRecord[] {
    return this.responsiveMembers(zone).slice(0, RELAYS_PER_ZONE)
  }

  /** Rank of this daemon among the responsive ones of its zone that are no relays, fittest first. */
  get rankBehindRelays (): number {
    return Math.max(0, this.responsiveMembers(this.self.availabilityZone).indexOf(this.self) - RELAYS_PER_ZONE)
  }

  /** Responsive daemons of a zone, fittest first; this daemon counts as one of its own zone. */
  private responsiveMembers (zone: string): readonly InstanceRecord[] {
    const nowMs = this.clock.monotonicMs()
    const responsive = [...this.peers.values()].filter(({ record, unansweredSinceMs }) =>
      record.availabilityZone === zone && !this.isUnresponsive(unansweredSinceMs, nowMs))
    const self: KnownPeer = { record: this.self, heardAtMs: nowMs, totalsAtMs: -Infinity, unansweredSinceMs: undefined }
    const candidates = this.self.availabilityZone === zone ? [...responsive, self] : responsive
    return candidates.sort(byFitness).map(({ record }) => record)
  }

  /**
   * Chooses the daemons of another zone that messages to it are sent to.
   *
   * @param zone - Availability zone.
   * @returns The daemon that sent the newest totals of this zone, which only first relays do; the fittest ones if there are none.
   */
  zoneContacts (zone: string): readonly InstanceRecord[] {
    const oldestMs = this.clock.monotonicMs() - ZONE_CONTACT_TTL_MS
    const heard = [...this.peers.values()].filter(({ record, totalsAtMs }) => record.availabilityZone === zone && totalsAtMs >= oldestMs)
    const latest = heard.reduce<KnownPeer | undefined>((best, peer) => best === undefined || peer.totalsAtMs > best.totalsAtMs ? peer : best, undefined)
    return latest === undefined ? this.relays(zone) : [latest.record]
  }

  /** Availability zones of all known daemons. */
  zones (): readonly string[] {
    return [...new Set([this.self, ...[...this.peers.values()].map(({ record }) => record)].map(({ availabilityZone }) => availabilityZone))]
  }

  /** Daemons to announce in the next view: by turns the fittest of each zone, and the next few of all others. */
  nextMembers (): readonly InstanceRecord[] {
    const isFittestTurn = this.announcements++ % 2 === 0
    const fittest = this.fittestMembers()
    if (isFittestTurn) return fittest
    const others = this.announceable().filter(record => !fittest.includes(record))
    const offset = (this.announcements >> 1) * OTHERS_ANNOUNCED % Math.max(1, others.length)
    return [...others, ...others].slice(offset, offset + Math.min(OTHERS_ANNOUNCED, others.length))
  }

  /** The fittest daemons of each zone, among which its relays are chosen. */
  fittestMembers (): readonly InstanceRecord[] {
    const known = this.announceable()
    return this.zones().flatMap(zone => known.filter(({ availabilityZone }) => availabilityZone === zone).slice(0, FITTEST_ANNOUNCED))
  }

  /** This daemon, those of its zone that were heard from recently and all known ones of other zones, fittest first. */
  private announceable (): readonly InstanceRecord[] {
    const oldestMs = this.clock.monotonicMs() - MEMBER_TTL_MS
    const self: KnownPeer = { record: this.self, heardAtMs: Infinity, totalsAtMs: -Infinity, unansweredSinceMs: undefined }
    return [self, ...this.peers.values()].filter(({ record, heardAtMs }) => record.availabilityZone !== this.self.availabilityZone || heardAtMs >= oldestMs).sort(byFitness).map(({ record }) => record)
  }

  /** This daemon and the others of its zone that were heard from recently. */
  heardInZone (): readonly InstanceRecord[] {
    const oldestMs = this.clock.monotonicMs() - MEMBER_TTL_MS
    const others = [...this.peers.values()].filter(({ record, heardAtMs }) => record.availabilityZone === this.self.availabilityZone && heardAtMs >= oldestMs)
    return [this.self, ...others.map(({ record }) => record)]
  }

  /** Time since a message of any daemon of a zone arrived; infinite if none ever did. */
  zoneSilenceMs (zone: string): number {
    let heardAtMs = -Infinity
    for (const peer of this.peers.values()) if (peer.record.availabilityZone === zone) heardAtMs = Math.max(heardAtMs, peer.heardAtMs)
    return this.clock.monotonicMs() - heardAtMs
  }

  /** Number of known daemons of this zone, including this one. */
  get zoneSize (): number {
    return 1 + [...this.peers.values()].filter(({ record }) => record.availabilityZone === this.self.availabilityZone).length
  }

  /** Number of known daemons, including this one. */
  get size (): number {
    return this.peers.size + 1
  }

  private isUnresponsive (unansweredSinceMs: number | undefined, nowMs: number): boolean {
    if (unansweredSinceMs === undefined) return false
    const elapsedMs = nowMs - unansweredSinceMs
    return elapsedMs > ANSWER_TIMEOUT_MS && elapsedMs <= ANSWER_TIMEOUT_MS + EXCLUSION_MS
  }
}
