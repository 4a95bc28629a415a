import { CAPACITY_PER_SECOND, SERVICE, SLOTS_PER_TARGET, TARGETS } from '../serviceFleet.js'
import { FLOOR_SLOTS, createHealthFleet } from '../healthFleet.js'
import { EjectionMonitor } from '../ejectionMonitor.js'
import { countInvariantBreaches } from '../invariantBreaches.js'
import { countGuaranteeBreaches } from '../oracle.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'
import { withLoad } from '../withLoad.js'

const LOAD_SHARE = 0.5
const PAYMENT_SHARE = 0.2
const HEAD_TIMEOUT_MS = 500
/** Share of the time under load before the connections stop responding. */
const LEAD_IN_SHARE = 0.3
/** Indexes of the targets whose connections stop responding: those of one availability zone. */
const SILENT_TARGETS = [0, 3, 6]

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const fleet = await createHealthFleet(args, {}, { headTimeoutMs: HEAD_TIMEOUT_MS })
  const { clock } = fleet
  return await withLoad(fleet, args.seed, PAYMENT_SHARE, async load => {
    const monitor = EjectionMonitor.create(fleet)
    const sending = load.run(CAPACITY_PER_SECOND * LOAD_SHARE, args.durationMs)
    await clock.sleepMs(args.durationMs * LEAD_IN_SHARE)
    const silentAtMs = clock.monotonicMs()
    await Promise.all(SILENT_TARGETS.map(async index => { await fleet.targets[index]?.host.setTarget(`${SERVICE}-${index}`, { isSilent: true }) }))
    await sending
    await monitor.stop()
    const affected = load.results.filter(result => result.endedAtMs >= silentAtMs && (result.status !== 200 || result.latencyMs >= HEAD_TIMEOUT_MS))
    return {
      scenario: 'silent',
      variant: args.variant,
      seed: args.seed,
      instances: args.instances,
      targets: TARGETS,
      requests: load.results.length,
      ...countGuaranteeBreaches({ results: load.results, journal: await fleet.journal(), atMostOnceIds: load.paymentIds() }),
      floorBreaches: monitor.countFloorBreaches(TARGETS, SLOTS_PER_TARGET, FLOOR_SLOTS),
      invariantBreaches: await countInvariantBreaches(fleet),
      failedRequests: load.results.filter(result => result.status !== 200).length,
      falseEjections: monitor.countFalseEjections(() => false),
      recoveryMs: affected.length === 0 ? 0 : Math.max(...affected.map(result => result.endedAtMs)) - silentAtMs
    }
  })
}

/** Measures the recovery when kept-alive connections stop responding while new connections work. */
export const silent: Scenario = {
  name: 'silent',
  summary: 'kept-alive connections to the targets of one zone stop responding while new ones work',
  defaultInstances: 8,
  defaultSeconds: 15,
  run
}
