import { murmurHash } from '@lovagehoist/common'

/** A daemon that subsets are planned for. */
export interface PlannedDaemon {
  readonly id: string
  readonly availabilityZone: string
}

/** A target that subsets are planned over. */
export interface PlannedTarget {
  readonly id: string
  readonly availabilityZone: string
  readonly slots: number
}

/** What a plan is made from. */
export interface SubsetPlanInput {
  readonly service: string
  readonly daemons: readonly PlannedDaemon[]
  readonly targets: readonly PlannedTarget[]
  /** Targets that each daemon gets. */
  readonly size: number
}

interface Pair {
  readonly daemon: PlannedDaemon
  readonly target: PlannedTarget
  readonly weight: number
}

type Preference = (pair: Pair, chosen: readonly PlannedTarget[]) => boolean

/** Preferences of one level, tried in order; the last takes any target. */
const isOwnZone: Preference = ({ daemon, target }) => daemon.availabilityZone === target.availabilityZone
const isNewZone: Preference = ({ target }, chosen) => chosen.every(other => other.availabilityZone !== target.availabilityZone)
const isAny: Preference = () => true

const FIRST_LEVEL: readonly Preference[] = [isOwnZone, isAny]
const LATER_LEVELS: readonly Preference[] = [isNewZone, isOwnZone, isAny]

/** Mixes two 32-bit hashes into one. */
const mix = (first: number, second: number): number => {
  let mixed = Math.imul(first ^ (second >>> 15), 0x85ebca6b) ^ second
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

const rankPairs = ({ service, daemons, targets }: SubsetPlanInput): readonly Pair[] => {
  const hashed = targets.map(target => ({ target, hash: murmurHash(`${service}\u0000${target.id}`) }))
  return daemons.flatMap(daemon => {
    const daemonHash = murmurHash(daemon.id)
    return hashed.map(({ target, hash }) => ({ daemon, target, weight: mix(daemonHash, hash) }))
  }).sort((a, b) => b.weight - a.weight || (a.daemon.id < b.daemon.id ? -1 : 1))
}

/** Greedy matching of daemons to targets, level by level. */
class Matching {
  readonly chosen = new Map<string, PlannedTarget[]>()
  private readonly loads = new Map<string, number>()
  private readonly slotSum: number

  private constructor (private readonly input: SubsetPlanInput, private readonly pairs: readonly Pair[]) {
    this.slotSum = input.targets.reduce((sum, target) => sum + target.slots, 0)
    for (const daemon of input.daemons) this.chosen.set(daemon.id, [])
  }

  static create (input: SubsetPlanInput): Matching {
    return new Matching(input, rankPairs(input))
  }

  /** Gives each daemon one more target. */
  addLevel (level: number): void {
    const preferences = level === 0 ? FIRST_LEVEL : LATER_LEVELS
    for (const prefers of preferences) this.pass(level, prefers, this.isBelowLimit)
    this.pass(level, isAny, () => true)
  }

  private pass (level: number, prefers: Preference, fits: (pair: Pair, level: number) => boolean): void {
    for (const pair of this.pairs) {
      const chosen = this.chosen.get(pair.daemon.id) ?? []
      if (chosen.length > level || chosen.includes(pair.target)) continue
      if (!prefers(pair, chosen) || !fits(pair, level)) continue
      chosen.push(pair.target)
      this.loads.set(pair.target.id, this.loadOf(pair.target) + 1)
    }
  }

  private readonly isBelowLimit = ({ target }: Pair, level: number): boolean =>
    this.loadOf(target) < Math.ceil(this.input.daemons.length * (level + 1) * target.slots / this.slotSum)

  private loadOf (target: PlannedTarget): number {
    return this.loads.get(target.id) ?? 0
  }
}

/**
 * Plans which targets each daemon prefers: bounded rendezvous hashing, so that a target's daemons are in proportion to its
 * slots at each level of preference, the first is in the daemon's zone where that fits, and the next span other zones.
 *
 * @param input - Daemons, targets and the size of a subset.
 * @returns Targets of each daemon by its id, the most preferred first; equal inputs give equal plans on every daemon.
 */
export const planSubsets = (input: SubsetPlanInput): ReadonlyMap<string, readonly PlannedTarget[]> => {
  const matching = Matching.create(input)
  const levels = Math.min(input.size, input.targets.length)
  for (let level = 0; level < levels; level++) matching.addLevel(level)
  return matching.chosen
}

/**
 * Orders the targets outside a subset, which are used when those in it are not enough.
 *
 * @param input - Service and targets.
 * @param daemonId - Daemon that needs more targets.
 * @param subset - Targets that it has.
 * @returns The other targets by rendezvous weight, highest first.
 */
export const rankOthers = (input: Pick<SubsetPlanInput, 'service' | 'targets'>, daemonId: string, subset: readonly PlannedTarget[]): readonly PlannedTarget[] => {
  const known = new Set(subset.map(target => target.id))
  const daemonHash = murmurHash(daemonId)
  return input.targets
    .filter(target => !known.has(target.id))
    .map(target => ({ target, weight: mix(daemonHash, murmurHash(`${input.service}\u0000${target.id}`)) }))
    .sort((a, b) => b.weight - a.weight || (a.target.id < b.target.id ? -1 : 1))
    .map(({ target }) => target)
}
