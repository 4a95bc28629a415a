import type { FleetView, InstanceView } from './fleetView.js'

/** Standing of one instance towards a version. */
export type Standing = 'in-force' | 'out-of-service' | 'lagging' | 'unreachable'

/** An instance with its standing. */
export interface JudgedInstance extends InstanceView {
  readonly standing: Standing
}

/** What is judged. */
export interface JudgeOptions {
  readonly version: number
  readonly views: readonly FleetView[]
  /** Instances named by the operator whose daemons gave no view. */
  readonly silent: readonly string[]
  /** Time for which at least half of the known instances have held the version. */
  readonly majorityForMs: number
  /** Time after which an instance without proof of holding the newest version takes no traffic. */
  readonly fenceMs: number
}

/** Whether a version is in force everywhere. */
export interface Judgement {
  readonly isInForce: boolean
  /** Whether at least half of the known instances hold the version. */
  readonly hasMajority: boolean
  readonly instances: readonly JudgedInstance[]
}

const isHeard = ({ status }: InstanceView): boolean => status === 'self' || status === 'reachable'

/** A daemon's word on itself goes first, then the highest version that anybody heard from it. */
const rankOf = (view: InstanceView): number => view.status === 'self' ? Number.POSITIVE_INFINITY : view.version

const silentView = (instanceId: string): InstanceView =>
  ({ instanceId, region: '', availabilityZone: '', status: 'suspect', version: 0, digest: '', isReady: false, ageMs: 0 })

const merge = (views: readonly FleetView[], silent: readonly string[]): readonly InstanceView[] => {
  const merged = new Map<string, InstanceView>()
  for (const view of views.flatMap(({ instances }) => instances)) {
    const before = merged.get(view.instanceId)
    if (before === undefined) merged.set(view.instanceId, view)
    else if (rankOf(view) > rankOf(before) || (rankOf(view) === rankOf(before) && isHeard(view) && !isHeard(before))) merged.set(view.instanceId, view)
  }
  for (const instanceId of silent) if (!merged.has(instanceId)) merged.set(instanceId, silentView(instanceId))
  return [...merged.values()].sort((a, b) => a.instanceId < b.instanceId ? -1 : 1)
}

/**
 * Judges whether every live instance holds a version or takes no traffic.
 *
 * An instance that holds less takes no traffic once at least half of the known instances have held the version for
 * `fenceMs`: it can't prove any more that it holds the newest one. Daemons without peers never stop by themselves, so
 * there each of them has to hold the version.
 *
 * @param options - Version, views and times.
 * @returns The judgement.
 */
export const judgeInForce = ({ version, views, silent, majorityForMs, fenceMs }: JudgeOptions): Judgement => {
  const merged = merge(views, silent)
  const holders = merged.filter(view => view.version >= version).length
  const hasMajority = merged.length > 0 && holders * 2 >= merged.length
  const isFenced = hasMajority && majorityForMs >= fenceMs && !views.some(({ isAlone }) => isAlone)
  const standingOf = (view: InstanceView): Standing => {
    if (view.version >= version) return 'in-force'
    if (isFenced) return 'out-of-service'
    return isHeard(view) ? 'lagging' : 'unreachable'
  }
  const instances = merged.map(view => ({ ...view, standing: standingOf(view) }))
  const isInForce = instances.length > 0 && instances.every(({ standing }) => standing === 'in-force' || standing === 'out-of-service')
  return { isInForce, hasMajority, instances }
}
