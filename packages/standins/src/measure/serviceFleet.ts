import type { JsonValue } from '@lovagehoist/common'
import { Fleet } from './fleet.js'
import type { DaemonOverrides } from './fleet.js'
import { measuredDocument } from './documents.js'
import type { ScenarioArguments } from './scenario.js'

/** Name of the service that the measured targets provide, as in `examples/umuriro.jsonc`. */
export const SERVICE = 'burnbook'
/** Number of targets of the service. */
export const TARGETS = 8
/** Number of requests that a target runs concurrently. */
export const SLOTS_PER_TARGET = 6
/** Mean service time of a request at a target. */
export const MEAN_WORK_MS = 160
/** Limit of the whole exchange in the measured document. */
export const TIMEOUT_MS = 4_000

/** Length of the queue at which a target starts to shed requests. */
const MAX_WAITING = 3
const FLOOR_SLOTS = 24
const MS_PER_SECOND = 1_000

/** Request rate at which the slots of all targets are fully used. */
export const CAPACITY_PER_SECOND = TARGETS * SLOTS_PER_TARGET * MS_PER_SECOND / MEAN_WORK_MS

/**
 * Returns the `mechanisms` settings of the daemons for a variant. Daemons of the baseline share neither slots nor health.
 *
 * @param args - Arguments of the measurement.
 */
export const mechanismSettings = ({ variant, slots }: ScenarioArguments): Readonly<Record<string, JsonValue>> => ({
  health: variant === 'baseline' ? 'alone' : 'shared',
  slots: slots ?? (variant === 'baseline' ? 'least-loaded' : 'shared')
})

/**
 * Starts the targets of the service, promotes a document and starts daemons in front of the targets.
 *
 * @param args - Arguments of the measurement.
 * @param overrides - Further settings of the daemons.
 * @returns The fleet after every daemon became ready.
 */
export const createServiceFleet = async (args: ScenarioArguments, overrides: DaemonOverrides = {}): Promise<Fleet> => {
  const fleet = await Fleet.create(args.seed)
  for (let index = 0; index < TARGETS; index++) {
    await fleet.addTarget(SERVICE, { slots: SLOTS_PER_TARGET, maxWaiting: MAX_WAITING, workMs: MEAN_WORK_MS })
  }
  const service = { plannedTargets: TARGETS, slotsPerTarget: SLOTS_PER_TARGET, floorSlots: FLOOR_SLOTS }
  await fleet.promote(measuredDocument({ [SERVICE]: service }, { timeoutMs: TIMEOUT_MS }))
  await fleet.addDaemons(args.instances, { ...overrides, mechanisms: mechanismSettings(args) })
  return fleet
}
