import type { Clock, DirectoryEntry, InstanceIdentity, Member } from '@lovagehoist/common'
import { newRecord, refOf, statusOf } from './memberRecord.js'
import type { MemberRecord, SelfDescription, SelfWord } from './memberRecord.js'

/** Time for which a confirmed exchange proves a link. */
export const CONFIRMED_MS = 8_000
/** Time from a suspicion to the verdict that nobody contradicted it. */
export const GONE_AFTER_MS = 6_000
/** Time for which an instance that is gone stays known, so that late messages of it are recognised. */
export const REMEMBERED_MS = 60_000

/** Time for which the epoch of a forgotten process is kept; longer than its own entries live elsewhere. */
const FORGOTTEN_MS = 1_200_000

interface ForgottenProcess {
  readonly epoch: number
  readonly atMs: number
}

/** A process that counts as lost, with the epoch that it has to exceed. */
export interface Doubt {
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
  private readonly superseded = new Map<number, number>()
  private readonly forgotten = new Map<number, ForgottenProcess>()
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
    const record = this.findRef(ref)
    if (record === undefined) return undefined
    const { instanceId, startId, region, availabilityZone } = record
    return { instanceId, startId, region, availabilityZone }
  }

  findRef (ref: number): MemberRecord | undefined {
    const record = this.byId.get(this.idByRef.get(ref) ?? '')
    return record?.ref === ref ? record : undefined
  }

  /** Processes whose links to this one were confirmed lately, the latest last. */
  confirmedLately (): readonly MemberRecord[] {
    for (const ref of this.confirmedRefs) {
      const record = this.findRef(ref)
      if (record !== undefined && this.isConfirmed(record)) break
      this.confirmedRefs.delete(ref)
    }
    return [...this.confirmedRefs].flatMap(ref => this.findRef(ref) ?? [])
  }

  /** Whether a number names an earlier process of an instance. */
  isSuperseded (ref: number): boolean {
    return this.superseded.has(ref)
  }

  /** Whether ids name an earlier process of an instance. */
  isEarlier (instanceId: string, startId: string): boolean {
    return this.isSuperseded(refOf(instanceId, startId))
  }

  /** Whether a number names a process that left and was forgotten. */
  isForgotten (ref: number): boolean {
    return this.forgotten.has(ref)
  }

  /** Tells what a sending process has to contradict to count as alive; undefined when nothing. */
  doubtOf (instanceId: string, startId: string): Doubt | undefined {
    const ref = refOf(instanceId, startId)
    const record = this.findRef(ref)
    const forgotten = this.forgotten.get(ref)
    if (record?.suspectSinceMs !== undefined) return { ref, epoch: record.epoch }
    return forgotten === undefined ? undefined : { ref, epoch: forgotten.epoch }
  }

  /** Takes over the platform's list of daemons. */
  applyList (entries: readonly DirectoryEntry[]): void {
    const listed = new Map(entries.filter(entry => entry.id !== this.options.self.instanceId).map(entry => [entry.id, entry]))
    for (const record of this.byId.values()) if (!listed.has(record.instanceId)) this.change(record, { listed: 'absent' })
    for (const [id, entry] of listed) {
      const { host, port, region, availabilityZone } = entry
      const known = this.byId.get(id) ?? newRecord({ instanceId: id, host, port, region, availabilityZone }, this.nowMs())
      const address = known.startId === '' ? { host, port } : {}
      this.change(known, { ...address, listed: entry.state })
    }
  }

  /**
   * Takes in what a process says of itself.
   *
   * @param word - Its ids, place, address and epoch.
   * @returns Whether it is news.
   */
  learn (word: SelfWord): boolean {
    const { self, onOutranked } = this.options
    if (word.instanceId === self.instanceId) {
      if (word.startId !== self.startId) onOutranked(word.epoch)
      return false
    }
    const ref = refOf(word.instanceId, word.startId)
    const known = this.byId.get(word.instanceId)
    if (this.superseded.has(ref) || word.epoch <= (this.forgotten.get(ref)?.epoch ?? known?.epoch ?? 0)) return false
    this.forgotten.delete(ref)
    const isSameProcess = known?.startId === word.startId
    if (known !== undefined && known.startId !== '' && !isSameProcess) this.superseded.set(known.ref, this.nowMs())
    const base = isSameProcess ? known : { ...newRecord(word, this.nowMs()), listed: known?.listed ?? 'absent' as const }
    this.idByRef.set(ref, word.instanceId)
    this.change(base, { ...word, ref, suspectSinceMs: undefined, goneAtMs: undefined, isReplaced: false, heardAtMs: this.nowMs() })
    return true
  }

  /** Takes in what a process tells about its state. */
  describe (ref: number, description: SelfDescription, isLeaving: boolean): void {
    const record = this.findRef(ref)
    if (record !== undefined) this.change(record, { description, isLeaving, heardAtMs: this.nowMs() })
  }

  /** Notes a message from a process; it proves one direction only. */
  heard (instanceId: string, startId: string, roomPercent: number): void {
    const record = this.byId.get(instanceId)
    if (record !== undefined && record.startId === startId) this.change(record, { roomPercent, heardAtMs: this.nowMs() })
  }

  /** Notes an exchange that proved both directions. */
  confirm (instanceId: string, startId: string): void {
    const record = this.byId.get(instanceId)
    if (record === undefined || record.startId !== startId) return
    this.lastConfirmedAtMs = this.nowMs()
    this.confirmedRefs.delete(record.ref)
    this.confirmedRefs.add(record.ref)
    this.change(record, { confirmedAtMs: this.nowMs(), heardAtMs: this.nowMs(), isLinkFailed: false, isReplaced: false, suspectSinceMs: undefined, goneAtMs: undefined })
  }

  /** Notes that another process answers at an instance's address. */
  markReplaced (instanceId: string): void {
    const record = this.byId.get(instanceId)
    if (record !== undefined) this.change(record, { isReplaced: true })
  }

  /** Notes that the own link to an instance carries nothing, in one direction at least. */
  failLink (instanceId: string): void {
    const record = this.byId.get(instanceId)
    if (record !== undefined) this.change(record, { isLinkFailed: true })
  }

  /**
   * Takes in a suspicion that came after others had been asked.
   *
   * @param ref - The suspected process.
   * @param epoch - Its epoch as the suspecting daemon knows it; a higher one contradicts the suspicion.
   * @param ageMs - Age of the suspicion.
   */
  suspect (ref: number, epoch: number, ageMs: number): void {
    const record = this.findRef(ref)
    const bornAtMs = this.nowMs() - ageMs
    if (record === undefined || record.epoch > epoch || record.suspectSinceMs !== undefined || record.confirmedAtMs > bornAtMs) return
    this.change(record, { suspectSinceMs: bornAtMs })
  }

  /** Notes that nobody reached a listed instance that was never heard. */
  suspectUnheard (instanceId: string): void {
    const record = this.byId.get(instanceId)
    if (record?.startId === '' && record.suspectSinceMs === undefined) this.change(record, { suspectSinceMs: this.nowMs() })
  }

  /**
   * Turns suspicions that nobody contradicted into verdicts and forgets instances that left.
   *
   * @returns Numbers of the processes that were forgotten.
   */
  sweep (): readonly number[] {
    const nowMs = this.nowMs()
    const forgotten: number[] = []
    for (const [ref, { atMs }] of this.forgotten) if (nowMs - atMs > FORGOTTEN_MS) this.forgotten.delete(ref)
    for (const [ref, atMs] of this.superseded) {
      if (nowMs - atMs <= REMEMBERED_MS) continue
      this.superseded.delete(ref)
      this.idByRef.delete(ref)
      forgotten.push(ref)
    }
    for (const record of this.byId.values()) {
      const { suspectSinceMs, goneAtMs, listed } = record
      const isLost = suspectSinceMs !== undefined && nowMs - suspectSinceMs >= GONE_AFTER_MS
      const isUnheard = record.startId === '' && listed === 'absent'
      if (goneAtMs === undefined && (isLost || isUnheard)) this.change(record, { goneAtMs: nowMs })
      if (goneAtMs === undefined || listed !== 'absent' || nowMs - goneAtMs <= REMEMBERED_MS) continue
      this.byId.delete(record.instanceId)
      this.sortedIds = undefined
      this.idByRef.delete(record.ref)
      this.forgotten.set(record.ref, { epoch: record.epoch, atMs: nowMs })
      forgotten.push(record.ref)
    }
    return forgotten
  }

  /** Whether the own link to an instance was confirmed lately. */
  isConfirmed (record: MemberRecord): boolean {
    return this.nowMs() - record.confirmedAtMs < CONFIRMED_MS
  }

  /** Status of an instance. */
  statusOf (record: MemberRecord): Member['status'] {
    return statusOf(record, this.nowMs() - this.lastConfirmedAtMs < CONFIRMED_MS, this.isConfirmed(record))
  }

  private change (record: MemberRecord, change: Partial<MemberRecord>): void {
    if (!this.byId.has(record.instanceId)) this.sortedIds = undefined
    this.byId.set(record.instanceId, { ...record, ...change })
  }

  private nowMs (): number {
    return this.options.clock.monotonicMs()
  }
}
