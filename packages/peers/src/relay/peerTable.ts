import type { Clock, InstanceRecord } from '@lovagehoist/common'

interface KnownPeer {
  readonly record: InstanceRecord
  /** Monotonic time of its newest message; -Infinity if it is known only through other daemons. */
  heardAtMs: number
  /** Monotonic time of the oldest unanswered message to it, reset after each exclusion; undefined if all were answered. */
  unansweredSinceMs: number | undefined
}

/** Time without an answer after which a daemon is excluded as a relay; covers several views. */
const ANSWER_TIMEOUT_MS = 700
/** Time for which an unresponsive daemon is excluded before it is tried again. */
const EXCLUSION_MS = 3_000
/** Time since its last message after which a daemon no longer counts as a member. */
const MEMBER_TTL_MS = 3_000
/** Relays per zone; the second takes over without an election if the first fails. */
const RELAYS_PER_ZONE = 2
/** Daemons of each other zone that are announced in views: the fittest, since relays are chosen among them. */
const MAX_MEMBERS_OF_OTHER_ZONE = 4
/** Further daemons of each other zone that are announced in turn; any of them may serve callers for a daemon that reaches no target. */
const MAX_OTHERS_OF_OTHER_ZONE = 4

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
      this.peers.set(record.instanceId, { record, heardAtMs: -Infinity, unansweredSinceMs: undefined })
    }
  }

  /**
   * Records that a message from a daemon arrived.
   *
   * @param record - Sender as it describes itself.
   * @returns Whether the sender is new, restarted, or was not heard from within the member TTL.
   */
  recordMessage (record: InstanceRecord): boolean {
    const previous = this.peers.get(record.instanceId)
    const nowMs = this.clock.monotonicMs()
    const isNew = previous === undefined || previous.record.startId !== record.startId || nowMs - previous.heardAtMs > MEMBER_TTL_MS
    this.peers.set(record.instanceId, { record, heardAtMs: nowMs, unansweredSinceMs: undefined })
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
    const nowMs = this.clock.monotonicMs()
    const responsive = [...this.peers.values()].filter(({ record, unansweredSinceMs }) =>
      record.availabilityZone === zone && !this.isUnresponsive(unansweredSinceMs, nowMs))
    const self: KnownPeer = { record: this.self, heardAtMs: nowMs, unansweredSinceMs: undefined }
    const candidates = this.self.availabilityZone === zone ? [...responsive, self] : responsive
    return candidates.sort(byFitness).slice(0, RELAYS_PER_ZONE).map(({ record }) => record)
  }

  /** Availability zones of all known daemons. */
  zones (): readonly string[] {
    return [...new Set([this.self, ...[...this.peers.values()].map(({ record }) => record)].map(({ availabilityZone }) => availabilityZone))]
  }

  /** This daemon, the daemons of its zone heard from recently, and the fittest few of each other zone. */
  members (): readonly InstanceRecord[] {
    const oldestMs = this.clock.monotonicMs() - MEMBER_TTL_MS
    const sameZone = [...this.peers.values()].filter(({ record, heardAtMs }) => record.availabilityZone === this.self.availabilityZone && heardAtMs >= oldestMs)
    const otherZones = this.zones().filter(zone => zone !== this.self.availabilityZone)
      .flatMap(zone => this.chooseAnnounced([...this.peers.values()].filter(({ record }) => record.availabilityZone === zone).sort(byFitness)))
    this.announcements++
    return [this.self, ...sameZone.map(({ record }) => record), ...otherZones.map(({ record }) => record)]
  }

  /** Number of known daemons, including this one. */
  get size (): number {
    return this.peers.size + 1
  }

  /** The fittest daemons of a zone, and a few others in turn, so that all become known in time. */
  private chooseAnnounced (sorted: readonly KnownPeer[]): readonly KnownPeer[] {
    const others = sorted.slice(MAX_MEMBERS_OF_OTHER_ZONE)
    const offset = others.length === 0 ? 0 : this.announcements * MAX_OTHERS_OF_OTHER_ZONE % others.length
    return [...sorted.slice(0, MAX_MEMBERS_OF_OTHER_ZONE), ...[...others, ...others].slice(offset, offset + Math.min(MAX_OTHERS_OF_OTHER_ZONE, others.length))]
  }

  private isUnresponsive (unansweredSinceMs: number | undefined, nowMs: number): boolean {
    if (unansweredSinceMs === undefined) return false
    const elapsedMs = nowMs - unansweredSinceMs
    return elapsedMs > ANSWER_TIMEOUT_MS && elapsedMs <= ANSWER_TIMEOUT_MS + EXCLUSION_MS
  }
}
