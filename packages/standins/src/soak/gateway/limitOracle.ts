import type { GatewayBreach, SoakRun } from './gatewayOracle.js'

/** Time in which a target named a limit of requests per second. */
export interface SoakLimit {
  readonly targetId: string
  readonly perSecond: number
  readonly fromMs: number
  /** Infinity while it still names the limit. */
  readonly toMs: number
}

/** The platform's rule: time after the first naming from which it holds, window, and how far the limit may be exceeded in it. */
const STABILITY_WINDOW_MS = 3_000
const WINDOW_MS = 4_000
const TOLERANCE = 1.5
const SLACK = 5
const MS_PER_SECOND = 1_000

/**
 * Finds windows in which a target ran more requests than its limit allows.
 *
 * @param limits - Limits that targets named.
 * @param runs - Requests that the targets began to run.
 * @param isFleetFaultFree - Whether no daemon was impaired in a time; those that were are excused.
 * @returns A breach for the first such window of each limit.
 */
export const findLimitBreaches = (limits: readonly SoakLimit[], runs: readonly SoakRun[], isFleetFaultFree: (fromMs: number, toMs: number) => boolean): readonly GatewayBreach[] =>
  limits.flatMap(({ targetId, perSecond, fromMs, toMs }) => {
    const limited = runs.filter(run => run.targetId === targetId && run.atMs >= fromMs + STABILITY_WINDOW_MS && run.atMs < toMs)
    const allowed = TOLERANCE * perSecond * WINDOW_MS / MS_PER_SECOND + SLACK
    const windows = limited.map(first => limited.filter(({ atMs }) => atMs >= first.atMs && atMs < first.atMs + WINDOW_MS))
    const exceeded = windows.find(window => window.length > allowed && isFleetFaultFree((window[0]?.atMs ?? 0) - STABILITY_WINDOW_MS, window.at(-1)?.atMs ?? 0))
    return exceeded === undefined ? [] : [{ kind: 'limit-exceeded', call: undefined, runs: exceeded }]
  })
