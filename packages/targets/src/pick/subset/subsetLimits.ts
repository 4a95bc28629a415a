/** Fleet and service sizes that determine the size of a subset. */
export interface SubsetSizes {
  readonly daemons: number
  readonly targets: number
  /** Connections that one target accepts from the whole fleet. */
  readonly connectionsPerTarget: number
}

/** Size of a subset and limit of requests at each of its targets. */
export interface SubsetLimits {
  /** Number of targets that a daemon prefers. */
  readonly size: number
  /** Maximum requests that a daemon has in flight at one target, which is also its number of connections there. */
  readonly maxInFlightPerTarget: number
}

const MAX_SUBSET_SIZE = 12
/** Share of a target's connections that is planned for; the rest is kept for overflow to other subsets and replaced connections. */
const PLANNED_CONNECTION_SHARE = 0.5

/**
 * Computes the size of a subset such that all daemons together stay below the connection limit of each target.
 *
 * @param sizes - Sizes of the fleet and the service.
 * @returns The limits; both at least 1.
 */
export const computeSubsetLimits = ({ daemons, targets, connectionsPerTarget }: SubsetSizes): SubsetLimits => {
  const planned = connectionsPerTarget * PLANNED_CONNECTION_SHARE * targets / Math.max(1, daemons)
  const size = Math.max(1, Math.min(targets, MAX_SUBSET_SIZE, Math.floor(planned)))
  return { size, maxInFlightPerTarget: Math.max(1, Math.floor(planned / size)) }
}
