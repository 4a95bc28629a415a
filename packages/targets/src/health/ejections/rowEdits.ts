import type { InstanceIdentity } from '@lovagehoist/common'
import { ejectableSlots, countedSlots } from './capacity.js'
import type { Capacity } from './capacity.js'
import { ALLOWANCE_LIFETIME_MS, CACHED_ROW_LIFETIME_MS, safeExpiryMs } from './durations.js'
import { allowanceKey, entryKey } from './ejectionRow.js'
import type { Allowance, EjectionEntry, EjectionRow } from './ejectionRow.js'

/** Inputs of an edit, besides the row. */
export interface EditContext {
  readonly self: InstanceIdentity
  readonly capacity: Capacity
  /** Version that the row will have when the edit is applied. */
  readonly fence: number
  /** Id of the write that will apply the edit. */
  readonly operationId: string
  /** Wall-clock time, in milliseconds since the Unix epoch. */
  readonly wallMs: number
  /** Whether this daemon has known a revision of an entry or allowance for at least `durationMs`; see `entryKey` and `allowanceKey`. */
  readonly isKnownForAtLeast: (key: string, durationMs: number) => boolean
  /** Slots of this daemon's allowance under which no daemon can be ejecting a target. */
  readonly ownUnusedSlots: number
}

/** Pure function that returns the changed row, or undefined when there is nothing to change or the floor forbids the change. */
export type RowEdit = (row: EjectionRow, context: EditContext) => EjectionRow | undefined

/** Request of the outlier detection to eject a target. */
export interface EjectionRequest {
  readonly targetId: string
  /** Share of bad outcomes above that of the rest of the pool, 0 to 1. */
  readonly severity: number
  readonly reason: string
  /** Time for which a first ejection lasts before the trial. */
  readonly holdMs: number
  /** Upper limit of the time for repeated ejections. */
  readonly maxHoldMs: number
}

/** Time after its release for which a target counts as recently ejected. */
const EJECTION_MEMORY_MS = 3_600_000
const MAX_REMEMBERED_TARGETS = 64
/** Factor by which the hold time grows with each consecutive ejection. */
const HOLD_GROWTH_FACTOR = 2
/** Largest share of the ejectable slots that allowances may reserve. */
const ALLOWANCE_BUDGET_SHARE = 0.5

const allowanceSlots = (row: EjectionRow): number => row.allowances.reduce((sum, allowance) => sum + allowance.slots, 0)

const entrySlots = (row: EjectionRow, capacity: Capacity): number =>
  row.entries.reduce((sum, entry) => sum + countedSlots(capacity, entry.targetId), 0)

/**
 * Computes the largest number of slots that daemons can eject under a row, in whatever way they use its allowances.
 *
 * @param row - Row of the service.
 * @param capacity - Capacity of the service.
 * @returns Slots of all entries and allowances together.
 */
export const reservedSlots = (row: EjectionRow, capacity: Capacity): number =>
  entrySlots(row, capacity) + allowanceSlots(row)

/** Whether the capacity floor holds under a row, in whatever way daemons use its allowances. */
export const isWithinFloor = (row: EjectionRow, capacity: Capacity): boolean => reservedSlots(row, capacity) <= ejectableSlots(capacity)

const isOwnAllowance = (allowance: Allowance, { self }: EditContext): boolean =>
  allowance.instanceId === self.instanceId && allowance.startId === self.startId

const addToMemory = (row: EjectionRow, expired: readonly EjectionEntry[], wallMs: number): EjectionRow['memory'] => [
  ...row.memory.filter(item => wallMs - item.endedAtMs < EJECTION_MEMORY_MS && !expired.some(entry => entry.targetId === item.targetId)),
  ...expired.map(entry => ({ targetId: entry.targetId, times: entry.times, endedAtMs: wallMs }))
].slice(-MAX_REMEMBERED_TARGETS)

/** Drops what no daemon can act on any more: released entries of which all cached older revisions have expired, and expired allowances. */
export const dropExpired: RowEdit = (row, context) => {
  const expired = row.entries.filter(entry => entry.stage === 'released' && context.isKnownForAtLeast(entryKey(entry), safeExpiryMs(CACHED_ROW_LIFETIME_MS)))
  const allowances = row.allowances.filter(allowance => !context.isKnownForAtLeast(allowanceKey(allowance), safeExpiryMs(ALLOWANCE_LIFETIME_MS)))
  if (expired.length === 0 && allowances.length === row.allowances.length) return undefined
  return { entries: row.entries.filter(entry => !expired.includes(entry)), allowances, memory: addToMemory(row, expired, context.wallMs) }
}

const reduceOwnAllowance = (row: EjectionRow, context: EditContext, slots: number): EjectionRow => {
  if (slots <= 0) return row
  const allowances = row.allowances
    .map(allowance => isOwnAllowance(allowance, context) ? { ...allowance, slots: allowance.slots - slots, fence: context.fence } : allowance)
    .filter(allowance => allowance.slots > 0)
  return { ...row, allowances }
}

const holdDurationMs = (request: EjectionRequest, times: number): number => Math.min(request.maxHoldMs, request.holdMs * HOLD_GROWTH_FACTOR ** (times - 1))

/** Ejects a target if the floor permits it; slots that are not free otherwise are taken from the unused part of this daemon's allowance. */
export const ejectTarget = (request: EjectionRequest): RowEdit => (row, context) => {
  const current = row.entries.find(entry => entry.targetId === request.targetId)
  if (current?.stage === 'ejected') return undefined
  const remembered = row.memory.find(item => item.targetId === request.targetId && context.wallMs - item.endedAtMs < EJECTION_MEMORY_MS)
  const times = (current?.times ?? remembered?.times ?? 0) + 1
  const entry: EjectionEntry = {
    targetId: request.targetId,
    stage: 'ejected',
    fence: context.fence,
    sinceFence: current?.sinceFence ?? context.fence,
    changedAtMs: context.wallMs,
    holdMs: holdDurationMs(request, times),
    times,
    severity: request.severity,
    reason: request.reason
  }
  const withEntry = { ...row, entries: [...row.entries.filter(other => other !== current), entry] }
  if (isWithinFloor(withEntry, context.capacity)) return withEntry
  if (current !== undefined) return undefined
  const converted = reduceOwnAllowance(withEntry, context, Math.min(context.ownUnusedSlots, countedSlots(context.capacity, request.targetId)))
  return isWithinFloor(converted, context.capacity) ? converted : undefined
}

/** Starts the trial of an ejected target, or releases a target; a released one is not changed again. */
export const moveToStage = (targetId: string, stage: 'trial' | 'released'): RowEdit => (row, context) => {
  const current = row.entries.find(entry => entry.targetId === targetId)
  if (current === undefined || current.stage === stage || current.stage === 'released') return undefined
  const entry: EjectionEntry = { ...current, stage, fence: context.fence, changedAtMs: context.wallMs }
  return { ...row, entries: row.entries.map(other => other === current ? entry : other) }
}

/** Releases the ejections of lowest severity until the slots of the rest are within the floor. */
const releaseLeastSevere = (row: EjectionRow, context: EditContext): EjectionRow => {
  const released = new Set<string>()
  const active = row.entries.filter(entry => entry.stage !== 'released')
  let excessSlots = entrySlots({ ...row, entries: active }, context.capacity) - ejectableSlots(context.capacity)
  for (const entry of [...active].sort((a, b) => a.severity - b.severity)) {
    const slots = countedSlots(context.capacity, entry.targetId)
    if (excessSlots <= 0 || slots === 0) continue
    released.add(entry.targetId)
    excessSlots -= slots
  }
  const release = (entry: EjectionEntry): EjectionEntry => ({ ...entry, stage: 'released', fence: context.fence, changedAtMs: context.wallMs })
  return { ...row, entries: row.entries.map(entry => released.has(entry.targetId) ? release(entry) : entry) }
}

/** Frees slots when the row no longer keeps the floor: first unused slots of this daemon's allowance, then the ejections of lowest severity. */
export const restoreFloor: RowEdit = (row, context) => {
  const excessSlots = reservedSlots(row, context.capacity) - ejectableSlots(context.capacity)
  if (excessSlots <= 0) return undefined
  const ownSlots = row.allowances.find(allowance => isOwnAllowance(allowance, context))?.slots ?? 0
  const reduced = ownSlots === 0 ? row : reduceOwnAllowance(row, context, Math.min(excessSlots, context.ownUnusedSlots))
  const result = releaseLeastSevere(reduced, context)
  return JSON.stringify(result) === JSON.stringify(row) ? undefined : result
}

/** Grants or renews this daemon's allowance, an equal share for each holder; all allowances together may reserve half of the ejectable slots. */
export const grantAllowance = (holders: number): RowEdit => (row, context) => {
  const own = row.allowances.find(allowance => isOwnAllowance(allowance, context))
  const others = row.allowances.filter(allowance => allowance !== own)
  const unitSlots = Math.max(1, ...context.capacity.slotsById.values())
  const limitSlots = Math.floor(ejectableSlots(context.capacity) * ALLOWANCE_BUDGET_SHARE)
  const freeSlots = limitSlots - allowanceSlots({ ...row, allowances: others })
  const slotsPerHolder = Math.max(unitSlots, Math.floor(limitSlots / holders / unitSlots) * unitSlots)
  const usedSlots = (own?.slots ?? 0) - context.ownUnusedSlots
  const slots = Math.max(usedSlots, freeSlots >= slotsPerHolder ? slotsPerHolder : 0)
  const allowance: Allowance = { ...context.self, grantId: context.operationId, fence: context.fence, slots }
  const { instanceId, startId, grantId, fence } = allowance
  const renewed = { ...row, allowances: slots === 0 ? others : [...others, { instanceId, startId, grantId, fence, slots }] }
  if (slots === 0 && own === undefined) return undefined
  return slots <= (own?.slots ?? 0) || isWithinFloor(renewed, context.capacity) ? renewed : undefined
}
