import type { CapacityView, TargetChoice, ChoiceInputs, ChoiceCriteria, Clock, Random, ServiceRoom, TargetSelector } from '@lovagehoist/common'
import type { FleetLimits } from '../limits/fleetLimits.js'
import type { LeavingTargets } from '../rest/leavingTargets.js'
import type { TargetRests } from '../rest/targetRests.js'
import type { TargetStatsTracker } from '../load/targetStatsTracker.js'
import type { RegisteredTarget, TargetRegistry } from '../registry/targetRegistry.js'
import { describeRoom } from './describeRoom.js'
import { placeRequest } from './placement.js'
import type { Placement } from './placement.js'
import type { Candidate, PlacementRequest } from './candidate.js'

type PlacedRequest = Extract<Placement, { readonly type: 'placed' }>

/** Dependencies of the selector. */
export interface LowestCostSelectorOptions {
  readonly registry: TargetRegistry
  readonly statsTracker: TargetStatsTracker
  readonly clock: Clock
  readonly random: Random
  readonly availabilityZone: string
  /** Share of a service's healthy targets that the deployment requires to be in use. */
  readonly floorShare: () => number
  /** Permits for targets that name a limit. */
  readonly limits: Pick<FleetLimits, 'allows' | 'recordDemand' | 'recordSent' | 'recordRefused'>
  /** Targets that said in an answer that they leave. */
  readonly leaving: Pick<LeavingTargets, 'has' | 'isLastResort'>
  /** Targets that asked this daemon for rest. */
  readonly rests: Pick<TargetRests, 'isResting' | 'isReturning' | 'retryDelayMs'>
  /** Whether an idle connection to a target exists that suits the request. */
  readonly hasIdle: (targetId: string, isIdempotent: boolean) => boolean
}

/** Time after the start of the daemon during which all targets are probed. */
const RECENT_START_MS = 10_000
/** Margin above the required share of targets in use, because it takes time to bring unused ones into use. */
const USED_SHARE_MARGIN = 0.1

const roundToThousandths = (share: number): number => Math.round(share * 1_000) / 1_000

/** Chooses a target for each request from the registered targets, their load and their failure estimates. */
export class LowestCostSelector implements TargetSelector, CapacityView {
  private readonly startedAtMs: number

  private constructor (private readonly options: LowestCostSelectorOptions) {
    this.startedAtMs = options.clock.monotonicMs()
  }

  /**
   * Creates a selector.
   *
   * @param options - Registered targets, their statistics and the connections.
   * @returns The selector.
   */
  static create (options: LowestCostSelectorOptions): LowestCostSelector {
    return new LowestCostSelector(options)
  }

  /**
   * Chooses a target and starts counting the attempt there.
   *
   * @param criteria - Request that needs a target.
   * @returns The target with its active attempt, or the reason why there is none.
   */
  readonly choose = (criteria: ChoiceCriteria): TargetChoice => {
    const { registry, statsTracker, clock, random, availabilityZone, hasIdle, limits } = this.options
    const nowMs = clock.monotonicMs()
    if (criteria.triedTargetIds.size === 0) limits.recordDemand(criteria.service)
    const untried = registry.activeTargets(criteria.service).filter(({ target }) => !criteria.triedTargetIds.has(target.id))
    const staying = this.selectStaying(untried)
    const usable = criteria.needsConnection === true ? staying.filter(({ target }) => hasIdle(target.id, criteria.isIdempotent)) : staying
    const awake = this.selectAwake(usable)
    if (awake.length === 0 && usable.length > 0) return { type: 'resting', retryDelayMs: this.options.rests.retryDelayMs(usable.map(({ target }) => target)) }
    const entries = awake.filter(({ target }) => limits.allows(target.id, criteria.hasHigherPriorityTraffic))
    if (entries.length === 0 && awake.length > 0) return { type: 'limited', retryDelayMs: limits.recordRefused(criteria.service) }
    const candidates = entries.map(entry => statsTracker.describeCandidate(entry, availabilityZone, hasIdle(entry.target.id, criteria.isIdempotent)))
    const placement = placeRequest(candidates, this.describeRequest(criteria, nowMs), random)
    if (placement.type !== 'placed') return placement
    const index = candidates.findIndex(({ targetId }) => targetId === placement.targetId)
    const entry = entries[index]
    const candidate = candidates[index]
    if (entry === undefined || candidate === undefined) return { type: 'no-target' }
    limits.recordSent(entry.target.id)
    return { type: 'chosen', target: entry.target, inputs: this.describeInputs(candidate, placement), attempt: statsTracker.startAttempt(entry.target.id, criteria.service) }
  }

  /**
   * Sums up what is known of the capacity of a service.
   *
   * @param service - Service.
   * @returns Capacity of its targets that neither leave nor rest, and its use by the whole fleet.
   */
  readonly roomOf = (service: string): ServiceRoom => {
    const { registry, statsTracker, availabilityZone } = this.options
    const usable = this.selectAwake(this.selectStaying(registry.activeTargets(service)))
    return describeRoom(usable.map(entry => statsTracker.describeCandidate(entry, availabilityZone, true)), statsTracker.serviceLatencyMs(service))
  }

  /** Leaves out targets that said that they leave; where all did, those that may serve for a moment longer remain. */
  private selectStaying (entries: readonly RegisteredTarget[]): readonly RegisteredTarget[] {
    const { leaving } = this.options
    const staying = entries.filter(({ target }) => !leaving.has(target))
    return staying.length > 0 ? staying : entries.filter(({ target }) => leaving.isLastResort(target))
  }

  /** Leaves out targets at rest, and those whose rest has just ended if they have a request of this daemon and others are awake. */
  private selectAwake (entries: readonly RegisteredTarget[]): readonly RegisteredTarget[] {
    const { rests, statsTracker } = this.options
    const awake = entries.filter(({ target }) => !rests.isResting(target))
    const settled = awake.filter(({ target }) => !rests.isReturning(target) || statsTracker.ownInProgress(target.id) === 0)
    return settled.length > 0 ? settled : awake
  }

  private describeRequest ({ isIdempotent, triedTargetIds, deadlineAtMs, hasHigherPriorityTraffic }: ChoiceCriteria, nowMs: number): PlacementRequest {
    return { remainingMs: deadlineAtMs - nowMs, isIdempotent, isRetry: triedTargetIds.size > 0, minUsedShare: Math.min(1, this.options.floorShare() + USED_SHARE_MARGIN), hasHigherPriorityTraffic, isRecentlyStarted: nowMs - this.startedAtMs < RECENT_START_MS }
  }

  private describeInputs ({ inProgress, failingChance, refusalShare, serviceTimeMs, isOwnZone, isConnected, idleMs }: Candidate, { waitMs, isProbe }: PlacedRequest): ChoiceInputs {
    const listingAgeMs = Math.round(this.options.clock.monotonicMs() - this.options.registry.confirmedAtMs)
    return { inProgress, failingChance: roundToThousandths(failingChance), refusalShare: roundToThousandths(refusalShare), serviceTimeMs: Math.round(serviceTimeMs), isOwnZone, isConnected, waitMs: Math.round(waitMs), listingAgeMs, idleMs: Math.round(idleMs), isProbe }
  }
}
