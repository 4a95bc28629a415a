import { SeededRandom, formatLocatedError } from '@lovagehoist/common'
import type { Clock, EnvironmentDocument, Platform, Random, RowCondition, TableTransaction } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { checkDocument } from '../document/checkDocument.js'
import { documentKey, packDocument, readStoredDocument } from '../document/documentStore.js'
import { findUndeclaredRemovals } from '../document/removedServices.js'
import {
  ENVIRONMENTS_TABLE, HISTORY_TABLE, OPERATIONS_TABLE, TRIALS_TABLE, historyKey, trialKey, trialRowSchema
} from '../environment/environmentRow.js'
import type { EnvironmentRow, OperationRow, TrialRow } from '../environment/environmentRow.js'
import { readEnvironment, readRow } from '../environment/readRows.js'
import type { ReadRow } from '../environment/readRows.js'
import { conflictError, unavailableError } from './promotionError.js'
import type { PromotionError } from './promotionError.js'
import { resolveUnconfirmed } from './resolveUnconfirmed.js'

/** A promotion to carry out. */
export interface PromotionRequest {
  readonly environment: string
  readonly digest: string
  /** Unique id of this promotion, by which its outcome is looked up. */
  readonly operationId: string
  readonly promotedBy: string
  /** Version that the operator expects to replace, 0 for none; absent to replace whichever is accepted now. */
  readonly seenVersion?: number
  /** Trial environment in which the digest must have passed its trial; absent for an environment without trial. */
  readonly trialEnvironment?: string
}

/** Dependencies and limits of a promotion. */
export interface PromotionOptions {
  readonly platform: Platform
  readonly clock: Clock
  /** Jitters the reads that resolve an unconfirmed write. */
  readonly random?: Random
  /** Longest time for resolving an unconfirmed write. */
  readonly resolveTimeoutMs?: number
}

const RESOLVE_TIMEOUT_MS = 20_000
const RESOLVE_JITTER_SEED = 1

type PromotionResult<T> = Promise<Result<T, PromotionError>>

/**
 * Validates a document and stores it under its digest.
 *
 * @param platform - Platform with the object store.
 * @param file - File name used in error messages.
 * @param bytes - Document, as JSON with comments.
 * @returns The digest.
 */
export const storeDocument = async (platform: Platform, file: string, bytes: Buffer): PromotionResult<string> => {
  const loaded = checkDocument(file, bytes.toString('utf8'))
  if (loaded.isErr()) return err({ kind: 'invalid', message: loaded.error.map(formatLocatedError).join('\n') })
  const { digest, packed } = packDocument(bytes)
  const stored = await platform.objects.put(documentKey(digest), packed)
  return stored.map(() => digest).mapErr(unavailableError)
}

const readDocument = async (platform: Platform, digest: string): PromotionResult<EnvironmentDocument> => {
  const stored = await readStoredDocument(platform, digest)
  if (stored.isErr()) return err(unavailableError(stored.error))
  if (stored.value === undefined) return err({ kind: 'unknown-digest', message: `no document with digest ${digest} is stored: expected one that "config trial" printed` })
  const checked = checkDocument(digest, stored.value.bytes.toString('utf8'))
  return checked.mapErr(errors => ({ kind: 'invalid', message: errors.map(formatLocatedError).join('\n') }))
}

/** Refuses a document that drops services without listing them in `removedServices`. */
const checkRemovals = async (platform: Platform, before: EnvironmentRow | undefined, next: EnvironmentDocument): PromotionResult<undefined> => {
  if (before === undefined) return ok(undefined)
  const previous = await readDocument(platform, before.digest)
  if (previous.isErr()) return previous.error.kind === 'unavailable' ? err(previous.error) : ok(undefined)
  const removed = findUndeclaredRemovals(previous.value, next)
  if (removed.length === 0) return ok(undefined)
  return err({ kind: 'invalid', message: `removedServices: expected the names of services that version ${before.version} has and this document drops: ${removed.join(', ')}` })
}

const readTrial = async (platform: Platform, request: PromotionRequest): PromotionResult<ReadRow<TrialRow> | undefined> => {
  const { trialEnvironment, digest } = request
  if (trialEnvironment === undefined) return ok(undefined)
  const trial = await readRow(platform, TRIALS_TABLE, trialKey(trialEnvironment, digest), trialRowSchema)
  if (trial.isErr()) return err(unavailableError(trial.error))
  if (trial.value.value !== undefined) return ok(trial.value)
  return err({ kind: 'not-tried', message: `${digest} did not hold in ${trialEnvironment} yet: run "config trial FILE" and wait until it reports that it held` })
}

const createTransaction = (request: PromotionRequest, row: EnvironmentRow, environmentRowVersion: number, trial: ReadRow<TrialRow> | undefined): TableTransaction => {
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

const applyTransaction = async (options: PromotionOptions, row: EnvironmentRow, request: PromotionRequest, transaction: TableTransaction): PromotionResult<EnvironmentRow> => {
  const { platform, clock, random = SeededRandom.create(RESOLVE_JITTER_SEED), resolveTimeoutMs: timeoutMs = RESOLVE_TIMEOUT_MS } = options
  const { environment, operationId } = request
  const outcome = await platform.table.transact(transaction)
  if (outcome.isErr()) {
    if (outcome.error.kind !== 'unknown') return err(unavailableError(outcome.error))
    return await resolveUnconfirmed({ platform, clock, random, timeoutMs }, { environment, operationId, version: row.version })
  }
  if (outcome.value.type === 'applied') return ok(row)
  const now = await readEnvironment(platform, environment)
  return err(conflictError(environment, now.isOk() ? now.value.value : undefined))
}

/**
 * Makes a stored document the accepted one of an environment, if the expected version is still the accepted one.
 *
 * @param options - Platform and clock.
 * @param request - Digest, environment and operator.
 * @returns The accepted row; of concurrent promotions over the same version exactly one succeeds.
 */
export const promote = async (options: PromotionOptions, request: PromotionRequest): PromotionResult<EnvironmentRow> => {
  const { platform, clock } = options
  const { environment, digest, operationId, promotedBy } = request
  const current = await readEnvironment(platform, environment)
  if (current.isErr()) return err(unavailableError(current.error))
  const { rowVersion, value: before } = current.value
  const trial = await readTrial(platform, request)
  if (trial.isErr()) return err(trial.error)
  const seenVersion = request.seenVersion ?? trial.value?.value?.productionVersion
  if (seenVersion !== undefined && seenVersion !== (before?.version ?? 0)) return err(conflictError(environment, before))
  const document = await readDocument(platform, digest)
  if (document.isErr()) return err(document.error)
  const removals = await checkRemovals(platform, before, document.value)
  if (removals.isErr()) return err(removals.error)
  const version = (before?.version ?? 0) + 1
  const row: EnvironmentRow = { version, digest, previousDigest: before?.digest ?? '', operationId, promotedBy, promotedAtMs: clock.wallMs() }
  return await applyTransaction(options, row, request, createTransaction(request, row, rowVersion, trial.value))
}
