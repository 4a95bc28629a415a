import type { Target, TargetDirectory } from '@lovagehoist/common'
import { planSubsets, rankOthers } from './planSubsets.js'
import type { PlannedDaemon } from './planSubsets.js'
import { limitSubset } from './subsetSize.js'
import type { SubsetLimits } from './subsetSize.js'

/** Targets of a service in the order in which this daemon prefers them. */
export interface RankedTargets extends SubsetLimits {
  readonly targets: readonly Target[]
}

/** What the view needs. */
export interface SubsetViewOptions {
  readonly selfId: string
  readonly directory: TargetDirectory
  /** Daemons that take traffic, this one included; the same list object while they stay the same. */
  readonly daemons: () => readonly PlannedDaemon[]
  /** Connections that one target of a service accepts from the whole fleet. */
  readonly connectionsPerTarget: (service: string) => number
}

interface Cached {
  readonly daemons: readonly PlannedDaemon[]
  readonly source: readonly Target[]
  readonly ranked: RankedTargets
}

/** This daemon's subsets, planned when a service is first used after a change of daemons or targets. */
export class SubsetView {
  private readonly cache = new Map<string, Cached>()

  private constructor (private readonly options: SubsetViewOptions) {}

  /**
   * Creates a view.
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
   * @returns The subset first, then all other targets; leaving ones are left out.
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
    const limits = limitSubset({ daemons: daemons.length, targets: targets.length, connectionsPerTarget: this.options.connectionsPerTarget(service) })
    const subset = planSubsets({ service, daemons, targets, size: limits.size }).get(selfId) ?? []
    const order = [...subset, ...rankOthers({ service, targets }, selfId, subset)]
    const byId = new Map(targets.map(target => [target.id, target]))
    return { ...limits, targets: order.flatMap(({ id }) => byId.get(id) ?? []) }
  }
}
