import type { TargetBehaviour } from '../target/behaviour.js'
import { MEAN_WORK_MS, SERVICE, SLOTS_PER_TARGET, TARGETS, TIMEOUT_MS } from './burnbookFleet.js'
import { measuredDocument } from './documents.js'
import type { MeasuredService } from './documents.js'
import { Fleet } from './fleet.js'
import type { ScenarioArguments } from './scenario.js'

/** Healthy capacity that ejection must leave in fleets whose health is measured. */
export const FLOOR_SLOTS = 30

/**
 * Starts targets and daemons; the baseline's daemons judge targets alone.
 *
 * @param args - Arguments of the measurement.
 * @param behaviour - How the targets behave at first.
 * @param change - Fields of the service that differ.
 * @returns The fleet, once every daemon is ready.
 */
export const createHealthFleet = async (args: ScenarioArguments, behaviour: Partial<TargetBehaviour>, change: Partial<MeasuredService> = {}): Promise<Fleet> => {
  const fleet = await Fleet.create(args.seed)
  for (let index = 0; index < TARGETS; index++) {
    await fleet.addTarget(SERVICE, { slots: SLOTS_PER_TARGET, maxWaiting: SLOTS_PER_TARGET, workMs: MEAN_WORK_MS, ...behaviour })
  }
  const service = { plannedTargets: TARGETS, slotsPerTarget: SLOTS_PER_TARGET, floorSlots: FLOOR_SLOTS, profile: args.profile, ...change }
  await fleet.promote(measuredDocument({ [SERVICE]: service }, { timeoutMs: TIMEOUT_MS }))
  await fleet.addDaemons(args.instances, { mechanisms: { health: args.variant === 'baseline' ? 'alone' : 'shared' } })
  return fleet
}
