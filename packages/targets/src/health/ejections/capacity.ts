import type { Target } from '@lovagehoist/common'

/** Capacity of a service in slots. A target counts while it is listed, past its cold start and not leaving. */
export interface Capacity {
  /** Slots that must stay in service whatever is ejected. */
  readonly floorSlots: number
  /** Slots of each target that counts. */
  readonly slotsById: ReadonlyMap<string, number>
  readonly totalSlots: number
}

/** Floor of the service, and what decides whether a target is cold. */
export interface CapacityOptions {
  readonly floorSlots: number
  readonly coldStartMs: number
  /** Wall-clock time, in milliseconds since the Unix epoch. */
  readonly wallMs: number
}

/** Whether a target started less than `coldStartMs` ago. */
export const isCold = (target: Target, coldStartMs: number, wallMs: number): boolean => wallMs - target.startedAtMs < coldStartMs

/**
 * Sums the slots of the targets that count as capacity.
 *
 * @param targets - Known targets of the service.
 * @param options - Capacity floor, duration of a cold start and the current time.
 * @returns The capacity in slots.
 */
export const computeCapacity = (targets: readonly Target[], options: CapacityOptions): Capacity => {
  const counted = targets.filter(target => !target.isLeaving && !isCold(target, options.coldStartMs, options.wallMs))
  return {
    floorSlots: options.floorSlots,
    slotsById: new Map(counted.map(target => [target.id, target.slots])),
    totalSlots: counted.reduce((sum, target) => sum + target.slots, 0)
  }
}

/** Slots that a target contributes to the capacity; 0 when it does not count. */
export const countedSlots = (capacity: Capacity, targetId: string): number => capacity.slotsById.get(targetId) ?? 0

/** Largest number of slots that may be ejected at once without going below the floor; negative when the capacity is below it. */
export const ejectableSlots = (capacity: Capacity): number => capacity.totalSlots - capacity.floorSlots
