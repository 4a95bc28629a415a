import type { InstanceIdentity } from '@lovagehoist/common'
import { budgetOf, slotsOf } from './capacity.js'
import type { Capacity } from './capacity.js'
import { ALLOWANCE_LIFETIME_MS, COPY_LIFETIME_MS, lapseMs } from './durations.js'
import { allowanceKey, entryKey } from './ejectionRow.js'
import type { Allowance, EjectionEntry, EjectionRow } from './ejectionRow.js'

/** What an edit of a row may look at. */
export interface EditContext {
  readonly self: InstanceIdentity
  readonly capacity: Capacity
  /** Version that the row will have when the edit is applied. */
  readonly fence: number
  readonly operationId: string
  readonly wallMs: number
  /** Whether this daemon has seen an item of the row for at least a time. */
  readonly isSeenFor: (key: string, durationMs: number) => boolean
  /** Slots of this daemon's allowance that nobody acts on. */
  readonly ownUnusedSlots: number
}

/** A changed row, or undefined when the edit has nothing to change or is not allowed. */
export type RowEdit = (row: EjectionRow, context: EditContext) => EjectionRow | undefined

/** An ejection asked for by the judgement of evidence. */
export interface EjectionOrder {
  readonly targetId: string
  readonly severity: number
  readonly reason: string
  readonly holdMs: number
  readonly longestHoldMs: number
}

const MEMORY_MS = 3_600_000
const MAX_MEMORY = 64
const HOLD_GROWTH = 2
const ALLOWANCE_BUDGET_SHARE = 0.5

const allowanceSlots = (row: EjectionRow): number => row.allowances.reduce((sum, allowance) => sum + allowance.slots, 0)

const entrySlots = (row: EjectionRow, capacity: Capacity): number =>
  row.entries.reduce((sum, entry) => sum + slotsOf(capacity, entry.targetId), 0)

/**
 * Slots that are out or may be taken out by a row, whatever any daemon does.
 *
 * @param row - Row.
 * @param capacity - Capacity of the service.
 * @returns Slots of all entries and allowances.
 */
export const reservedSlots = (row: EjectionRow, capacity: Capacity): number =>
  entrySlots(row, capacity) + allowanceSlots(row)

/** Whether a row leaves the floor, whatever any daemon does. */
export const keepsFloor = (row: EjectionRow, capacity: Capacity): boolean => reservedSlots(row, capacity) <= budgetOf(capacity)

const isSelf = (allowance: Allowance, { self }: EditContext): boolean =>
  allowance.instanceId === self.instanceId && allowance.startId === self.startId

const remember = (row: EjectionRow, gone: readonly EjectionEntry[], wallMs: number): EjectionRow['memory'] => [
  ...row.memory.filter(item => wallMs - item.endedAtMs < MEMORY_MS && !gone.some(entry => entry.targetId === item.targetId)),
  ...gone.map(entry => ({ targetId: entry.targetId, times: entry.times, endedAtMs: wallMs }))
].slice(-MAX_MEMORY)

/** Drops what no daemon can act on any more: entries released long ago and allowances that lapsed. */
export const dropLapsed: RowEdit = (row, context) => {
  const gone = row.entries.filter(entry => entry.stage === 'released' && context.isSeenFor(entryKey(entry), lapseMs(COPY_LIFETIME_MS)))
  const allowances = row.allowances.filter(allowance => !context.isSeenFor(allowanceKey(allowance), lapseMs(ALLOWANCE_LIFETIME_MS)))
  if (gone.length === 0 && allowances.length === row.allowances.length) return undefined
  return { entries: row.entries.filter(entry => !gone.includes(entry)), allowances, memory: remember(row, gone, context.wallMs) }
}

const withoutOwnSlots = (row: EjectionRow, context: EditContext, slots: number): EjectionRow => {
  if (slots <= 0) return row
  const allowances = row.allowances
    .map(allowance => isSelf(allowance, context) ? { ...allowance, slots: allowance.slots - slots, fence: context.fence } : allowance)
    .filter(allowance => allowance.slots > 0)
  return { ...row, allowances }
}

const holdOf = (order: EjectionOrder, times: number): number => Math.min(order.longestHoldMs, order.holdMs * HOLD_GROWTH ** (times - 1))

/** Lists a target as ejected, if the floor holds; takes from this daemon's allowance what the free budget lacks. */
export const eject = (order: EjectionOrder): RowEdit => (row, context) => {
  const before = row.entries.find(entry => entry.targetId === order.targetId)
  if (before?.stage === 'ejected') return undefined
  const remembered = row.memory.find(item => item.targetId === order.targetId && context.wallMs - item.endedAtMs < MEMORY_MS)
  const times = (before?.times ?? remembered?.times ?? 0) + 1
  const entry: EjectionEntry = {
    targetId: order.targetId,
    stage: 'ejected',
    fence: context.fence,
    sinceFence: before?.sinceFence ?? context.fence,
    changedAtMs: context.wallMs,
    holdMs: holdOf(order, times),
    times,
    severity: order.severity,
    reason: order.reason
  }
  const listed = { ...row, entries: [...row.entries.filter(other => other !== before), entry] }
  if (keepsFloor(listed, context.capacity)) return listed
  if (before !== undefined) return undefined
  const converted = withoutOwnSlots(listed, context, Math.min(context.ownUnusedSlots, slotsOf(context.capacity, order.targetId)))
  return keepsFloor(converted, context.capacity) ? converted : undefined
}

/** Moves a target to another stage. */
export const moveTo = (targetId: string, stage: 'trial' | 'released'): RowEdit => (row, context) => {
  const before = row.entries.find(entry => entry.targetId === targetId)
  if (before === undefined || before.stage === stage || before.stage === 'released') return undefined
  const entry: EjectionEntry = { ...before, stage, fence: context.fence, changedAtMs: context.wallMs }
  return { ...row, entries: row.entries.map(other => other === before ? entry : other) }
}

const releaseLeastSick = (row: EjectionRow, context: EditContext): EjectionRow => {
  const released = new Set<string>()
  const held = row.entries.filter(entry => entry.stage !== 'released')
  let excess = entrySlots({ ...row, entries: held }, context.capacity) - budgetOf(context.capacity)
  for (const entry of [...held].sort((a, b) => a.severity - b.severity)) {
    const slots = slotsOf(context.capacity, entry.targetId)
    if (excess <= 0 || slots === 0) continue
    released.add(entry.targetId)
    excess -= slots
  }
  const release = (entry: EjectionEntry): EjectionEntry => ({ ...entry, stage: 'released', fence: context.fence, changedAtMs: context.wallMs })
  return { ...row, entries: row.entries.map(entry => released.has(entry.targetId) ? release(entry) : entry) }
}

/** Gives back what the floor needs: first this daemon's unused allowance, then the least sick targets. */
export const giveBack: RowEdit = (row, context) => {
  const excess = reservedSlots(row, context.capacity) - budgetOf(context.capacity)
  if (excess <= 0) return undefined
  const ownSlots = row.allowances.find(allowance => isSelf(allowance, context))?.slots ?? 0
  const reduced = ownSlots === 0 ? row : withoutOwnSlots(row, context, Math.min(excess, context.ownUnusedSlots))
  const result = releaseLeastSick(reduced, context)
  return JSON.stringify(result) === JSON.stringify(row) ? undefined : result
}

/** Grants or renews this daemon's allowance; all allowances together stay within half of the budget. */
export const grant = (holders: number): RowEdit => (row, context) => {
  const own = row.allowances.find(allowance => isSelf(allowance, context))
  const others = row.allowances.filter(allowance => allowance !== own)
  const unitSlots = Math.max(1, ...context.capacity.slotsById.values())
  const limitSlots = Math.floor(budgetOf(context.capacity) * ALLOWANCE_BUDGET_SHARE)
  const free = limitSlots - allowanceSlots({ ...row, allowances: others })
  const each = Math.max(unitSlots, Math.floor(limitSlots / holders / unitSlots) * unitSlots)
  const usedSlots = (own?.slots ?? 0) - context.ownUnusedSlots
  const slots = Math.max(usedSlots, free >= each ? each : 0)
  const allowance: Allowance = { ...context.self, grantId: context.operationId, fence: context.fence, slots }
  const { instanceId, startId, grantId, fence } = allowance
  const renewed = { ...row, allowances: slots === 0 ? others : [...others, { instanceId, startId, grantId, fence, slots }] }
  if (slots === 0 && own === undefined) return undefined
  return slots <= (own?.slots ?? 0) || keepsFloor(renewed, context.capacity) ? renewed : undefined
}
