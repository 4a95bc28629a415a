import type { Clock } from '@lovagehoist/common'
import { FENCE_AFTER_MS } from '../follow/configFollower.js'
import type { FleetView } from './fleetView.js'
import { checkInForce } from './checkInForce.js'
import type { InForceStatus } from './checkInForce.js'

/** Views collected from daemons. */
export interface CollectedViews {
  readonly views: readonly FleetView[]
  /** Instances named by the operator whose daemons returned no view. */
  readonly unansweredIds: readonly string[]
}

/** Version, time limit and view source for waiting. */
export interface AwaitInForceOptions {
  readonly clock: Clock
  readonly version: number
  /** Time after which waiting ends. */
  readonly timeoutMs: number
  /** Reads the views of daemons of the environment. */
  readonly readViews: () => Promise<CollectedViews>
}

/** The last status, and how long it took. */
export interface AwaitInForceResult extends InForceStatus {
  readonly waitedMs: number
}

/** Added to the time after which daemons fence themselves, for clock drift and the time views take in transit. */
const FENCE_MARGIN_MS = 200
const POLL_MS = 200

/**
 * Waits until a version is in force on every known instance, or those without it have fenced themselves.
 *
 * @param options - Version, time limit and how views are read.
 * @returns The last status: in force, or not when the time limit was reached.
 */
export const awaitInForce = async (options: AwaitInForceOptions): Promise<AwaitInForceResult> => {
  const { clock, version, timeoutMs, readViews } = options
  const startedAtMs = clock.monotonicMs()
  let majoritySinceMs = Number.POSITIVE_INFINITY
  for (;;) {
    const { views, unansweredIds } = await readViews()
    const nowMs = clock.monotonicMs()
    const status = checkInForce({ version, views, unansweredIds, majorityForMs: nowMs - majoritySinceMs, fenceMs: FENCE_AFTER_MS + FENCE_MARGIN_MS })
    if (status.isInForce || nowMs - startedAtMs >= timeoutMs) return { ...status, waitedMs: nowMs - startedAtMs }
    if (status.hasMajority) majoritySinceMs = Math.min(majoritySinceMs, nowMs)
    await clock.sleepMs(POLL_MS)
  }
}
