import { SeededRandom, rankByRendezvous } from '@lovagehoist/common'
import type { JsonValue, Random } from '@lovagehoist/common'

/** Size of the fleet whose health evidence is placed on daemons. */
export interface PlacementOptions {
  readonly seed: number
  readonly daemons: number
  readonly services: number
  readonly targets: number
  /** Number of daemons that each unit is placed on. */
  readonly replicas: number
}

/** Part of the health evidence that is placed as a whole on its daemons. */
interface PlacementUnit {
  readonly key: string
  /** Number of targets whose evidence the unit holds. */
  readonly load: number
}

const SIZE_SKEW = 0.8
const SIZE_OFFSET = 10

/** Draws service sizes that decrease by a power law of the rank, in random order, with about `targets` targets in total. */
const drawSizes = (random: Random, { services, targets }: PlacementOptions): readonly number[] => {
  const weights = Array.from({ length: services }, (_, rank) => 1 / (rank + SIZE_OFFSET) ** SIZE_SKEW)
  const sum = weights.reduce((total, weight) => total + weight, 0)
  return weights
    .map(weight => ({ size: Math.max(1, Math.round(weight * targets / sum)), order: random.next() }))
    .sort((a, b) => a.order - b.order)
    .map(({ size }) => size)
}

const unitSplitters: Readonly<Record<string, (sizes: readonly number[]) => readonly PlacementUnit[]>> = {
  service: sizes => sizes.map((load, service) => ({ key: `${service}`, load })),
  fourTargets: sizes => sizes.flatMap((size, service) =>
    Array.from({ length: Math.ceil(size / 4) }, (_, part) => ({ key: `${service}/${part}`, load: Math.min(4, size - 4 * part) }))),
  target: sizes => sizes.flatMap((size, service) => Array.from({ length: size }, (_, target) => ({ key: `${service}/${target}`, load: 1 })))
}

const loadByDaemon = (units: readonly PlacementUnit[], daemons: readonly string[], replicas: number): ReadonlyMap<string, number> => {
  const loads = new Map<string, number>(daemons.map(daemon => [daemon, 0]))
  for (const { key, load } of units) {
    for (const daemon of rankByRendezvous(key, daemons).slice(0, replicas)) loads.set(daemon, (loads.get(daemon) ?? 0) + load)
  }
  return loads
}

/**
 * Places health evidence on daemons by rendezvous hashing, in units of several sizes, and compares how evenly the load spreads.
 *
 * @param options - Seed and size.
 * @returns One object per unit size: load of the busiest daemon relative to the mean, and share of daemons without load.
 */
export const comparePlacement = (options: PlacementOptions): readonly JsonValue[] => {
  const sizes = drawSizes(SeededRandom.create(options.seed), options)
  const daemons = Array.from({ length: options.daemons }, (_, index) => `daemon-${options.seed}-${index}`)
  return Object.entries(unitSplitters).map(([unit, split]) => {
    const units = split(sizes)
    const loads = [...loadByDaemon(units, daemons, options.replicas).values()]
    const meanLoad = loads.reduce((sum, load) => sum + load, 0) / loads.length
    const maxLoad = Math.max(...loads)
    return {
      experiment: 'placement', seed: options.seed, unit, units: units.length, judges: options.replicas, meanLoad, maxLoad, maxOverMean: maxLoad / meanLoad, idleShare: loads.filter(load => load === 0).length / loads.length
    }
  })
}
