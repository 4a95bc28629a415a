/**
 * Groups items by a key.
 *
 * @param items - Items.
 * @param keyOf - Key of an item.
 * @returns The items of each key, in their original order.
 */
export const groupBy = <T>(items: readonly T[], keyOf: (item: T) => string): ReadonlyMap<string, readonly T[]> => {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const group = groups.get(keyOf(item))
    if (group === undefined) groups.set(keyOf(item), [item])
    else group.push(item)
  }
  return groups
}

/**
 * Counts occurrences.
 *
 * @param names - Names, with repetitions.
 * @returns The number of occurrences of each name.
 */
export const countBy = (names: ReadonlyArray<string | number>): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {}
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1
  return counts
}
