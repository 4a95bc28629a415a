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

/**
 * Names the breaches that daemons noticed themselves.
 *
 * @param fleet - Running fleet.
 * @returns Number of breaches by name.
 */
export const breachNames = async (fleet: Fleet): Promise<Readonly<Record<string, number>>> => {
  const dumps = await Promise.all(fleet.daemons.map(async daemon => await fleet.dump(daemon).catch(() => ({ breaches: [] }))))
  const names = dumps.flatMap(({ breaches }) => Array.isArray(breaches) ? breaches as ReadonlyArray<{ readonly name: string }> : []).map(({ name }) => name)
  return names.reduce<Record<string, number>>((sums, name) => ({ ...sums, [name]: (sums[name] ?? 0) + 1 }), {})
}
