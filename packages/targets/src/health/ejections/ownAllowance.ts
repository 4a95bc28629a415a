import type { Clock, InstanceIdentity } from '@lovagehoist/common'
import { ALLOWANCE_LIFETIME_MS, ALLOWANCE_RENEW_MS, USE_LIFETIME_MS, lapseMs } from './durations.js'
import type { EjectionRow } from './ejectionRow.js'

/** Unsettled writes whose start is remembered. */
const KEPT_WRITES = 16

/** A target that this daemon ejects under its allowance. */
export interface AllowanceUse {
  readonly targetId: string
  readonly slots: number
  /** Monotonic time of its end; undefined while it lasts. */
  readonly stoppedAtMs: number | undefined
}

interface Grant {
  readonly grantId: string
  readonly slots: number
  readonly startedAtMs: number
}

interface Cap {
  /** Version on which the unsettled write depends. */
  readonly version: number
  readonly slots: number
}

/** Allowance of this process for one service, and the targets ejected under it. */
export class OwnAllowance {
  private grant: Grant | undefined
  private cap: Cap | undefined
  private capBefore: Cap | undefined
  private readonly writeStartsMs = new Map<string, number>()
  private uses: readonly AllowanceUse[] = []

  private constructor (private readonly clock: Clock, private readonly self: InstanceIdentity) {}

  /**
   * Creates an allowance of nothing.
   *
   * @param clock - Source of time.
   * @param self - This process.
   * @returns The allowance.
   */
  static create (clock: Clock, self: InstanceIdentity): OwnAllowance {
    return new OwnAllowance(clock, self)
  }

  /** Slots that may be ejected now; 0 once the allowance lapsed. */
  get slots (): number {
    const { grant, cap } = this
    if (grant === undefined || this.clock.monotonicMs() >= this.expiresAtMs) return 0
    return cap === undefined ? grant.slots : Math.min(cap.slots, grant.slots)
  }

  /** Monotonic time from which nothing may be ejected under the allowance. */
  get expiresAtMs (): number {
    return this.grant === undefined ? -Infinity : this.grant.startedAtMs + ALLOWANCE_LIFETIME_MS
  }

  /** Whether it is time to renew the allowance, or to ask for one. */
  get isRenewalDue (): boolean {
    return this.grant === undefined || this.clock.monotonicMs() - this.grant.startedAtMs >= ALLOWANCE_RENEW_MS
  }

  /** Slots that neither this daemon nor any other acts on. */
  get unusedSlots (): number {
    const usedSlots = this.current().reduce((sum, use) => sum + use.slots, 0)
    return Math.max(0, this.slots - usedSlots)
  }

  /** Targets ejected now under the allowance; empty once it lapsed. */
  get active (): readonly AllowanceUse[] {
    let leftSlots = this.slots
    if (leftSlots === 0) return []
    return this.uses.filter(use => {
      if (use.stoppedAtMs !== undefined || use.slots > leftSlots) return false
      leftSlots -= use.slots
      return true
    })
  }

  /**
   * Ejects a target under the allowance, if the slots suffice.
   *
   * @param targetId - Target.
   * @param slots - Slots of the target.
   * @returns Whether the target is ejected under the allowance now.
   */
  use (targetId: string, slots: number): boolean {
    const known = this.current().find(use => use.targetId === targetId)
    if (known === undefined && (slots === 0 || slots > this.unusedSlots)) return false
    if (this.slots === 0) return false
    const takenSlots = Math.max(slots, known?.slots ?? 0)
    this.uses = [...this.current().filter(use => use !== known), { targetId, slots: takenSlots, stoppedAtMs: undefined }]
    return true
  }

  /** Ends a use; its slots stay taken while other daemons may still act on it. */
  stop (targetId: string): void {
    const nowMs = this.clock.monotonicMs()
    this.uses = this.current().map(use => use.targetId === targetId && use.stoppedAtMs === undefined ? { ...use, stoppedAtMs: nowMs } : use)
  }

  /**
   * Notes a write that is about to be sent.
   *
   * @param operationId - Operation of the write.
   * @param row - Row that it writes.
   * @param version - Version on which it depends.
   */
  beginWrite (operationId: string, row: EjectionRow, version: number): void {
    const own = this.ownIn(row)
    if (own?.grantId === operationId) this.writeStartsMs.set(operationId, this.clock.monotonicMs())
    const slots = own?.slots ?? 0
    this.capBefore = this.cap
    if (this.grant !== undefined && slots < this.grant.slots) this.cap = { version, slots: Math.min(slots, this.cap?.slots ?? slots) }
  }

  /** Notes that a write surely never takes effect. */
  dropWrite (operationId: string): void {
    this.writeStartsMs.delete(operationId)
    this.cap = this.capBefore
  }

  /** Takes in a row that was read or written. */
  take (row: EjectionRow, version: number): void {
    if (this.cap !== undefined && version > this.cap.version) this.cap = undefined
    const own = this.ownIn(row)
    const startedAtMs = own === undefined ? undefined : this.writeStartsMs.get(own.grantId)
    this.grant = own === undefined || startedAtMs === undefined ? undefined : { grantId: own.grantId, slots: own.slots, startedAtMs }
    if (this.slots === 0) this.uses = []
    this.forgetOldWrites(own?.grantId)
  }

  private forgetOldWrites (grantId: string | undefined): void {
    for (const id of [...this.writeStartsMs.keys()].slice(0, -KEPT_WRITES)) if (id !== grantId) this.writeStartsMs.delete(id)
  }

  private ownIn (row: EjectionRow): EjectionRow['allowances'][number] | undefined {
    return row.allowances.find(({ instanceId, startId }) => instanceId === this.self.instanceId && startId === this.self.startId)
  }

  private current (): readonly AllowanceUse[] {
    const nowMs = this.clock.monotonicMs()
    return this.uses.filter(use => use.stoppedAtMs === undefined || nowMs - use.stoppedAtMs < lapseMs(USE_LIFETIME_MS))
  }
}
