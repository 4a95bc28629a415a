import { SeededRandom, rankByRendezvous } from '@lovagehoist/common'
import type { JsonValue, Random } from '@lovagehoist/common'

/** Size of the fleet whose evidence is placed. */
export interface PlacementOptions {
  readonly seed: number
  readonly daemons: number
  readonly services: number
  readonly targets: number
  /** Judges of each unit. */
  readonly judges: number
}

/** A unit that is placed whole on its judges. */
interface Unit {
  readonly key: string
  /** Targets whose evidence the unit carries. */
  readonly load: number
}

const SIZE_SKEW = 0.8
const SIZE_OFFSET = 10

/** Sizes of services that fall with their rank, shuffled, with the wanted sum. */
const drawSizes = (random: Random, { services, targets }: PlacementOptions): readonly number[] => {
  const weights = Array.from({ length: services }, (_, rank) => 1 / (rank + SIZE_OFFSET) ** SIZE_SKEW)
  const sum = weights.reduce((total, weight) => total + weight, 0)
  return weights
    .map(weight => ({ size: Math.max(1, Math.round(weight * targets / sum)), order: random.next() }))
    .sort((a, b) => a.order - b.order)
    .map(({ size }) => size)
}

const unitsOf: Readonly<Record<string, (sizes: readonly number[]) => readonly Unit[]>> = {
  service: sizes => sizes.map((load, service) => ({ key: `${service}`, load })),
  fourTargets: sizes => sizes.flatMap((size, service) =>
    Array.from({ length: Math.ceil(size / 4) }, (_, part) => ({ key: `${service}/${part}`, load: Math.min(4, size - 4 * part) }))),
  target: sizes => sizes.flatMap((size, service) => Array.from({ length: size }, (_, target) => ({ key: `${service}/${target}`, load: 1 })))
}

const loadsOf = (units: readonly Unit[], daemons: readonly string[], judges: number): ReadonlyMap<string, number> => {
  const loads = new Map<string, number>(daemons.map(daemon => [daemon, 0]))
  for (const { key, load } of units) {
    for (const judge of rankByRendezvous(key, daemons).slice(0, judges)) loads.set(judge, (loads.get(judge) ?? 0) + load)
  }
  return loads
}

/**
 * Places the evidence of services in units of several sizes and compares how evenly the load spreads.
 *
 * @param options - Seed and size.
 * @returns One object for each size of unit: load of the busiest daemon against the mean, and the share of daemons without work.
 */
export const comparePlacement = (options: PlacementOptions): readonly JsonValue[] => {
  const sizes = drawSizes(SeededRandom.create(options.seed), options)
  const daemons = Array.from({ length: options.daemons }, (_, index) => `daemon-${options.seed}-${index}`)
  return Object.entries(unitsOf).map(([unit, split]) => {
    const units = split(sizes)
    const loads = [...loadsOf(units, daemons, options.judges).values()]
    const meanLoad = loads.reduce((sum, load) => sum + load, 0) / loads.length
    const maxLoad = Math.max(...loads)
    return {
      experiment: 'placement', seed: options.seed, unit, units: units.length, judges: options.judges, meanLoad, maxLoad, maxOverMean: maxLoad / meanLoad, idleShare: loads.filter(load => load === 0).length / loads.length
    }
  })
}
