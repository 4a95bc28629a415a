import type { Platform, PlatformError, TableRow } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import { ENVIRONMENTS_TABLE, environmentRowSchema } from './environmentRow.js'
import type { EnvironmentRow } from './environmentRow.js'

/** A row with its validated value. */
export interface ReadRow<T> {
  /** Version of the row in the table; 0 when there is none. */
  readonly rowVersion: number
  readonly value: T | undefined
}

const validateRow = <T>(row: TableRow | undefined, schema: z.ZodType<T>): Result<ReadRow<T>, PlatformError> => {
  if (row === undefined) return ok({ rowVersion: 0, value: undefined })
  const checked = schema.safeParse(row.value)
  return checked.success
    ? ok({ rowVersion: row.version, value: checked.data })
    : err({ kind: 'rejected', message: `the row ${row.table}/${row.key} has a shape that this version does not know` })
}

/**
 * Reads the latest committed state of a row.
 *
 * @param platform - Table service.
 * @param table - Table.
 * @param key - Key.
 * @param schema - Schema of the value.
 * @returns The row; `rejected` when its value does not match the schema.
 */
export const readRow = async <T>(platform: Platform, table: string, key: string, schema: z.ZodType<T>): Promise<Result<ReadRow<T>, PlatformError>> => {
  const found = await platform.table.get(table, key, { isFresh: true })
  return found.andThen(row => validateRow(row, schema))
}

/**
 * Reads the document that an environment has accepted.
 *
 * @param platform - Table service.
 * @param environment - Environment.
 * @returns The row; `rejected` when its value does not match the schema.
 */
export const readEnvironment = async (platform: Platform, environment: string): Promise<Result<ReadRow<EnvironmentRow>, PlatformError>> =>
  await readRow(platform, ENVIRONMENTS_TABLE, environment, environmentRowSchema)
