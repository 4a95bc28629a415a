import { budgetOf, slotsOf } from './capacity.js'
import type { Capacity } from './capacity.js'
import type { Allowance, EjectionEntry } from './ejectionRow.js'
import type { AllowanceUse, OwnAllowance } from './ownAllowance.js'
import type { HolderUse, KnownUse } from './peerUses.js'
import type { RowCopy } from './rowCopies.js'

/** What this daemon may act on for one service. */
export interface EjectionInputs {
  readonly copy: RowCopy
  readonly capacity: Capacity
  readonly allowance: OwnAllowance
  readonly peerUses: readonly KnownUse[]
  readonly nowMs: number
}

/** Targets that this daemon keeps out, and those that it keeps in for the sake of the floor. */
export interface EjectionView {
  readonly statuses: ReadonlyMap<string, 'ejected' | 'trial'>
  readonly givenBack: ReadonlySet<string>
  /** Monotonic time at which the first lease behind this view ends. */
  readonly validUntilMs: number
}

const byAge = (a: EjectionEntry, b: EjectionEntry): number => a.sinceFence - b.sinceFence || (a.targetId < b.targetId ? -1 : 1)

const sumSlots = (items: readonly Allowance[]): number => items.reduce((sum, item) => sum + item.slots, 0)

/** Collects what is out, as long as the capacity in this daemon's own view leaves the floor. */
class OutList {
  readonly statuses = new Map<string, 'ejected' | 'trial'>()
  readonly givenBack = new Set<string>()

  constructor (private readonly capacity: Capacity) {}

  add (targetId: string, status: 'ejected' | 'trial', reservedSlots: number): void {
    if (this.statuses.has(targetId)) return
    const outSlots = [...this.statuses.keys(), targetId].reduce((sum, id) => sum + slotsOf(this.capacity, id), 0)
    if (Math.max(outSlots, reservedSlots) <= budgetOf(this.capacity) || outSlots === 0) this.statuses.set(targetId, status)
    else this.givenBack.add(targetId)
  }
}

/** Oldest first: a daemon with an older copy of the row keeps a subset of what one with a newer copy counts. */
const addRow = (out: OutList, { copy, capacity }: EjectionInputs): void => {
  const released = copy.row.entries.filter(entry => entry.stage === 'released')
  let reserved = sumSlots(copy.row.allowances) + released.reduce((sum, entry) => sum + slotsOf(capacity, entry.targetId), 0)
  for (const entry of copy.row.entries.filter(({ stage }) => stage !== 'released').sort(byAge)) {
    reserved += slotsOf(capacity, entry.targetId)
    out.add(entry.targetId, entry.stage === 'trial' ? 'trial' : 'ejected', reserved)
  }
}

/**
 * Lists what this daemon ejects under its allowance, with what may be out besides.
 *
 * @param service - Service.
 * @param inputs - What this daemon knows.
 * @returns The uses that leave the floor.
 */
export const ownUses = (service: string, inputs: EjectionInputs): readonly HolderUse[] => {
  const { copy, capacity, allowance, nowMs } = inputs
  const entries = copy.row.entries.reduce((sum, entry) => sum + slotsOf(capacity, entry.targetId), 0)
  const own = allowance.slots
  let behindSlots = entries + Math.max(0, sumSlots(copy.row.allowances) - own)
  const toUse = (use: AllowanceUse): HolderUse => {
    const result = { service, targetId: use.targetId, slots: use.slots, behindSlots, remainingMs: allowance.expiresAtMs - nowMs }
    behindSlots += use.slots
    return result
  }
  return allowance.active.map(toUse).filter(use => use.behindSlots + use.slots <= budgetOf(capacity))
}

/**
 * Decides which targets of a service this daemon keeps out now.
 *
 * @param service - Service.
 * @param inputs - What this daemon knows.
 * @returns The view; it holds until its first lease ends or an input changes.
 */
export const viewOf = (service: string, inputs: EjectionInputs): EjectionView => {
  const { copy, capacity, allowance, peerUses, nowMs } = inputs
  const out = new OutList(capacity)
  const isCopyValid = nowMs < copy.validUntilMs
  if (isCopyValid) addRow(out, inputs)
  for (const use of ownUses(service, inputs)) out.add(use.targetId, 'ejected', use.behindSlots + use.slots)
  for (const use of peerUses) out.add(use.targetId, 'ejected', use.behindSlots + use.slots)
  const givenBack = new Set([...out.givenBack].filter(targetId => !out.statuses.has(targetId)))
  const ends = [
    ...peerUses.map(use => use.validUntilMs),
    ...(isCopyValid ? [copy.validUntilMs] : []),
    ...(allowance.active.length > 0 ? [allowance.expiresAtMs] : [])
  ]
  return { statuses: out.statuses, givenBack, validUntilMs: Math.min(Infinity, ...ends) }
}
