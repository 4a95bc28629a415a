import type { JsonValue } from '@lovagehoist/common'
import { measureControlPlane } from '../controlPlane.js'
import type { ControlFleetSize } from '../controlPlane.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'

const SMALL_FLEET = { targets: 30, services: 3 } as const
const SMALL_FLEET_INSTANCES = [1, 10, 40] as const
/** Expected size of the fleet in two years. */
const LARGE_FLEET: ControlFleetSize = { instances: 470, realInstances: 1, targets: 6_500, services: 320 }
/** Value of `--instances` that selects every size. */
const ALL_SIZES = 0

interface SizeFigures {
  readonly instances: number
  readonly targets: number
  /** CPU as a fraction of a core, above the same daemon with `mechanisms.control` off. */
  readonly cpuShare: number
  /** Resident memory in megabytes, above the same daemon with `mechanisms.control` off. */
  readonly controlMb: number
  readonly bytesPerSecond: number
  readonly highestBytesPerSecond: number
  /** CPU and memory of the whole process. */
  readonly wholeCpuShare: number
  readonly wholeMb: number
  readonly invariantBreaches: number
}

const smallFleetSize = (instances: number): ControlFleetSize => ({ instances, realInstances: instances, ...SMALL_FLEET })

const sizesOf = ({ instances }: ScenarioArguments): readonly ControlFleetSize[] => {
  if (instances === ALL_SIZES) return [...SMALL_FLEET_INSTANCES.map(smallFleetSize), LARGE_FLEET]
  return [instances === LARGE_FLEET.instances ? LARGE_FLEET : smallFleetSize(instances)]
}

const measureSize = async (args: ScenarioArguments, size: ControlFleetSize): Promise<SizeFigures> => {
  args.progress(`${size.realInstances} of ${size.instances} daemons real, ${size.targets} targets, ${args.durationMs} ms each with control off and on`)
  const off = await measureControlPlane(args.seed, size, 'off', args.durationMs)
  const on = args.variant === 'baseline' ? off : await measureControlPlane(args.seed, size, 'on', args.durationMs)
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

/** Growth of each figure per additional daemon, between the first and the last size; null with only one size. */
const slopesOf = (sizes: readonly SizeFigures[]): JsonValue => {
  const [first, last] = [sizes[0], sizes.at(-1)]
  if (first === undefined || last === undefined || first.instances === last.instances) return null
  const perInstance = (read: (size: SizeFigures) => number): number => (read(last) - read(first)) / (last.instances - first.instances)
  return {
    cpuSharePerInstance: perInstance(size => size.cpuShare),
    controlMbPerInstance: perInstance(size => size.controlMb),
    bytesPerSecondPerInstance: perInstance(size => size.bytesPerSecond)
  }
}

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const sizes: SizeFigures[] = []
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

/** Measures the cost of communication between daemons. */
export const control: Scenario = {
  name: 'control',
  summary: 'CPU time, memory and traffic for communication between daemons, in fleets of 1, 10, 40 and 470',
  defaultInstances: ALL_SIZES,
  defaultSeconds: 12,
  run
}
