import type { Target, TargetDirectory } from '@lovagehoist/common'
import { planSubsets, rankRemaining } from './planSubsets.js'
import type { PlannedDaemon } from './planSubsets.js'
import { computeSubsetLimits } from './subsetLimits.js'
import type { SubsetLimits } from './subsetLimits.js'

/** Targets of a service in this daemon's order of preference. */
export interface RankedTargets extends SubsetLimits {
  readonly targets: readonly Target[]
}

/** Dependencies of the view. */
export interface SubsetViewOptions {
  readonly selfId: string
  readonly directory: TargetDirectory
  /** Returns the daemons that receive traffic, this one included; the list object stays the same until they change. */
  readonly daemons: () => readonly PlannedDaemon[]
  /** Connections that one target of a service accepts from the whole fleet. */
  readonly connectionsPerTarget: (service: string) => number
}

interface Cached {
  readonly daemons: readonly PlannedDaemon[]
  readonly source: readonly Target[]
  readonly ranked: RankedTargets
}

/** This daemon's subsets, recomputed when a service is first used after its daemons or targets changed. */
export class SubsetView {
  private readonly cache = new Map<string, Cached>()

  private constructor (private readonly options: SubsetViewOptions) {}

  /**
   * Creates a view without cached subsets.
   *
   * @param options - Daemons and targets.
   * @returns The view.
   */
  static create (options: SubsetViewOptions): SubsetView {
    return new SubsetView(options)
  }

  /**
   * Ranks the targets of a service.
   *
   * @param service - Name of the service.
   * @returns The subset first, then all other targets, without those that are leaving.
   */
  rank (service: string): RankedTargets {
    const daemons = this.options.daemons()
    const source = this.options.directory.targets(service)
    const cached = this.cache.get(service)
    if (cached?.daemons === daemons && cached.source === source) return cached.ranked
    const ranked = this.plan(service, daemons, source.filter(target => !target.isLeaving))
    this.cache.set(service, { daemons, source, ranked })
    return ranked
  }

  private plan (service: string, daemons: readonly PlannedDaemon[], targets: readonly Target[]): RankedTargets {
    const { selfId } = this.options
    const limits = computeSubsetLimits({ daemons: daemons.length, targets: targets.length, connectionsPerTarget: this.options.connectionsPerTarget(service) })
    const subset = planSubsets({ service, daemons, targets, size: limits.size }).get(selfId) ?? []
    const order = [...subset, ...rankRemaining({ service, targets }, selfId, subset)]
    const byId = new Map(targets.map(target => [target.id, target]))
    return { ...limits, targets: order.flatMap(({ id }) => byId.get(id) ?? []) }
  }
}
