import type { JsonValue } from '@lovagehoist/common'
import { measureControl } from '../controlFleet.js'
import type { ControlSize } from '../controlFleet.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'

const SMALL = { targets: 30, services: 3 } as const
const SMALL_INSTANCES = [1, 10, 40] as const
const TWO_YEARS: ControlSize = { instances: 470, realInstances: 1, targets: 6_500, services: 320 }
/** Number that asks for every size. */
const ALL_SIZES = 0

interface MeasuredSize {
  readonly instances: number
  readonly targets: number
  /** Part of a core beyond the same daemon with control off. */
  readonly cpuShare: number
  /** Megabytes beyond the same daemon with control off. */
  readonly controlMb: number
  readonly bytesPerSecond: number
  readonly highestBytesPerSecond: number
  readonly wholeCpuShare: number
  readonly wholeMb: number
  readonly invariantBreaches: number
}

const realSize = (instances: number): ControlSize => ({ instances, realInstances: instances, ...SMALL })

const sizesOf = ({ instances }: ScenarioArguments): readonly ControlSize[] => {
  if (instances === ALL_SIZES) return [...SMALL_INSTANCES.map(realSize), TWO_YEARS]
  return [instances === TWO_YEARS.instances ? TWO_YEARS : realSize(instances)]
}

const measureSize = async (args: ScenarioArguments, size: ControlSize): Promise<MeasuredSize> => {
  args.progress(`${size.realInstances} daemons of ${size.instances}, ${size.targets} targets, ${args.durationMs} ms with control and without`)
  const off = await measureControl(args.seed, size, 'off', args.durationMs)
  const on = args.variant === 'baseline' ? off : await measureControl(args.seed, size, 'on', args.durationMs)
  return {
    instances: size.instances,
    targets: size.targets,
    cpuShare: on.cpuShare - off.cpuShare,
    controlMb: on.residentMb - off.residentMb,
    bytesPerSecond: on.bytesPerSecond,
    highestBytesPerSecond: on.highestBytesPerSecond,
    wholeCpuShare: on.cpuShare,
    wholeMb: on.residentMb,
    invariantBreaches: on.invariantBreaches
  }
}

/** Growth for each further daemon between the first and the last size; null with one size. */
const slopesOf = (sizes: readonly MeasuredSize[]): JsonValue => {
  const [first, last] = [sizes[0], sizes.at(-1)]
  if (first === undefined || last === undefined || first.instances === last.instances) return null
  const perInstance = (read: (size: MeasuredSize) => number): number => (read(last) - read(first)) / (last.instances - first.instances)
  return {
    cpuSharePerInstance: perInstance(size => size.cpuShare),
    controlMbPerInstance: perInstance(size => size.controlMb),
    bytesPerSecondPerInstance: perInstance(size => size.bytesPerSecond)
  }
}

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const sizes: MeasuredSize[] = []
  for (const size of sizesOf(args)) sizes.push(await measureSize(args, size))
  const largest = sizes.at(-1)
  return {
    scenario: 'control',
    variant: args.variant,
    seed: args.seed,
    instances: largest?.instances ?? 0,
    targets: largest?.targets ?? 0,
    requests: 0,
    wrongAnswers: null,
    duplicateRuns: null,
    falseNotRun: null,
    floorBreaches: null,
    invariantBreaches: sizes.reduce((sum, size) => sum + size.invariantBreaches, 0),
    sizes: sizes.map(size => ({ ...size })),
    slopes: slopesOf(sizes)
  }
}

/** Cost of communication between daemons. */
export const control: Scenario = {
  name: 'control',
  summary: 'processor time, memory and bytes of communication between daemons at 1, 10, 40 and 470',
  defaultInstances: ALL_SIZES,
  defaultSeconds: 12,
  run
}
