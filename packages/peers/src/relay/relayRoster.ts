import type { Clock, InstanceRecord } from '@lovagehoist/common'

interface Known {
  readonly record: InstanceRecord
  /** Monotonic time of the newest message; -Infinity for one that is only known from others. */
  heardAtMs: number
  /** Monotonic time of the first message to it that it has not answered yet. */
  askedAtMs: number | undefined
}

/** Time without an answer after which a daemon is passed over: several rounds of views. */
const SILENT_MS = 700
/** Time for which it is passed over before it is tried again. */
const PASSED_OVER_MS = 3_000
/** Time after which a silent daemon no longer counts as a member. */
const GONE_MS = 3_000
/** Relays of each zone: a second one takes over without an election. */
const RELAYS = 2
/** Daemons of another zone that are told to others; relays are found among them. */
const NAMED_OF_OTHER_ZONE = 4

/** Orders daemons by how well they can relay, equals by name. */
const byFitness = ({ record: a }: Known, { record: b }: Known): number =>
  b.relayFitness - a.relayFitness || (a.instanceId < b.instanceId ? -1 : 1)

/** Daemons of the fleet and which of them relay for their zone: the fittest that answer. */
export class RelayRoster {
  private readonly known = new Map<string, Known>()

  private constructor (private readonly self: InstanceRecord, private readonly clock: Clock) {}

  /**
   * Creates a roster that knows only this daemon.
   *
   * @param self - This daemon.
   * @param clock - Source of time.
   * @returns The roster.
   */
  static create (self: InstanceRecord, clock: Clock): RelayRoster {
    return new RelayRoster(self, clock)
  }

  /** Notes daemons that others told of; what was heard from a daemon itself goes first. */
  learn (records: readonly InstanceRecord[]): void {
    for (const record of records) {
      if (record.instanceId === this.self.instanceId || this.known.has(record.instanceId)) continue
      this.known.set(record.instanceId, { record, heardAtMs: -Infinity, askedAtMs: undefined })
    }
  }

  /**
   * Notes a message of a daemon.
   *
   * @param record - Daemon as it describes itself.
   * @returns Whether it was not heard lately.
   */
  heard (record: InstanceRecord): boolean {
    const before = this.known.get(record.instanceId)
    const nowMs = this.clock.monotonicMs()
    const isNew = before === undefined || before.record.startId !== record.startId || nowMs - before.heardAtMs > GONE_MS
    this.known.set(record.instanceId, { record, heardAtMs: nowMs, askedAtMs: undefined })
    return isNew
  }

  /** Notes that a daemon was sent something that it answers. */
  asked (instanceId: string): void {
    const known = this.known.get(instanceId)
    const nowMs = this.clock.monotonicMs()
    if (known !== undefined && (known.askedAtMs === undefined || nowMs - known.askedAtMs > SILENT_MS + PASSED_OVER_MS)) known.askedAtMs = nowMs
  }

  /** Forgets a daemon that left. */
  remove (instanceId: string): void {
    this.known.delete(instanceId)
  }

  /**
   * Relays of a zone.
   *
   * @param zone - Availability zone.
   * @returns The fittest daemons that are not silent, this one included.
   */
  relays (zone: string): readonly InstanceRecord[] {
    const nowMs = this.clock.monotonicMs()
    const answering = [...this.known.values()].filter(({ record, askedAtMs }) =>
      record.availabilityZone === zone && !this.isSilent(askedAtMs, nowMs))
    const self: Known = { record: this.self, heardAtMs: nowMs, askedAtMs: undefined }
    const all = this.self.availabilityZone === zone ? [...answering, self] : answering
    return all.sort(byFitness).slice(0, RELAYS).map(({ record }) => record)
  }

  /** Zones of all daemons that are known. */
  zones (): readonly string[] {
    return [...new Set([this.self, ...[...this.known.values()].map(({ record }) => record)].map(({ availabilityZone }) => availabilityZone))]
  }

  /** Daemons heard lately, and some of each other zone. */
  members (): readonly InstanceRecord[] {
    const limitMs = this.clock.monotonicMs() - GONE_MS
    const own = [...this.known.values()].filter(({ record, heardAtMs }) => record.availabilityZone === this.self.availabilityZone && heardAtMs >= limitMs)
    const others = this.zones().filter(zone => zone !== this.self.availabilityZone)
      .flatMap(zone => [...this.known.values()].filter(({ record }) => record.availabilityZone === zone).sort(byFitness).slice(0, NAMED_OF_OTHER_ZONE))
    return [this.self, ...own.map(({ record }) => record), ...others.map(({ record }) => record)]
  }

  /** Number of daemons that are known, this one included. */
  get size (): number {
    return this.known.size + 1
  }

  private isSilent (askedAtMs: number | undefined, nowMs: number): boolean {
    if (askedAtMs === undefined) return false
    const waitedMs = nowMs - askedAtMs
    return waitedMs > SILENT_MS && waitedMs <= SILENT_MS + PASSED_OVER_MS
  }
}
