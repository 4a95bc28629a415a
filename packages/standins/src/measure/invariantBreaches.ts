import type { Fleet } from './fleet.js'

/**
 * Counts the breaches that daemons noticed themselves.
 *
 * @param fleet - Running fleet.
 * @returns The sum over all daemons that answer.
 */
export const countInvariantBreaches = async (fleet: Fleet): Promise<number> => {
  const dumps = await Promise.all(fleet.daemons.map(async daemon => await fleet.dump(daemon).catch(() => ({ breaches: [] }))))
  return dumps.reduce((sum, dump) => sum + (Array.isArray(dump.breaches) ? dump.breaches.length : 0), 0)
}
