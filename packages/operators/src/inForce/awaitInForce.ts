import type { Clock } from '@lovagehoist/common'
import { FENCE_MS } from '../follow/configFollower.js'
import type { FleetView } from './fleetView.js'
import { judgeInForce } from './judge.js'
import type { Judgement } from './judge.js'

/** What daemons answered. */
export interface Views {
  readonly views: readonly FleetView[]
  /** Instances named by the operator whose daemons gave no view. */
  readonly silent: readonly string[]
}

/** What waiting needs. */
export interface AwaitOptions {
  readonly clock: Clock
  readonly version: number
  /** Time after which waiting ends. */
  readonly limitMs: number
  /** Asks daemons of the environment what they know. */
  readonly readViews: () => Promise<Views>
}

/** How waiting ended. */
export interface Awaited extends Judgement {
  readonly waitedMs: number
}

/** Beyond the time in which daemons stop by themselves: their clocks and the way of the views differ a little. */
const FENCE_MARGIN_MS = 200
const POLL_MS = 200

/**
 * Waits until a version is in force on every live instance.
 *
 * @param options - Version, limit and how daemons are asked.
 * @returns The last judgement, in force or not.
 */
export const awaitInForce = async (options: AwaitOptions): Promise<Awaited> => {
  const { clock, version, limitMs, readViews } = options
  const startedAtMs = clock.monotonicMs()
  let majoritySinceMs = Number.POSITIVE_INFINITY
  for (;;) {
    const { views, silent } = await readViews()
    const nowMs = clock.monotonicMs()
    const judgement = judgeInForce({ version, views, silent, majorityForMs: nowMs - majoritySinceMs, fenceMs: FENCE_MS + FENCE_MARGIN_MS })
    if (judgement.isInForce || nowMs - startedAtMs >= limitMs) return { ...judgement, waitedMs: nowMs - startedAtMs }
    if (judgement.hasMajority) majoritySinceMs = Math.min(majoritySinceMs, nowMs)
    await clock.sleepMs(POLL_MS)
  }
}
