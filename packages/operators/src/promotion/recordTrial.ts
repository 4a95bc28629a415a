import type { Clock, Platform } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { ENVIRONMENTS_TABLE, TRIALS_TABLE, trialKey, trialRowSchema } from '../environment/environmentRow.js'
import type { EnvironmentRow, TrialRow } from '../environment/environmentRow.js'
import { readEnvironment, readRow } from '../environment/readRows.js'
import { conflictError, unavailableError } from './promotionError.js'
import type { PromotionError } from './promotionError.js'

/** Result of a successful trial, to be recorded. */
export interface TrialRecord {
  readonly trialEnvironment: string
  readonly productionEnvironment: string
  /** Row of the trial environment that was tried. */
  readonly accepted: EnvironmentRow
  /** Number of live instances that held it. */
  readonly instances: number
  /** Time for which all of them held it. */
  readonly heldMs: number
  readonly recordedBy: string
  readonly operationId: string
}

/**
 * Records that a document passed its trial, provided that it is still the accepted one of the trial environment.
 *
 * @param platform - Platform with the table.
 * @param clock - Source of time.
 * @param record - Result of the trial.
 * @returns The stored row; a conflict when another document was promoted to the trial environment meanwhile.
 */
export const recordTrial = async (platform: Platform, clock: Clock, record: TrialRecord): Promise<Result<TrialRow, PromotionError>> => {
  const { trialEnvironment, productionEnvironment, accepted, instances, heldMs, recordedBy, operationId } = record
  const key = trialKey(trialEnvironment, accepted.digest)
  const trial = await readEnvironment(platform, trialEnvironment)
  if (trial.isErr()) return err(unavailableError(trial.error))
  if (trial.value.value?.operationId !== accepted.operationId) return err(conflictError(trialEnvironment, trial.value.value))
  const production = await readEnvironment(platform, productionEnvironment)
  if (production.isErr()) return err(unavailableError(production.error))
  const before = await readRow(platform, TRIALS_TABLE, key, trialRowSchema)
  if (before.isErr()) return err(unavailableError(before.error))
  const row: TrialRow = {
    environment: trialEnvironment,
    digest: accepted.digest,
    version: accepted.version,
    instances,
    heldMs,
    productionVersion: production.value.value?.version ?? 0,
    recordedBy,
    recordedAtMs: clock.wallMs()
  }
  const outcome = await platform.table.transact({
    operationId,
    conditions: [
      { table: ENVIRONMENTS_TABLE, key: trialEnvironment, version: trial.value.rowVersion },
      { table: TRIALS_TABLE, key, version: before.value.rowVersion }
    ],
    writes: [{ type: 'put', table: TRIALS_TABLE, key, value: row }]
  })
  if (outcome.isErr()) return err({ kind: 'unknown', message: `the trial held, but its record may be missing: run the trial again (${outcome.error.message})` })
  if (outcome.value.type === 'applied') return ok(row)
  const now = await readEnvironment(platform, trialEnvironment)
  return err(conflictError(trialEnvironment, now.isOk() ? now.value.value : undefined))
}
