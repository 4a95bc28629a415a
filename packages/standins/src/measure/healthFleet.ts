import type { TargetBehaviour } from '../target/behaviour.js'
import { MEAN_WORK_MS, SERVICE, SLOTS_PER_TARGET, TARGETS, TIMEOUT_MS } from './serviceFleet.js'
import { measuredDocument } from './documents.js'
import type { MeasuredService } from './documents.js'
import { Fleet } from './fleet.js'
import type { ScenarioArguments } from './scenario.js'

/** Slots of healthy targets that ejection must leave in service. */
export const FLOOR_SLOTS = 30

/**
 * Starts targets and daemons. In the baseline, each daemon detects unhealthy targets on its own; otherwise the daemons share health evidence.
 *
 * @param args - Arguments of the measurement.
 * @param behaviour - Initial behaviour of the targets.
 * @param serviceOverrides - Fields of the service that replace the defaults.
 * @returns The fleet after every daemon became ready.
 */
export const createHealthFleet = async (args: ScenarioArguments, behaviour: Partial<TargetBehaviour>, serviceOverrides: Partial<MeasuredService> = {}): Promise<Fleet> => {
  const fleet = await Fleet.create(args.seed)
  for (let index = 0; index < TARGETS; index++) {
    await fleet.addTarget(SERVICE, { slots: SLOTS_PER_TARGET, maxWaiting: SLOTS_PER_TARGET, workMs: MEAN_WORK_MS, ...behaviour })
  }
  const service = { plannedTargets: TARGETS, slotsPerTarget: SLOTS_PER_TARGET, floorSlots: FLOOR_SLOTS, profile: args.profile, ...serviceOverrides }
  await fleet.promote(measuredDocument({ [SERVICE]: service }, { timeoutMs: TIMEOUT_MS }))
  await fleet.addDaemons(args.instances, { mechanisms: { health: args.variant === 'baseline' ? 'alone' : 'shared' } })
  return fleet
}
