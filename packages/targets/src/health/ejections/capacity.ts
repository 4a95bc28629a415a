import type { Target } from '@lovagehoist/common'

/** Slots of the targets that count as capacity: live, warm and not leaving. */
export interface Capacity {
  readonly floorSlots: number
  readonly slotsById: ReadonlyMap<string, number>
  readonly totalSlots: number
}

/** What decides whether a target counts. */
export interface CapacityOptions {
  readonly floorSlots: number
  readonly coldStartMs: number
  /** Wall-clock time, in milliseconds since the Unix epoch. */
  readonly wallMs: number
}

/** Whether a target is still within its cold start. */
export const isCold = (target: Target, coldStartMs: number, wallMs: number): boolean => wallMs - target.startedAtMs < coldStartMs

/**
 * Counts the capacity of a service.
 *
 * @param targets - Known targets of the service.
 * @param options - Floor, length of a cold start and the time.
 * @returns The capacity in slots.
 */
export const capacityOf = (targets: readonly Target[], options: CapacityOptions): Capacity => {
  const counted = targets.filter(target => !target.isLeaving && !isCold(target, options.coldStartMs, options.wallMs))
  return {
    floorSlots: options.floorSlots,
    slotsById: new Map(counted.map(target => [target.id, target.slots])),
    totalSlots: counted.reduce((sum, target) => sum + target.slots, 0)
  }
}

/** Slots by which a target adds to the capacity; 0 when it does not count. */
export const slotsOf = (capacity: Capacity, targetId: string): number => capacity.slotsById.get(targetId) ?? 0

/** Slots that may be taken out in all. */
export const budgetOf = (capacity: Capacity): number => capacity.totalSlots - capacity.floorSlots
