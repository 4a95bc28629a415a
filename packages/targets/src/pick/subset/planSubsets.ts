import { murmurHash } from '@lovagehoist/common'

/** A daemon that gets a subset of the targets. */
export interface PlannedDaemon {
  readonly id: string
  readonly availabilityZone: string
}

/** A target that is assigned to subsets. */
export interface PlannedTarget {
  readonly id: string
  readonly availabilityZone: string
  readonly slots: number
}

/** Input of the assignment. */
export interface SubsetPlanInput {
  readonly service: string
  readonly daemons: readonly PlannedDaemon[]
  readonly targets: readonly PlannedTarget[]
  /** Number of targets per daemon. */
  readonly size: number
}

interface Pair {
  readonly daemon: PlannedDaemon
  readonly target: PlannedTarget
  readonly weight: number
}

type Preference = (pair: Pair, chosen: readonly PlannedTarget[]) => boolean

const isOwnZone: Preference = ({ daemon, target }) => daemon.availabilityZone === target.availabilityZone
const isNewZone: Preference = ({ target }, chosen) => chosen.every(other => other.availabilityZone !== target.availabilityZone)
const isAny: Preference = () => true

/** Preferences for the targets of one level, tried in order; the last one accepts any target. */
const FIRST_LEVEL: readonly Preference[] = [isOwnZone, isAny]
const LATER_LEVELS: readonly Preference[] = [isNewZone, isOwnZone, isAny]

/** Mixes two 32-bit hashes into one. */
const mixHashes = (first: number, second: number): number => {
  let mixed = Math.imul(first ^ (second >>> 15), 0x85ebca6b) ^ second
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

const rankPairs = ({ service, daemons, targets }: SubsetPlanInput): readonly Pair[] => {
  const hashed = targets.map(target => ({ target, hash: murmurHash(`${service}\u0000${target.id}`) }))
  return daemons.flatMap(daemon => {
    const daemonHash = murmurHash(daemon.id)
    return hashed.map(({ target, hash }) => ({ daemon, target, weight: mixHashes(daemonHash, hash) }))
  }).sort((a, b) => b.weight - a.weight || (a.daemon.id < b.daemon.id ? -1 : 1))
}

/** Greedy matching of daemons to targets, level by level. */
class Matching {
  readonly assigned = new Map<string, PlannedTarget[]>()
  private readonly loads = new Map<string, number>()
  private readonly slotSum: number

  private constructor (private readonly input: SubsetPlanInput, private readonly pairs: readonly Pair[]) {
    this.slotSum = input.targets.reduce((sum, target) => sum + target.slots, 0)
    for (const daemon of input.daemons) this.assigned.set(daemon.id, [])
  }

  static create (input: SubsetPlanInput): Matching {
    return new Matching(input, rankPairs(input))
  }

  /** Assigns one more target to each daemon. */
  addLevel (level: number): void {
    const preferences = level === 0 ? FIRST_LEVEL : LATER_LEVELS
    for (const prefers of preferences) this.assignWhere(level, prefers, this.isBelowLimit)
    this.assignWhere(level, isAny, () => true)
  }

  private assignWhere (level: number, prefers: Preference, fits: (pair: Pair, level: number) => boolean): void {
    for (const pair of this.pairs) {
      const chosen = this.assigned.get(pair.daemon.id) ?? []
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
 * Assigns preferred targets to each daemon by bounded rendezvous hashing. At each level, the number of daemons per target is
 * proportional to its slots. A daemon's first target is in its own zone where possible, and the next ones cover other zones.
 *
 * @param input - Daemons, targets and the size of a subset.
 * @returns Targets of each daemon by its ID, the most preferred first; the same input gives the same result on every daemon.
 */
export const planSubsets = (input: SubsetPlanInput): ReadonlyMap<string, readonly PlannedTarget[]> => {
  const matching = Matching.create(input)
  const levels = Math.min(input.size, input.targets.length)
  for (let level = 0; level < levels; level++) matching.addLevel(level)
  return matching.assigned
}

/**
 * Orders the targets outside a subset, which are used when those inside are not enough.
 *
 * @param input - Service and targets.
 * @param daemonId - Daemon that needs more targets.
 * @param subset - Targets that the daemon already has.
 * @returns The other targets by rendezvous weight, highest first.
 */
export const rankRemaining = (input: Pick<SubsetPlanInput, 'service' | 'targets'>, daemonId: string, subset: readonly PlannedTarget[]): readonly PlannedTarget[] => {
  const known = new Set(subset.map(target => target.id))
  const daemonHash = murmurHash(daemonId)
  return input.targets
    .filter(target => !known.has(target.id))
    .map(target => ({ target, weight: mixHashes(daemonHash, murmurHash(`${input.service}\u0000${target.id}`)) }))
    .sort((a, b) => b.weight - a.weight || (a.target.id < b.target.id ? -1 : 1))
    .map(({ target }) => target)
}
