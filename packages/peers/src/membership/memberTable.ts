import type { Clock, DirectoryEntry, InstanceIdentity, Member } from '@lovagehoist/common'
import { createRecord, processRefOf, statusOf } from './memberRecord.js'
import type { MemberRecord, SelfDescription, ProcessAnnouncement } from './memberRecord.js'

/** Time after a confirmed exchange for which the link counts as working. */
export const LINK_CONFIRMED_MS = 8_000
/** Time after which a suspicion that was not refuted makes the member count as gone. */
export const SUSPICION_TIMEOUT_MS = 6_000
/** Time for which gone instances and replaced processes stay known, so that their late messages are recognised. */
export const GONE_RETENTION_MS = 60_000

/** Longer than the self entries of a removed process live on other daemons, so that they cannot bring it back. */
const TOMBSTONE_TTL_MS = 1_200_000

/** Remains of a removed process; it returns only with a higher epoch. */
interface Tombstone {
  readonly epoch: number
  readonly createdAtMs: number
}

/** A suspected process, with the epoch that it has to exceed to refute the suspicion. */
export interface Suspicion {
  readonly ref: number
  readonly epoch: number
}

/** Options of a member table. */
export interface MemberTableOptions {
  readonly self: InstanceIdentity
  readonly clock: Clock
  /** Called with the epoch of another process that announced itself under this daemon's instance id. */
  readonly onOutranked: (epoch: number) => void
}

/** Table of the other daemons: the platform's directory, which lags, corrected by gossip. */
export class MemberTable {
  private readonly byId = new Map<string, MemberRecord>()
  /** Cached sorted instance ids; undefined after an instance was added or removed. */
  private sortedIds: readonly string[] | undefined
  private readonly idByRef = new Map<number, string>()
  /** Monotonic time at which earlier processes of known instances were replaced, by their refs. */
  private readonly supersededAtMsByRef = new Map<number, number>()
  private readonly tombstones = new Map<number, Tombstone>()
  /** Refs of processes with a confirmed link, the most recently confirmed last. */
  private readonly confirmedRefs = new Set<number>()
  private lastConfirmedAtMs = Number.NEGATIVE_INFINITY
  readonly selfRef: number

  private constructor (private readonly options: MemberTableOptions) {
    this.selfRef = processRefOf(options.self.instanceId, options.self.startId)
  }

  /**
   * Creates an empty table.
   *
   * @param options - Identity of this process, clock and listener for competing processes.
   * @returns The table.
   */
  static create (options: MemberTableOptions): MemberTable {
    return new MemberTable(options)
  }

  /** Records of all other instances, in order of instance id. */
  all (): readonly MemberRecord[] {
    this.sortedIds ??= [...this.byId.keys()].sort()
    return this.sortedIds.flatMap(instanceId => this.byId.get(instanceId) ?? [])
  }

  find (instanceId: string): MemberRecord | undefined {
    return this.byId.get(instanceId)
  }

  /** Identity of the process with a ref, which may be this one; undefined if it is unknown or was replaced. */
  identityOf (ref: number): InstanceIdentity | undefined {
    if (ref === this.selfRef) return this.options.self
    const record = this.findByRef(ref)
    if (record === undefined) return undefined
    const { instanceId, startId, region, availabilityZone } = record
    return { instanceId, startId, region, availabilityZone }
  }

  /** Record of the process with a ref; undefined if it is unknown or was replaced. */
  findByRef (ref: number): MemberRecord | undefined {
    const record = this.byId.get(this.idByRef.get(ref) ?? '')
    return record?.ref === ref ? record : undefined
  }

  /** Processes whose link to this one was confirmed recently, the most recently confirmed last. */
  recentlyConfirmed (): readonly MemberRecord[] {
    for (const ref of this.confirmedRefs) {
      const record = this.findByRef(ref)
      if (record !== undefined && this.isConfirmed(record)) break
      this.confirmedRefs.delete(ref)
    }
    return [...this.confirmedRefs].flatMap(ref => this.findByRef(ref) ?? [])
  }

  /** Whether a ref belongs to a process that was replaced by another one of its instance. */
  isSuperseded (ref: number): boolean {
    return this.supersededAtMsByRef.has(ref)
  }

  /** Whether ids belong to a process that was replaced by another one of its instance. */
  isEarlierProcess (instanceId: string, startId: string): boolean {
    return this.isSuperseded(processRefOf(instanceId, startId))
  }

  /** Whether a ref belongs to a process that is gone and was removed. */
  hasTombstone (ref: number): boolean {
    return this.tombstones.has(ref)
  }

  /** The suspicion or removal that a process has to refute to count as alive; undefined if there is none. */
  suspicionOf (instanceId: string, startId: string): Suspicion | undefined {
    const ref = processRefOf(instanceId, startId)
    const record = this.findByRef(ref)
    const tombstone = this.tombstones.get(ref)
    if (record?.suspectSinceMs !== undefined) return { ref, epoch: record.epoch }
    return tombstone === undefined ? undefined : { ref, epoch: tombstone.epoch }
  }

  /** Applies the platform's instance directory. */
  applyDirectory (entries: readonly DirectoryEntry[]): void {
    const entriesById = new Map(entries.filter(entry => entry.id !== this.options.self.instanceId).map(entry => [entry.id, entry]))
    for (const record of this.byId.values()) if (!entriesById.has(record.instanceId)) this.update(record, { directoryState: 'absent' })
    for (const [id, entry] of entriesById) {
      const { host, port, region, availabilityZone } = entry
      const known = this.byId.get(id) ?? createRecord({ instanceId: id, host, port, region, availabilityZone }, this.nowMs())
      const address = known.startId === '' ? { host, port } : {}
      this.update(known, { ...address, directoryState: entry.state })
    }
  }

  /**
   * Applies the announcement of a process.
   *
   * @param announcement - Identity, address and epoch of the process.
   * @returns Whether the announcement was accepted; older epochs, replaced processes and this instance's own are not.
   */
  applyAnnouncement (announcement: ProcessAnnouncement): boolean {
    const { self, onOutranked } = this.options
    if (announcement.instanceId === self.instanceId) {
      if (announcement.startId !== self.startId) onOutranked(announcement.epoch)
      return false
    }
    const ref = processRefOf(announcement.instanceId, announcement.startId)
    const known = this.byId.get(announcement.instanceId)
    if (this.supersededAtMsByRef.has(ref) || announcement.epoch <= (this.tombstones.get(ref)?.epoch ?? known?.epoch ?? 0)) return false
    this.tombstones.delete(ref)
    const isSameProcess = known?.startId === announcement.startId
    if (known !== undefined && known.startId !== '' && !isSameProcess) this.supersededAtMsByRef.set(known.ref, this.nowMs())
    const base = isSameProcess ? known : { ...createRecord(announcement, this.nowMs()), directoryState: known?.directoryState ?? 'absent' as const }
    this.idByRef.set(ref, announcement.instanceId)
    this.update(base, { ...announcement, ref, suspectSinceMs: undefined, goneAtMs: undefined, isReplaced: false, heardAtMs: this.nowMs() })
    return true
  }

  /** Applies the state that a process published about itself. */
  applyDescription (ref: number, description: SelfDescription, isLeaving: boolean): void {
    const record = this.findByRef(ref)
    if (record !== undefined) this.update(record, { description, isLeaving, heardAtMs: this.nowMs() })
  }

  /** Records a message from a process; it proves the link in one direction only. */
  recordMessage (instanceId: string, startId: string, freeBudgetPercent: number): void {
    const record = this.byId.get(instanceId)
    if (record !== undefined && record.startId === startId) this.update(record, { freeBudgetPercent, heardAtMs: this.nowMs() })
  }

  /** Records an exchange that proved the link in both directions. */
  confirmLink (instanceId: string, startId: string): void {
    const record = this.byId.get(instanceId)
    if (record === undefined || record.startId !== startId) return
    this.lastConfirmedAtMs = this.nowMs()
    this.confirmedRefs.delete(record.ref)
    this.confirmedRefs.add(record.ref)
    this.update(record, { confirmedAtMs: this.nowMs(), heardAtMs: this.nowMs(), isLinkFailed: false, isReplaced: false, suspectSinceMs: undefined, goneAtMs: undefined })
  }

  /** Records that a process other than the known one answers at an instance's address. */
  markReplaced (instanceId: string): void {
    const record = this.byId.get(instanceId)
    if (record !== undefined) this.update(record, { isReplaced: true })
  }

  /** Records that the direct link to an instance failed in at least one direction. */
  markLinkFailed (instanceId: string): void {
    const record = this.byId.get(instanceId)
    if (record !== undefined) this.update(record, { isLinkFailed: true })
  }

  /**
   * Applies a suspicion that indirect probes have backed.
   *
   * @param ref - Ref of the suspected process.
   * @param epoch - Epoch known to the suspecting daemon; a higher one refutes the suspicion.
   * @param ageMs - Age of the suspicion, in milliseconds.
   */
  suspect (ref: number, epoch: number, ageMs: number): void {
    const record = this.findByRef(ref)
    const suspectSinceMs = this.nowMs() - ageMs
    if (record === undefined || record.epoch > epoch || record.suspectSinceMs !== undefined || record.confirmedAtMs > suspectSinceMs) return
    this.update(record, { suspectSinceMs })
  }

  /** Suspects an instance whose process has not announced itself and that no daemon reached. */
  suspectUncontacted (instanceId: string): void {
    const record = this.byId.get(instanceId)
    if (record?.startId === '' && record.suspectSinceMs === undefined) this.update(record, { suspectSinceMs: this.nowMs() })
  }

  /**
   * Marks members with expired suspicions as gone, and removes expired records and tombstones.
   *
   * @returns Refs of the removed processes.
   */
  sweep (): readonly number[] {
    const nowMs = this.nowMs()
    const removedRefs: number[] = []
    for (const [ref, { createdAtMs }] of this.tombstones) if (nowMs - createdAtMs > TOMBSTONE_TTL_MS) this.tombstones.delete(ref)
    for (const [ref, atMs] of this.supersededAtMsByRef) {
      if (nowMs - atMs <= GONE_RETENTION_MS) continue
      this.supersededAtMsByRef.delete(ref)
      this.idByRef.delete(ref)
      removedRefs.push(ref)
    }
    for (const record of this.byId.values()) {
      const { suspectSinceMs, goneAtMs, directoryState } = record
      const isLost = suspectSinceMs !== undefined && nowMs - suspectSinceMs >= SUSPICION_TIMEOUT_MS
      const isUncontacted = record.startId === '' && directoryState === 'absent'
      if (goneAtMs === undefined && (isLost || isUncontacted)) this.update(record, { goneAtMs: nowMs })
      if (goneAtMs === undefined || directoryState !== 'absent' || nowMs - goneAtMs <= GONE_RETENTION_MS) continue
      this.byId.delete(record.instanceId)
      this.sortedIds = undefined
      this.idByRef.delete(record.ref)
      this.tombstones.set(record.ref, { epoch: record.epoch, createdAtMs: nowMs })
      removedRefs.push(record.ref)
    }
    return removedRefs
  }

  /** Whether the direct link to an instance was confirmed recently. */
  isConfirmed (record: MemberRecord): boolean {
    return this.nowMs() - record.confirmedAtMs < LINK_CONFIRMED_MS
  }

  /** Current status of a member. */
  statusOf (record: MemberRecord): Member['status'] {
    return statusOf(record, this.nowMs() - this.lastConfirmedAtMs < LINK_CONFIRMED_MS, this.isConfirmed(record))
  }

  private update (record: MemberRecord, change: Partial<MemberRecord>): void {
    if (!this.byId.has(record.instanceId)) this.sortedIds = undefined
    this.byId.set(record.instanceId, { ...record, ...change })
  }

  private nowMs (): number {
    return this.options.clock.monotonicMs()
  }
}
