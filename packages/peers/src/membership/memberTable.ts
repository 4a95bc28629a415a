import type { Clock, DirectoryEntry, InstanceIdentity, Member } from '@lovagehoist/common'
import { createRecord, refOf, statusOf } from './memberRecord.js'
import type { MemberRecord, SelfDescription, ProcessAnnouncement } from './memberRecord.js'

/** Time for which a confirmed exchange proves a link. */
export const LINK_CONFIRMED_MS = 8_000
/** Time from a suspicion to the verdict that nobody contradicted it. */
export const SUSPICION_TIMEOUT_MS = 6_000
/** Time for which an instance that is gone stays known, so that late messages of it are recognised. */
export const GONE_RETENTION_MS = 60_000

/** Time for which the epoch of a forgotten process is kept; longer than its own entries live elsewhere. */
const TOMBSTONE_TTL_MS = 1_200_000

interface Tombstone {
  readonly epoch: number
  readonly createdAtMs: number
}

/** A process that counts as lost, with the epoch that it has to exceed. */
export interface Suspicion {
  readonly ref: number
  readonly epoch: number
}

/** What the table needs. */
export interface MemberTableOptions {
  readonly self: InstanceIdentity
  readonly clock: Clock
  /** Called when a word about this instance from another process outranks this process. */
  readonly onOutranked: (epoch: number) => void
}

/** Other daemons: the platform's lagging list, corrected by what was heard. */
export class MemberTable {
  private readonly byId = new Map<string, MemberRecord>()
  /** Instance ids in order; undefined after an instance came or was forgotten. */
  private sortedIds: readonly string[] | undefined
  private readonly idByRef = new Map<number, string>()
  private readonly supersededAtMsByRef = new Map<number, number>()
  private readonly tombstones = new Map<number, Tombstone>()
  /** Numbers of confirmed processes, the latest last. */
  private readonly confirmedRefs = new Set<number>()
  private lastConfirmedAtMs = Number.NEGATIVE_INFINITY
  readonly selfRef: number

  private constructor (private readonly options: MemberTableOptions) {
    this.selfRef = refOf(options.self.instanceId, options.self.startId)
  }

  /**
   * Creates an empty table.
   *
   * @param options - This process, time, and whom to tell of a process that outranks it.
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

  /** Process that a number names, this one included; undefined when it is unknown or an earlier one. */
  identityOf (ref: number): InstanceIdentity | undefined {
    if (ref === this.selfRef) return this.options.self
    const record = this.findByRef(ref)
    if (record === undefined) return undefined
    const { instanceId, startId, region, availabilityZone } = record
    return { instanceId, startId, region, availabilityZone }
  }

  findByRef (ref: number): MemberRecord | undefined {
    const record = this.byId.get(this.idByRef.get(ref) ?? '')
    return record?.ref === ref ? record : undefined
  }

  /** Processes whose links to this one were confirmed lately, the latest last. */
  recentlyConfirmed (): readonly MemberRecord[] {
    for (const ref of this.confirmedRefs) {
      const record = this.findByRef(ref)
      if (record !== undefined && this.isConfirmed(record)) break
      this.confirmedRefs.delete(ref)
    }
    return [...this.confirmedRefs].flatMap(ref => this.findByRef(ref) ?? [])
  }

  /** Whether a number names an earlier process of an instance. */
  isSuperseded (ref: number): boolean {
    return this.supersededAtMsByRef.has(ref)
  }

  /** Whether ids name an earlier process of an instance. */
  isEarlierProcess (instanceId: string, startId: string): boolean {
    return this.isSuperseded(refOf(instanceId, startId))
  }

  /** Whether a number names a process that left and was forgotten. */
  hasTombstone (ref: number): boolean {
    return this.tombstones.has(ref)
  }

  /** Tells what a sending process has to contradict to count as alive; undefined when nothing. */
  suspicionOf (instanceId: string, startId: string): Suspicion | undefined {
    const ref = refOf(instanceId, startId)
    const record = this.findByRef(ref)
    const tombstone = this.tombstones.get(ref)
    if (record?.suspectSinceMs !== undefined) return { ref, epoch: record.epoch }
    return tombstone === undefined ? undefined : { ref, epoch: tombstone.epoch }
  }

  /** Takes over the platform's list of daemons. */
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
   * Takes in what a process says of itself.
   *
   * @param announcement - Its ids, place, address and epoch.
   * @returns Whether it is news.
   */
  applyAnnouncement (announcement: ProcessAnnouncement): boolean {
    const { self, onOutranked } = this.options
    if (announcement.instanceId === self.instanceId) {
      if (announcement.startId !== self.startId) onOutranked(announcement.epoch)
      return false
    }
    const ref = refOf(announcement.instanceId, announcement.startId)
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

  /** Takes in what a process tells about its state. */
  applyDescription (ref: number, description: SelfDescription, isLeaving: boolean): void {
    const record = this.findByRef(ref)
    if (record !== undefined) this.update(record, { description, isLeaving, heardAtMs: this.nowMs() })
  }

  /** Notes a message from a process; it proves one direction only. */
  recordMessage (instanceId: string, startId: string, freeBudgetPercent: number): void {
    const record = this.byId.get(instanceId)
    if (record !== undefined && record.startId === startId) this.update(record, { freeBudgetPercent, heardAtMs: this.nowMs() })
  }

  /** Notes an exchange that proved both directions. */
  confirmLink (instanceId: string, startId: string): void {
    const record = this.byId.get(instanceId)
    if (record === undefined || record.startId !== startId) return
    this.lastConfirmedAtMs = this.nowMs()
    this.confirmedRefs.delete(record.ref)
    this.confirmedRefs.add(record.ref)
    this.update(record, { confirmedAtMs: this.nowMs(), heardAtMs: this.nowMs(), isLinkFailed: false, isReplaced: false, suspectSinceMs: undefined, goneAtMs: undefined })
  }

  /** Notes that another process answers at an instance's address. */
  markReplaced (instanceId: string): void {
    const record = this.byId.get(instanceId)
    if (record !== undefined) this.update(record, { isReplaced: true })
  }

  /** Notes that the own link to an instance carries nothing, in one direction at least. */
  markLinkFailed (instanceId: string): void {
    const record = this.byId.get(instanceId)
    if (record !== undefined) this.update(record, { isLinkFailed: true })
  }

  /**
   * Takes in a suspicion that came after others had been asked.
   *
   * @param ref - The suspected process.
   * @param epoch - Its epoch as the suspecting daemon knows it; a higher one contradicts the suspicion.
   * @param ageMs - Age of the suspicion.
   */
  suspect (ref: number, epoch: number, ageMs: number): void {
    const record = this.findByRef(ref)
    const suspectSinceMs = this.nowMs() - ageMs
    if (record === undefined || record.epoch > epoch || record.suspectSinceMs !== undefined || record.confirmedAtMs > suspectSinceMs) return
    this.update(record, { suspectSinceMs })
  }

  /** Notes that nobody reached a listed instance that was never heard. */
  suspectUncontacted (instanceId: string): void {
    const record = this.byId.get(instanceId)
    if (record?.startId === '' && record.suspectSinceMs === undefined) this.update(record, { suspectSinceMs: this.nowMs() })
  }

  /**
   * Turns suspicions that nobody contradicted into verdicts and forgets instances that left.
   *
   * @returns Numbers of the processes that were forgotten.
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

  /** Whether the own link to an instance was confirmed lately. */
  isConfirmed (record: MemberRecord): boolean {
    return this.nowMs() - record.confirmedAtMs < LINK_CONFIRMED_MS
  }

  /** Status of an instance. */
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
