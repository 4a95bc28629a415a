import { sha256Hex } from '@lovagehoist/common'
import type { JsonValue } from '@lovagehoist/common'
import type { Caller } from '../../load/caller.js'
import { CAPACITY_PER_SECOND, SERVICE, SLOTS_PER_TARGET, TARGETS } from '../serviceFleet.js'
import type { Fleet } from '../fleet.js'
import { FLOOR_SLOTS, createHealthFleet } from '../healthFleet.js'
import { EjectionMonitor } from '../ejectionMonitor.js'
import { countInvariantBreaches } from '../invariantBreaches.js'
import { countGuaranteeBreaches } from '../oracle.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'
import { withLoad } from '../withLoad.js'

const LOAD_SHARE = 0.25
const PAYMENT_SHARE = 0.2
const POISON_BODY = 'poisonous body'
const RESEND_INTERVAL_MS = 1_000
/** Share of the time under load before the first crashing request. */
const LEAD_IN_SHARE = 0.3

const quarantinedFingerprints = (dump: Readonly<Record<string, JsonValue>>): readonly string[] =>
  ((dump.health ?? {}) as { readonly quarantined?: readonly string[] }).quarantined ?? []

/** Number of request fingerprints that at least one daemon has quarantined. */
const countQuarantined = async (fleet: Fleet): Promise<number> => {
  const dumps = await Promise.all(fleet.daemons.map(async daemon => await fleet.dump(daemon)))
  return new Set(dumps.flatMap(quarantinedFingerprints)).size
}

/** Sends the crashing request repeatedly, to each daemon in turn, and returns the verdicts. */
const sendPoison = async (args: ScenarioArguments, fleet: Fleet, caller: Caller): Promise<readonly string[]> => {
  const urls = await fleet.callerUrls()
  const verdicts: string[] = []
  const endMs = fleet.clock.monotonicMs() + args.durationMs * (1 - LEAD_IN_SHARE)
  while (fleet.clock.monotonicMs() < endMs) {
    const baseUrl = urls[verdicts.length % urls.length] ?? ''
    const result = await caller.send({ baseUrl, method: 'POST', path: `/${SERVICE}/pay/x`, runId: `poison-${verdicts.length}`, body: POISON_BODY })
    verdicts.push(result.verdict ?? 'none')
    await fleet.clock.sleepMs(RESEND_INTERVAL_MS)
  }
  return verdicts
}

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const fleet = await createHealthFleet(args, { poison: POISON_BODY })
  const { clock } = fleet
  return await withLoad(fleet, args.seed, PAYMENT_SHARE, async (load, caller) => {
    const monitor = EjectionMonitor.create(fleet)
    const sending = load.run(CAPACITY_PER_SECOND * LOAD_SHARE, args.durationMs)
    await clock.sleepMs(args.durationMs * LEAD_IN_SHARE)
    const verdicts = await sendPoison(args, fleet, caller)
    await sending
    await monitor.stop()
    const journal = await fleet.journal()
    const crashed = new Set(journal.filter(entry => entry.bodyDigest === sha256Hex(POISON_BODY)).map(entry => entry.targetId))
    const quarantined = await countQuarantined(fleet)
    const isPoisonQuarantined = verdicts.at(-1) === 'not-run' && quarantined > 0
    return {
      scenario: 'poison',
      variant: args.variant,
      seed: args.seed,
      instances: args.instances,
      targets: TARGETS,
      requests: load.results.length + verdicts.length,
      ...countGuaranteeBreaches({ results: load.results, journal, atMostOnceIds: load.paymentIds() }),
      floorBreaches: monitor.countFloorBreaches(TARGETS, SLOTS_PER_TARGET, FLOOR_SLOTS),
      invariantBreaches: await countInvariantBreaches(fleet),
      targetsCrashed: crashed.size,
      poisonSent: verdicts.length,
      falseQuarantines: quarantined - (isPoisonQuarantined ? 1 : 0),
      failed: load.results.filter(result => result.status !== 200).length
    }
  })
}

/** Measures the quarantine of a request that crashes every target that runs it and that its caller keeps retrying. */
export const poison: Scenario = {
  name: 'poison',
  summary: 'a request crashes each target that runs it; its caller retries it every second',
  defaultInstances: 8,
  defaultSeconds: 15,
  run
}
