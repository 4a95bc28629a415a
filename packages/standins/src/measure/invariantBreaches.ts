import type { Fleet } from './fleet.js'

/** Invariant breaches that daemons detected themselves: total and count by name. */
export interface BreachFigures {
  readonly invariantBreaches: number
  readonly breachNames: Readonly<Record<string, number>>
}

const readBreachNames = async (fleet: Fleet): Promise<readonly string[]> => {
  const dumps = await Promise.all(fleet.daemons.map(async daemon => await fleet.dump(daemon).catch(() => ({ breaches: [] }))))
  return dumps
    .flatMap(({ breaches }) => Array.isArray(breaches) ? breaches as ReadonlyArray<{ readonly name: string }> : [])
    .map(({ name }) => name)
}

/**
 * Counts the invariant breaches that daemons detected themselves.
 *
 * @param fleet - Running fleet.
 * @returns The sum over all daemons that respond.
 */
export const countInvariantBreaches = async (fleet: Fleet): Promise<number> => (await readBreachNames(fleet)).length

/**
 * Counts the invariant breaches that daemons detected themselves, in total and by name.
 *
 * @param fleet - Running fleet.
 * @returns The sums over all daemons that respond.
 */
export const breachFigures = async (fleet: Fleet): Promise<BreachFigures> => {
  const names = await readBreachNames(fleet)
  const breachNames = names.reduce<Record<string, number>>((sums, name) => ({ ...sums, [name]: (sums[name] ?? 0) + 1 }), {})
  return { invariantBreaches: names.length, breachNames }
}
