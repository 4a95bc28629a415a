import { sha256Hex } from '@lovagehoist/common'
import type { JsonValue } from '@lovagehoist/common'
import type { Caller } from '../../load/caller.js'
import { CAPACITY_PER_SECOND, SERVICE, SLOTS_PER_TARGET, TARGETS } from '../burnbookFleet.js'
import type { Fleet } from '../fleet.js'
import { FLOOR_SLOTS, createHealthFleet } from '../healthFleet.js'
import { HealthWatch } from '../healthWatch.js'
import { countInvariantBreaches } from '../invariantBreaches.js'
import { verify } from '../oracle.js'
import type { Figures, Scenario, ScenarioArguments } from '../scenario.js'
import { withLoad } from '../withLoad.js'

const LOAD_SHARE = 0.25
const PAYMENT_SHARE = 0.2
const POISON = 'poisonous body'
const RESEND_MS = 1_000
const BEFORE_SHARE = 0.3

const quarantinedOf = (dump: Readonly<Record<string, JsonValue>>): readonly string[] =>
  ((dump.health ?? {}) as { readonly quarantined?: readonly string[] }).quarantined ?? []

/** Fingerprints that any daemon stops now. */
const quarantines = async (fleet: Fleet): Promise<number> => {
  const dumps = await Promise.all(fleet.daemons.map(async daemon => await fleet.dump(daemon)))
  return new Set(dumps.flatMap(quarantinedOf)).size
}

/** Sends the poisonous request again and again, to one daemon after the other. */
const resend = async (args: ScenarioArguments, fleet: Fleet, caller: Caller): Promise<readonly string[]> => {
  const urls = await fleet.callerUrls()
  const verdicts: string[] = []
  const endMs = fleet.clock.monotonicMs() + args.durationMs * (1 - BEFORE_SHARE)
  while (fleet.clock.monotonicMs() < endMs) {
    const baseUrl = urls[verdicts.length % urls.length] ?? ''
    const result = await caller.send({ baseUrl, method: 'POST', path: `/${SERVICE}/pay/x`, runId: `poison-${verdicts.length}`, body: POISON })
    verdicts.push(result.verdict ?? 'none')
    await fleet.clock.sleepMs(RESEND_MS)
  }
  return verdicts
}

const run = async (args: ScenarioArguments): Promise<Figures> => {
  const fleet = await createHealthFleet(args, { poison: POISON })
  const { clock } = fleet
  return await withLoad(fleet, args.seed, PAYMENT_SHARE, async (load, caller) => {
    const watch = HealthWatch.create(fleet)
    const running = load.run(CAPACITY_PER_SECOND * LOAD_SHARE, args.durationMs)
    await clock.sleepMs(args.durationMs * BEFORE_SHARE)
    const verdicts = await resend(args, fleet, caller)
    await running
    await watch.stop()
    const journal = await fleet.journal()
    const crashed = new Set(journal.filter(entry => entry.bodyDigest === sha256Hex(POISON)).map(entry => entry.targetId))
    const stopped = await quarantines(fleet)
    const isPoisonStopped = verdicts.at(-1) === 'not-run' && stopped > 0
    return {
      scenario: 'poison',
      variant: args.variant,
      seed: args.seed,
      instances: args.instances,
      targets: TARGETS,
      requests: load.results.length + verdicts.length,
      ...verify({ results: load.results, journal, onceOnly: load.paymentIds() }),
      floorBreaches: watch.floorBreaches(TARGETS, SLOTS_PER_TARGET, FLOOR_SLOTS),
      invariantBreaches: await countInvariantBreaches(fleet),
      targetsCrashed: crashed.size,
      poisonSent: verdicts.length,
      falseQuarantines: stopped - (isPoisonStopped ? 1 : 0),
      failed: load.results.filter(result => result.status !== 200).length
    }
  })
}

/** A request that takes down each target that runs it, and that its caller sends again. */
export const poison: Scenario = {
  name: 'poison',
  summary: 'a request takes down each target that runs it; its caller sends it again every second',
  defaultInstances: 8,
  defaultSeconds: 15,
  run
}
