import { fullJitterMs } from './fullJitter.js'
import type { Clock, Platform, PlatformError, Random } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { HISTORY_TABLE, OPERATIONS_TABLE, environmentRowSchema, historyKey, operationRowSchema } from '../environment/environmentRow.js'
import type { EnvironmentRow, OperationRow } from '../environment/environmentRow.js'
import { readRow } from '../environment/readRows.js'
import { conflictWith, unavailable } from './promotionError.js'
import type { PromotionError } from './promotionError.js'

/** What settling needs. */
export interface SettleOptions {
  readonly platform: Platform
  readonly clock: Clock
  readonly random: Random
  /** Time after which settling gives up. */
  readonly limitMs: number
}

/** A promotion whose answer was lost. */
export interface LostOperation {
  readonly environment: string
  readonly operationId: string
  /** Version that it would make. */
  readonly version: number
}

const FIRST_PAUSE_MS = 100
const LONGEST_PAUSE_MS = 2_000
/** Reads before the operation is abandoned. */
const READS_BEFORE_ABANDONING = 3

type Read = Result<OperationRow | undefined, PlatformError>

const readOperation = async (platform: Platform, operationId: string): Promise<Read> =>
  (await readRow(platform, OPERATIONS_TABLE, operationId, operationRowSchema)).map(row => row.value)

/** Takes the operation's name, so that a write that is still under way can't take effect any more. */
const abandon = async (platform: Platform, lost: LostOperation): Promise<void> => {
  const value: OperationRow = { state: 'abandoned', environment: lost.environment }
  await platform.table.transact({
    operationId: `${lost.operationId}-abandon`,
    conditions: [{ table: OPERATIONS_TABLE, key: lost.operationId, version: 0 }],
    writes: [{ type: 'put', table: OPERATIONS_TABLE, key: lost.operationId, value }]
  })
}

const readHistory = async (platform: Platform, environment: string, version: number): Promise<Result<EnvironmentRow, PromotionError>> => {
  const row = await readRow(platform, HISTORY_TABLE, historyKey(environment, version), environmentRowSchema)
  if (row.isErr()) return err(unknown(row.error.message))
  return row.value.value === undefined ? err(unknown('its row is missing in the history')) : ok(row.value.value)
}

const unknown = (reason: string): PromotionError =>
  ({ kind: 'unknown', message: `the answer was lost and could not be settled (${reason}); look with "config status" before trying again` })

const resultOf = async (options: SettleOptions, lost: LostOperation, row: OperationRow): Promise<Result<EnvironmentRow, PromotionError>> => {
  if (row.state === 'applied') return await readHistory(options.platform, lost.environment, row.version)
  const winner = await readRow(options.platform, HISTORY_TABLE, historyKey(lost.environment, lost.version), environmentRowSchema)
  if (winner.isOk() && winner.value.value !== undefined) return err(conflictWith(lost.environment, winner.value.value))
  return err(unavailable({ kind: 'unavailable', message: 'the write did not arrive, and was abandoned' }))
}

/**
 * Finds out how a promotion ended whose answer was lost: by its operation id, never by writing it again.
 *
 * @param options - Platform, time and limit.
 * @param lost - The promotion.
 * @returns Its row when it won; otherwise who won, that it can't take effect any more, or that this is unknown.
 */
export const settle = async (options: SettleOptions, lost: LostOperation): Promise<Result<EnvironmentRow, PromotionError>> => {
  const { platform, clock, random, limitMs } = options
  const endsAtMs = clock.monotonicMs() + limitMs
  let reads = 0
  let reason = 'no time was left'
  for (let attempt = 0; clock.monotonicMs() < endsAtMs; attempt++) {
    const read = await readOperation(platform, lost.operationId)
    if (read.isOk() && read.value !== undefined) return await resultOf(options, lost, read.value)
    if (read.isErr()) reason = read.error.message
    else if (++reads >= READS_BEFORE_ABANDONING) await abandon(platform, lost)
    await clock.sleepMs(fullJitterMs(random, attempt, FIRST_PAUSE_MS, LONGEST_PAUSE_MS))
  }
  return err(unknown(reason))
}
