import type { FleetView, InstanceView } from './fleetView.js'

/** Whether one instance has a version in force, or why not; `out-of-service` means that it has fenced itself. */
export type Standing = 'in-force' | 'out-of-service' | 'lagging' | 'unreachable'

/** An instance with its standing. */
export interface InstanceStanding extends InstanceView {
  readonly standing: Standing
}

/** Version, views and times that the check is based on. */
export interface CheckInForceOptions {
  readonly version: number
  readonly views: readonly FleetView[]
  /** Instances named by the operator whose daemons returned no view. */
  readonly unansweredIds: readonly string[]
  /** Time for which at least half of the known instances have held the version. */
  readonly majorityForMs: number
  /** Time after which an instance that can't confirm that it holds the newest version fences itself. */
  readonly fenceMs: number
}

/** Whether a version is in force on all instances, with the standing of each. */
export interface InForceStatus {
  readonly isInForce: boolean
  /** Whether at least half of the known instances hold the version. */
  readonly hasMajority: boolean
  readonly instances: readonly InstanceStanding[]
}

const isReachable = ({ status }: InstanceView): boolean => status === 'self' || status === 'reachable'

/** A daemon's view of itself takes precedence, then the highest version that any daemon knows of it. */
const precedenceOf = (view: InstanceView): number => view.status === 'self' ? Number.POSITIVE_INFINITY : view.version

const createUnansweredView = (instanceId: string): InstanceView =>
  ({ instanceId, region: '', availabilityZone: '', status: 'suspect', version: 0, digest: '', isReady: false, ageMs: 0 })

const mergeViews = (views: readonly FleetView[], unansweredIds: readonly string[]): readonly InstanceView[] => {
  const merged = new Map<string, InstanceView>()
  for (const view of views.flatMap(({ instances }) => instances)) {
    const previous = merged.get(view.instanceId)
    if (previous === undefined) merged.set(view.instanceId, view)
    else if (precedenceOf(view) > precedenceOf(previous) || (precedenceOf(view) === precedenceOf(previous) && isReachable(view) && !isReachable(previous))) merged.set(view.instanceId, view)
  }
  for (const instanceId of unansweredIds) if (!merged.has(instanceId)) merged.set(instanceId, createUnansweredView(instanceId))
  return [...merged.values()].sort((a, b) => a.instanceId < b.instanceId ? -1 : 1)
}

/**
 * Checks whether every known instance either holds a version or has fenced itself.
 *
 * An instance with an older version has fenced itself once at least half of the known instances have held the version
 * for `fenceMs`: it can no longer confirm that its own version is the newest. Daemons without peers never fence
 * themselves, so each of them has to hold the version.
 *
 * @param options - Version, views and times.
 * @returns The status of the version.
 */
export const checkInForce = ({ version, views, unansweredIds, majorityForMs, fenceMs }: CheckInForceOptions): InForceStatus => {
  const known = mergeViews(views, unansweredIds)
  const holders = known.filter(view => view.version >= version).length
  const hasMajority = known.length > 0 && holders * 2 >= known.length
  const isFenced = hasMajority && majorityForMs >= fenceMs && !views.some(({ isAlone }) => isAlone)
  const standingOf = (view: InstanceView): Standing => {
    if (view.version >= version) return 'in-force'
    if (isFenced) return 'out-of-service'
    return isReachable(view) ? 'lagging' : 'unreachable'
  }
  const instances = known.map(view => ({ ...view, standing: standingOf(view) }))
  const isInForce = instances.length > 0 && instances.every(({ standing }) => standing === 'in-force' || standing === 'out-of-service')
  return { isInForce, hasMajority, instances }
}
