import { fullJitterMs } from './fullJitter.js'
import type { Clock, Platform, PlatformError, Random } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { HISTORY_TABLE, OPERATIONS_TABLE, environmentRowSchema, historyKey, operationRowSchema } from '../environment/environmentRow.js'
import type { EnvironmentRow, OperationRow } from '../environment/environmentRow.js'
import { readRow } from '../environment/readRows.js'
import { conflictError, unavailableError } from './promotionError.js'
import type { PromotionError } from './promotionError.js'

/** Platform, clock and time limit for resolving an unconfirmed promotion. */
export interface ResolveOptions {
  readonly platform: Platform
  readonly clock: Clock
  readonly random: Random
  /** Time after which the outcome is reported as unknown. */
  readonly timeoutMs: number
}

/** A promotion whose write got no response, so that its outcome is unknown. */
export interface UnconfirmedPromotion {
  readonly environment: string
  readonly operationId: string
  /** Version that it would create. */
  readonly version: number
}

const FIRST_DELAY_MS = 100
const MAX_DELAY_MS = 2_000
/** Reads that find no operation row before the operation is abandoned. */
const READS_BEFORE_ABANDONING = 3

type OperationRead = Result<OperationRow | undefined, PlatformError>

const readOperation = async (platform: Platform, operationId: string): Promise<OperationRead> =>
  (await readRow(platform, OPERATIONS_TABLE, operationId, operationRowSchema)).map(row => row.value)

/** Writes the operation's row as abandoned: a delayed write requires that the row is absent, and so can't take effect any more. */
const abandon = async (platform: Platform, promotion: UnconfirmedPromotion): Promise<void> => {
  const value: OperationRow = { state: 'abandoned', environment: promotion.environment }
  await platform.table.transact({
    operationId: `${promotion.operationId}-abandon`,
    conditions: [{ table: OPERATIONS_TABLE, key: promotion.operationId, version: 0 }],
    writes: [{ type: 'put', table: OPERATIONS_TABLE, key: promotion.operationId, value }]
  })
}

const readHistory = async (platform: Platform, environment: string, version: number): Promise<Result<EnvironmentRow, PromotionError>> => {
  const row = await readRow(platform, HISTORY_TABLE, historyKey(environment, version), environmentRowSchema)
  if (row.isErr()) return err(unknownOutcome(row.error.message))
  return row.value.value === undefined ? err(unknownOutcome('its row is missing in the history')) : ok(row.value.value)
}

const unknownOutcome = (reason: string): PromotionError =>
  ({ kind: 'unknown', message: `the response to the write was lost and its outcome could not be determined (${reason}); check "config status" before trying again` })

const outcomeOf = async (options: ResolveOptions, promotion: UnconfirmedPromotion, row: OperationRow): Promise<Result<EnvironmentRow, PromotionError>> => {
  if (row.state === 'applied') return await readHistory(options.platform, promotion.environment, row.version)
  const winner = await readRow(options.platform, HISTORY_TABLE, historyKey(promotion.environment, promotion.version), environmentRowSchema)
  if (winner.isOk() && winner.value.value !== undefined) return err(conflictError(promotion.environment, winner.value.value))
  return err(unavailableError({ kind: 'unavailable', message: 'the write did not arrive and was abandoned' }))
}

/**
 * Determines the outcome of a promotion whose write got no response, by reading the row of its operation id.
 *
 * The promotion is never written a second time. If the row stays absent, the operation is marked as abandoned, so that a
 * delayed write fails.
 *
 * @param options - Platform, clock and time limit.
 * @param promotion - The unconfirmed promotion.
 * @returns Its row when it won; otherwise an error: `conflict` with the winner, `unavailable` when it can't take effect any more, or `unknown`.
 */
export const resolveUnconfirmed = async (options: ResolveOptions, promotion: UnconfirmedPromotion): Promise<Result<EnvironmentRow, PromotionError>> => {
  const { platform, clock, random, timeoutMs } = options
  const endsAtMs = clock.monotonicMs() + timeoutMs
  let reads = 0
  let reason = 'time limit exceeded'
  for (let attempt = 0; clock.monotonicMs() < endsAtMs; attempt++) {
    const read = await readOperation(platform, promotion.operationId)
    if (read.isOk() && read.value !== undefined) return await outcomeOf(options, promotion, read.value)
    if (read.isErr()) reason = read.error.message
    else if (++reads >= READS_BEFORE_ABANDONING) await abandon(platform, promotion)
    await clock.sleepMs(fullJitterMs(random, attempt, FIRST_DELAY_MS, MAX_DELAY_MS))
  }
  return err(unknownOutcome(reason))
}
