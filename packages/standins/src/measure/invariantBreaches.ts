import type { Fleet } from './fleet.js'

/** Breaches that daemons noticed themselves: their number, and the number by name. */
export interface BreachFigures {
  readonly invariantBreaches: number
  readonly breachNames: Readonly<Record<string, number>>
}

const readNames = async (fleet: Fleet): Promise<readonly string[]> => {
  const dumps = await Promise.all(fleet.daemons.map(async daemon => await fleet.dump(daemon).catch(() => ({ breaches: [] }))))
  return dumps
    .flatMap(({ breaches }) => Array.isArray(breaches) ? breaches as ReadonlyArray<{ readonly name: string }> : [])
    .map(({ name }) => name)
}

/**
 * Counts the breaches that daemons noticed themselves.
 *
 * @param fleet - Running fleet.
 * @returns The sum over all daemons that answer.
 */
export const countInvariantBreaches = async (fleet: Fleet): Promise<number> => (await readNames(fleet)).length

/**
 * Counts the breaches that daemons noticed themselves, by name too.
 *
 * @param fleet - Running fleet.
 * @returns The sums over all daemons that answer.
 */
export const breachFigures = async (fleet: Fleet): Promise<BreachFigures> => {
  const names = await readNames(fleet)
  const breachNames = names.reduce<Record<string, number>>((sums, name) => ({ ...sums, [name]: (sums[name] ?? 0) + 1 }), {})
  return { invariantBreaches: names.length, breachNames }
}
