import { SeededRandom, formatLocatedError } from '@lovagehoist/common'
import type { Clock, EnvironmentDocument, Platform, Random, RowCondition, TableTransaction } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { checkDocument } from '../document/checkDocument.js'
import { documentKey, packDocument, readStored } from '../document/documentStore.js'
import { silentlyRemovedServices } from '../document/removedServices.js'
import {
  ENVIRONMENTS_TABLE, HISTORY_TABLE, OPERATIONS_TABLE, TRIALS_TABLE, historyKey, trialKey, trialRowSchema
} from '../environment/environmentRow.js'
import type { EnvironmentRow, OperationRow, TrialRow } from '../environment/environmentRow.js'
import { readEnvironment, readRow } from '../environment/readRows.js'
import type { ReadRow } from '../environment/readRows.js'
import { conflictWith, unavailable } from './promotionError.js'
import type { PromotionError } from './promotionError.js'
import { settle } from './settle.js'

/** A promotion to carry out. */
export interface PromotionRequest {
  readonly environment: string
  readonly digest: string
  /** Unique name of this promotion. */
  readonly operationId: string
  readonly promotedBy: string
  /** Version that the operator saw and means to replace, 0 for none; absent to replace whatever is there now. */
  readonly seenVersion?: number
  /** Trial environment in which the digest must have held; absent for an environment without trial. */
  readonly trialEnvironment?: string
}

/** What promotion needs. */
export interface PromotionOptions {
  readonly platform: Platform
  readonly clock: Clock
  /** Spreads the reads that settle a lost answer. */
  readonly random?: Random
  /** Longest time for settling a lost answer. */
  readonly settleLimitMs?: number
}

const SETTLE_LIMIT_MS = 20_000
const SETTLE_SEED = 1

type Promoted<T> = Promise<Result<T, PromotionError>>

/**
 * Checks a document and stores it under its digest.
 *
 * @param platform - Object store.
 * @param file - Name used in faults.
 * @param bytes - Document.
 * @returns The digest.
 */
export const storeDocument = async (platform: Platform, file: string, bytes: Buffer): Promoted<string> => {
  const loaded = checkDocument(file, bytes.toString('utf8'))
  if (loaded.isErr()) return err({ kind: 'invalid', message: loaded.error.map(formatLocatedError).join('\n') })
  const { digest, packed } = packDocument(bytes)
  const stored = await platform.objects.put(documentKey(digest), packed)
  return stored.map(() => digest).mapErr(unavailable)
}

const readDocument = async (platform: Platform, digest: string): Promoted<EnvironmentDocument> => {
  const stored = await readStored(platform, digest)
  if (stored.isErr()) return err(unavailable(stored.error))
  if (stored.value === undefined) return err({ kind: 'unknown-digest', message: `no document with digest ${digest} is stored: expected one that "config trial" printed` })
  const checked = checkDocument(digest, stored.value.bytes.toString('utf8'))
  return checked.mapErr(errors => ({ kind: 'invalid', message: errors.map(formatLocatedError).join('\n') }))
}

const checkRemovals = async (platform: Platform, before: EnvironmentRow | undefined, next: EnvironmentDocument): Promoted<undefined> => {
  if (before === undefined) return ok(undefined)
  const previous = await readDocument(platform, before.digest)
  if (previous.isErr()) return previous.error.kind === 'unavailable' ? err(previous.error) : ok(undefined)
  const removed = silentlyRemovedServices(previous.value, next)
  if (removed.length === 0) return ok(undefined)
  return err({ kind: 'invalid', message: `removedServices: expected the names of services that version ${before.version} has and this document drops: ${removed.join(', ')}` })
}

const findTrial = async (platform: Platform, request: PromotionRequest): Promoted<ReadRow<TrialRow> | undefined> => {
  const { trialEnvironment, digest } = request
  if (trialEnvironment === undefined) return ok(undefined)
  const trial = await readRow(platform, TRIALS_TABLE, trialKey(trialEnvironment, digest), trialRowSchema)
  if (trial.isErr()) return err(unavailable(trial.error))
  if (trial.value.value !== undefined) return ok(trial.value)
  return err({ kind: 'not-tried', message: `${digest} did not hold in ${trialEnvironment} yet: run "config trial FILE" and wait until it reports that it held` })
}

const transactionOf = (request: PromotionRequest, row: EnvironmentRow, environmentRowVersion: number, trial: ReadRow<TrialRow> | undefined): TableTransaction => {
  const { environment, operationId, digest, trialEnvironment } = request
  const operation: OperationRow = { state: 'applied', environment, version: row.version }
  const trialCondition: readonly RowCondition[] = trial === undefined || trialEnvironment === undefined
    ? []
    : [{ table: TRIALS_TABLE, key: trialKey(trialEnvironment, digest), version: trial.rowVersion }]
  return {
    operationId,
    conditions: [
      { table: ENVIRONMENTS_TABLE, key: environment, version: environmentRowVersion },
      { table: OPERATIONS_TABLE, key: operationId, version: 0 },
      ...trialCondition
    ],
    writes: [
      { type: 'put', table: ENVIRONMENTS_TABLE, key: environment, value: row },
      { type: 'put', table: HISTORY_TABLE, key: historyKey(environment, row.version), value: row },
      { type: 'put', table: OPERATIONS_TABLE, key: operationId, value: operation }
    ]
  }
}

const writeRow = async (options: PromotionOptions, row: EnvironmentRow, request: PromotionRequest, transaction: TableTransaction): Promoted<EnvironmentRow> => {
  const { platform, clock, random = SeededRandom.create(SETTLE_SEED), settleLimitMs: limitMs = SETTLE_LIMIT_MS } = options
  const { environment, operationId } = request
  const outcome = await platform.table.transact(transaction)
  if (outcome.isErr()) {
    if (outcome.error.kind !== 'unknown') return err(unavailable(outcome.error))
    return await settle({ platform, clock, random, limitMs }, { environment, operationId, version: row.version })
  }
  if (outcome.value.type === 'applied') return ok(row)
  const now = await readEnvironment(platform, environment)
  return err(conflictWith(environment, now.isOk() ? now.value.value : undefined))
}

/**
 * Makes a stored document the accepted one of an environment, if the version that the operator saw is still there.
 *
 * @param options - Platform and clock.
 * @param request - What to promote, where and by whom.
 * @returns The row that won; of promotions over the same version exactly one gets it.
 */
export const promote = async (options: PromotionOptions, request: PromotionRequest): Promoted<EnvironmentRow> => {
  const { platform, clock } = options
  const { environment, digest, operationId, promotedBy } = request
  const found = await readEnvironment(platform, environment)
  if (found.isErr()) return err(unavailable(found.error))
  const { rowVersion, value: before } = found.value
  const trial = await findTrial(platform, request)
  if (trial.isErr()) return err(trial.error)
  const seenVersion = request.seenVersion ?? trial.value?.value?.productionVersion
  if (seenVersion !== undefined && seenVersion !== (before?.version ?? 0)) return err(conflictWith(environment, before))
  const document = await readDocument(platform, digest)
  if (document.isErr()) return err(document.error)
  const removals = await checkRemovals(platform, before, document.value)
  if (removals.isErr()) return err(removals.error)
  const version = (before?.version ?? 0) + 1
  const row: EnvironmentRow = { version, digest, previousDigest: before?.digest ?? '', operationId, promotedBy, promotedAtMs: clock.wallMs() }
  return await writeRow(options, row, request, transactionOf(request, row, rowVersion, trial.value))
}
