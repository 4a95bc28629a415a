import type { TableRow } from '@lovagehoist/common'

/** Name of the table of leases. */
export const LEASES_TABLE = 'leases'

/** Value of a lease's row. */
export interface LeaseRow {
  /** Id of the process that holds the lease; empty when it was released. */
  readonly holder: string
  /** Fencing token; increases with each change of the holder. */
  readonly fence: number
  readonly ttlMs: number
}

/**
 * Parses the value of a lease's row.
 *
 * @param row - Row; undefined when it does not exist.
 * @returns The value; undefined when there is no row or it is malformed.
 */
export const parseLease = (row: TableRow | undefined): LeaseRow | undefined => {
  const value = row?.value
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return undefined
  const { holder, fence, ttlMs } = value as Readonly<Record<string, unknown>>
  return typeof holder === 'string' && typeof fence === 'number' && typeof ttlMs === 'number' ? { holder, fence, ttlMs } : undefined
}
