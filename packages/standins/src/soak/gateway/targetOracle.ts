import { groupBy } from '../groups.js'
import { DRAIN_PERIOD_MS } from './gatewayOracle.js'
import type { GatewayBreach, SoakCall, SoakRun } from './gatewayOracle.js'

/** A target that said in an answer that it leaves, while it stayed listed as ready. */
export interface SoakDeparture {
  readonly targetId: string
  /** Monotonic time at which its first such answer was given. */
  readonly saidAtMs: number
}

/** Prefix of the paths whose requests crash targets. */
export const CRASH_PREFIX = '/menus/crash-'
/** The platform's rule: crashes from which a request must be known, the time until then, and the retries that may come later. */
const KNOWN_CRASHES = 3
const STABILITY_WINDOW_MS = 3_000
const ALLOWED_RETRIES = 3

/**
 * Finds targets that ran requests too long after they had said that they leave.
 *
 * @param departures - Targets that said so.
 * @param runs - Requests that targets began to run.
 * @param isFleetFaultFree - Whether no daemon was impaired in a time; those that were are excused.
 * @returns A breach for each such target.
 */
export const findDepartureBreaches = (departures: readonly SoakDeparture[], runs: readonly SoakRun[], isFleetFaultFree: (fromMs: number, toMs: number) => boolean): readonly GatewayBreach[] =>
  departures.flatMap(({ targetId, saidAtMs }) => {
    const late = runs.filter(run => run.targetId === targetId && run.atMs > saidAtMs + DRAIN_PERIOD_MS && isFleetFaultFree(saidAtMs, run.atMs))
    return late.length === 0 ? [] : [{ kind: 'run-after-leaving', call: undefined, runs: late }]
  })

/**
 * Finds requests that crash targets and were sent on, and others that were taken for such.
 *
 * @param calls - Requests of ordinary callers.
 * @param runs - Requests that targets began to run; each run of a crashing one crashed its target.
 * @param isFleetFaultFree - As above.
 * @returns The breaches.
 */
export const findCrashBreaches = (calls: readonly SoakCall[], runs: readonly SoakRun[], isFleetFaultFree: (fromMs: number, toMs: number) => boolean): readonly GatewayBreach[] => {
  const crashing = [...groupBy(runs.filter(({ path }) => path.startsWith(CRASH_PREFIX)), ({ path }) => path).values()]
  const sentOn = crashing.flatMap(ofPath => {
    const sorted = [...ofPath].sort((a, b) => a.atMs - b.atMs)
    const thirdMs = sorted[KNOWN_CRASHES - 1]?.atMs ?? Infinity
    const late = sorted.filter(({ atMs }) => atMs > thirdMs + STABILITY_WINDOW_MS && isFleetFaultFree(thirdMs, atMs))
    return late.length <= ALLOWED_RETRIES ? [] : [{ kind: 'crashing-request-sent-on', call: undefined, runs: late }]
  })
  const quarantined = calls.filter(({ answer }) => answer.includes('urn:lovagehoist:problem:quarantined'))
  return [...sentOn, ...quarantined.map(call => ({ kind: 'falsely-quarantined', call, runs: [] }))]
}
