import { ejectableSlots, countedSlots } from './capacity.js'
import type { Capacity } from './capacity.js'
import type { Allowance, EjectionEntry } from './ejectionRow.js'
import type { AllowanceEjection, OwnAllowance } from './ownAllowance.js'
import type { HolderEjection, PeerEjection } from './peerEjections.js'
import type { CachedRow } from './rowCache.js'

/** Everything from which a daemon decides which targets of one service are ejected. */
export interface EjectionInputs {
  readonly cachedRow: CachedRow
  readonly capacity: Capacity
  readonly allowance: OwnAllowance
  readonly peerEjections: readonly PeerEjection[]
  readonly nowMs: number
}

/** Ejections that a daemon applies to its own traffic. */
export interface EjectionView {
  readonly statuses: ReadonlyMap<string, 'ejected' | 'trial'>
  /** Ejected targets that this daemon uses nevertheless, because the capacity it sees would go below the floor. */
  readonly readmitted: ReadonlySet<string>
  /** Monotonic time at which the first of the leases that the view is based on ends. */
  readonly validUntilMs: number
}

const compareByAge = (a: EjectionEntry, b: EjectionEntry): number => a.sinceFence - b.sinceFence || (a.targetId < b.targetId ? -1 : 1)

const sumAllowanceSlots = (allowances: readonly Allowance[]): number => allowances.reduce((sum, item) => sum + item.slots, 0)

/** Collects ejections as long as the capacity that this daemon sees stays at the floor or above. */
class EjectionCollector {
  readonly statuses = new Map<string, 'ejected' | 'trial'>()
  readonly readmitted = new Set<string>()

  constructor (private readonly capacity: Capacity) {}

  add (targetId: string, status: 'ejected' | 'trial', reservedSlots: number): void {
    if (this.statuses.has(targetId)) return
    const ejectedSlots = [...this.statuses.keys(), targetId].reduce((sum, id) => sum + countedSlots(this.capacity, id), 0)
    if (Math.max(ejectedSlots, reservedSlots) <= ejectableSlots(this.capacity) || ejectedSlots === 0) this.statuses.set(targetId, status)
    else this.readmitted.add(targetId)
  }
}

/** Adds the entries of the row, oldest first: so a daemon with an older cached row applies a subset of what one with a newer row counts. */
const addRowEntries = (collector: EjectionCollector, { cachedRow, capacity }: EjectionInputs): void => {
  const released = cachedRow.row.entries.filter(entry => entry.stage === 'released')
  let reservedSlots = sumAllowanceSlots(cachedRow.row.allowances) + released.reduce((sum, entry) => sum + countedSlots(capacity, entry.targetId), 0)
  for (const entry of cachedRow.row.entries.filter(({ stage }) => stage !== 'released').sort(compareByAge)) {
    reservedSlots += countedSlots(capacity, entry.targetId)
    collector.add(entry.targetId, entry.stage === 'trial' ? 'trial' : 'ejected', reservedSlots)
  }
}

/**
 * Lists the targets that this daemon ejects under its allowance.
 *
 * @param service - Service of the allowance.
 * @param inputs - Row, capacity and allowance.
 * @returns The ejections within the floor, each with the slots that may be ejected in addition to it.
 */
export const allowanceEjections = (service: string, inputs: EjectionInputs): readonly HolderEjection[] => {
  const { cachedRow, capacity, allowance, nowMs } = inputs
  const entrySlots = cachedRow.row.entries.reduce((sum, entry) => sum + countedSlots(capacity, entry.targetId), 0)
  const ownSlots = allowance.slots
  let behindSlots = entrySlots + Math.max(0, sumAllowanceSlots(cachedRow.row.allowances) - ownSlots)
  const toHolderEjection = (ejection: AllowanceEjection): HolderEjection => {
    const result = { service, targetId: ejection.targetId, slots: ejection.slots, behindSlots, remainingMs: allowance.expiresAtMs - nowMs }
    behindSlots += ejection.slots
    return result
  }
  return allowance.active.map(toHolderEjection).filter(ejection => ejection.behindSlots + ejection.slots <= ejectableSlots(capacity))
}

/**
 * Decides which targets of a service this daemon ejects now.
 *
 * @param service - Service of the targets.
 * @param inputs - Row, capacity, allowance and other daemons' ejections.
 * @returns The view, valid until its first lease ends or an input changes.
 */
export const computeView = (service: string, inputs: EjectionInputs): EjectionView => {
  const { cachedRow, capacity, allowance, peerEjections, nowMs } = inputs
  const collector = new EjectionCollector(capacity)
  const isRowValid = nowMs < cachedRow.validUntilMs
  if (isRowValid) addRowEntries(collector, inputs)
  for (const ejection of allowanceEjections(service, inputs)) collector.add(ejection.targetId, 'ejected', ejection.behindSlots + ejection.slots)
  for (const ejection of peerEjections) collector.add(ejection.targetId, 'ejected', ejection.behindSlots + ejection.slots)
  const readmitted = new Set([...collector.readmitted].filter(targetId => !collector.statuses.has(targetId)))
  const leaseEndsMs = [
    ...peerEjections.map(ejection => ejection.validUntilMs),
    ...(isRowValid ? [cachedRow.validUntilMs] : []),
    ...(allowance.active.length > 0 ? [allowance.expiresAtMs] : [])
  ]
  return { statuses: collector.statuses, readmitted, validUntilMs: Math.min(Infinity, ...leaseEndsMs) }
}
