import { SeededRandom } from '@lovagehoist/common'
import { Caller } from '../load/caller.js'
import { MixedLoad } from '../load/mixedLoad.js'
import { MEAN_WORK_MS, SERVICE } from './serviceFleet.js'
import type { Fleet } from './fleet.js'
import type { Figures } from './scenario.js'

/**
 * Measures a fleet under a mixed load and closes the caller and the fleet afterwards.
 *
 * @param fleet - Running fleet.
 * @param seed - Seed of the load.
 * @param paymentShare - Share of requests that are payments, 0 to 1.
 * @param measure - Runs the load and returns the figures.
 * @returns The figures.
 */
export const withLoad = async (fleet: Fleet, seed: number, paymentShare: number, measure: (load: MixedLoad, caller: Caller) => Promise<Figures>): Promise<Figures> => {
  const { clock } = fleet
  const caller = Caller.create(clock)
  try {
    const urls = await fleet.callerUrls()
    const load = MixedLoad.create({ clock, random: SeededRandom.create(seed), caller, service: SERVICE, paymentShare, meanWorkMs: MEAN_WORK_MS, urls: () => urls })
    return await measure(load, caller)
  } finally {
    await caller.close()
    await fleet.close()
  }
}
