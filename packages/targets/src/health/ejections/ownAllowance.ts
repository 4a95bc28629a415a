import type { Clock, InstanceIdentity } from '@lovagehoist/common'
import { ALLOWANCE_LIFETIME_MS, ALLOWANCE_RENEWAL_AGE_MS, PEER_EJECTION_LIFETIME_MS, safeExpiryMs } from './durations.js'
import type { EjectionRow } from './ejectionRow.js'

/** Writes with unknown result whose start time is kept. */
const MAX_TRACKED_WRITES = 16

/** A target that this process ejects, or recently ejected, under its allowance. */
export interface AllowanceEjection {
  readonly targetId: string
  readonly slots: number
  /** Monotonic time at which the ejection was stopped; undefined while it is active. */
  readonly stoppedAtMs: number | undefined
}

/** Allowance as last granted by the table. */
interface Grant {
  readonly grantId: string
  readonly slots: number
  /** Monotonic time at which the write that granted it was started. */
  readonly startedAtMs: number
}

/** Limit on the allowance while it is unknown whether a write that reduces it took effect. */
interface UnsettledCap {
  /** Row version that the write is conditional on; a newer version settles it. */
  readonly version: number
  readonly slots: number
}

/** Allowance of this process for one service, with the targets ejected under it. */
export class OwnAllowance {
  private grant: Grant | undefined
  private cap: UnsettledCap | undefined
  private previousCap: UnsettledCap | undefined
  /** Monotonic start times of writes that grant or renew the allowance, by operation id. */
  private readonly writeStartsMs = new Map<string, number>()
  private ejections: readonly AllowanceEjection[] = []

  private constructor (private readonly clock: Clock, private readonly self: InstanceIdentity) {}

  /**
   * Creates an allowance of zero slots.
   *
   * @param clock - Source of time.
   * @param self - Identity of this process.
   * @returns The allowance.
   */
  static create (clock: Clock, self: InstanceIdentity): OwnAllowance {
    return new OwnAllowance(clock, self)
  }

  /** Slots that may be ejected now; 0 once the allowance has expired. */
  get slots (): number {
    const { grant, cap } = this
    if (grant === undefined || this.clock.monotonicMs() >= this.expiresAtMs) return 0
    return cap === undefined ? grant.slots : Math.min(cap.slots, grant.slots)
  }

  /** Monotonic time at which the allowance expires. */
  get expiresAtMs (): number {
    return this.grant === undefined ? -Infinity : this.grant.startedAtMs + ALLOWANCE_LIFETIME_MS
  }

  /** Whether the allowance is missing or old enough to be renewed. */
  get isRenewalDue (): boolean {
    return this.grant === undefined || this.clock.monotonicMs() - this.grant.startedAtMs >= ALLOWANCE_RENEWAL_AGE_MS
  }

  /** Slots under which no daemon can be ejecting a target: neither this one nor one with a cached list of its ejections. */
  get unusedSlots (): number {
    const usedSlots = this.unexpiredEjections().reduce((sum, ejection) => sum + ejection.slots, 0)
    return Math.max(0, this.slots - usedSlots)
  }

  /** Targets ejected now under the allowance; empty once it has expired. */
  get active (): readonly AllowanceEjection[] {
    let remainingSlots = this.slots
    if (remainingSlots === 0) return []
    return this.ejections.filter(ejection => {
      if (ejection.stoppedAtMs !== undefined || ejection.slots > remainingSlots) return false
      remainingSlots -= ejection.slots
      return true
    })
  }

  /**
   * Ejects a target under the allowance if enough slots are unused.
   *
   * @param targetId - Id of the target.
   * @param slots - Slots of the target.
   * @returns Whether the target is now ejected under the allowance.
   */
  eject (targetId: string, slots: number): boolean {
    const existing = this.unexpiredEjections().find(ejection => ejection.targetId === targetId)
    if (existing === undefined && (slots === 0 || slots > this.unusedSlots)) return false
    if (this.slots === 0) return false
    const reservedSlots = Math.max(slots, existing?.slots ?? 0)
    this.ejections = [...this.unexpiredEjections().filter(ejection => ejection !== existing), { targetId, slots: reservedSlots, stoppedAtMs: undefined }]
    return true
  }

  /** Stops an ejection; its slots stay reserved while other daemons may still act on it. */
  stop (targetId: string): void {
    const nowMs = this.clock.monotonicMs()
    this.ejections = this.unexpiredEjections().map(ejection => ejection.targetId === targetId && ejection.stoppedAtMs === undefined ? { ...ejection, stoppedAtMs: nowMs } : ejection)
  }

  /**
   * Records a write that is about to be sent; if it reduces the allowance, the lower limit applies from now on.
   *
   * @param operationId - Id of the write.
   * @param row - Row to be written.
   * @param version - Row version that the write is conditional on.
   */
  trackWrite (operationId: string, row: EjectionRow, version: number): void {
    const own = this.findOwn(row)
    if (own?.grantId === operationId) this.writeStartsMs.set(operationId, this.clock.monotonicMs())
    const slots = own?.slots ?? 0
    this.previousCap = this.cap
    if (this.grant !== undefined && slots < this.grant.slots) this.cap = { version, slots: Math.min(slots, this.cap?.slots ?? slots) }
  }

  /** Reverts `trackWrite` for a write that certainly has not taken and will not take effect. */
  cancelWrite (operationId: string): void {
    this.writeStartsMs.delete(operationId)
    this.cap = this.previousCap
  }

  /** Updates the allowance from a row that was read or written; a grant of another process or of an untracked write gives no slots. */
  applyRow (row: EjectionRow, version: number): void {
    if (this.cap !== undefined && version > this.cap.version) this.cap = undefined
    const own = this.findOwn(row)
    const startedAtMs = own === undefined ? undefined : this.writeStartsMs.get(own.grantId)
    this.grant = own === undefined || startedAtMs === undefined ? undefined : { grantId: own.grantId, slots: own.slots, startedAtMs }
    if (this.slots === 0) this.ejections = []
    this.forgetOldWrites(own?.grantId)
  }

  private forgetOldWrites (grantId: string | undefined): void {
    for (const id of [...this.writeStartsMs.keys()].slice(0, -MAX_TRACKED_WRITES)) if (id !== grantId) this.writeStartsMs.delete(id)
  }

  private findOwn (row: EjectionRow): EjectionRow['allowances'][number] | undefined {
    return row.allowances.find(({ instanceId, startId }) => instanceId === this.self.instanceId && startId === this.self.startId)
  }

  /** Active ejections, and stopped ones that other daemons may still act on. */
  private unexpiredEjections (): readonly AllowanceEjection[] {
    const nowMs = this.clock.monotonicMs()
    return this.ejections.filter(ejection => ejection.stoppedAtMs === undefined || nowMs - ejection.stoppedAtMs < safeExpiryMs(PEER_EJECTION_LIFETIME_MS))
  }
}
