/** Sizes that a subset depends on. */
export interface SubsetSizes {
  readonly daemons: number
  readonly targets: number
  /** Connections that one target accepts from the whole fleet. */
  readonly connectionsPerTarget: number
}

/** Size of a subset and connections to each of its targets. */
export interface SubsetLimits {
  /** Targets that a daemon prefers. */
  readonly size: number
  /** Requests that a daemon has in flight at one target, and so its connections there. */
  readonly maxInFlightPerTarget: number
}

const LARGEST_SUBSET = 12
/** Share of a target's connections that is planned; the rest is left for spill and replacement. */
const PLANNED_CONNECTION_SHARE = 0.5

/**
 * Derives a subset's size, so that all daemons together stay below each target's connections.
 *
 * @param sizes - Sizes of the fleet and the service.
 * @returns The limits; both at least 1.
 */
export const limitSubset = ({ daemons, targets, connectionsPerTarget }: SubsetSizes): SubsetLimits => {
  const planned = connectionsPerTarget * PLANNED_CONNECTION_SHARE * targets / Math.max(1, daemons)
  const size = Math.max(1, Math.min(targets, LARGEST_SUBSET, Math.floor(planned)))
  return { size, maxInFlightPerTarget: Math.max(1, Math.floor(planned / size)) }
}
