import { digestOf, formatLocatedError, loadDocument } from '@lovagehoist/common'
import type { Clock, Platform } from '@lovagehoist/common'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { ENVIRONMENTS_TABLE, documentKey, environmentRowSchema } from '../environment/environmentRow.js'
import type { EnvironmentRow } from '../environment/environmentRow.js'

/** Why a promotion did not win. */
export interface PromotionError {
  readonly kind: 'invalid' | 'conflict' | 'unknown-digest' | 'platform'
  readonly message: string
}

/** A promotion to carry out. */
export interface PromotionRequest {
  readonly environment: string
  readonly digest: string
  readonly operationId: string
  readonly promotedBy: string
}

/** What promotion needs. */
export interface PromotionOptions {
  readonly platform: Platform
  readonly clock: Clock
}

/**
 * Stores a document under its digest.
 *
 * @param platform - Object store.
 * @param file - Name used in faults.
 * @param bytes - Document.
 * @returns The digest.
 */
export const storeDocument = async (platform: Platform, file: string, bytes: Buffer): Promise<Result<string, PromotionError>> => {
  const loaded = loadDocument(file, bytes.toString('utf8'))
  if (loaded.isErr()) return err({ kind: 'invalid', message: loaded.error.map(formatLocatedError).join('\n') })
  const digest = digestOf(bytes)
  const stored = await platform.objects.put(documentKey(digest), bytes)
  return stored.map(() => digest).mapErr(({ message }) => ({ kind: 'platform', message }))
}

/**
 * Makes a stored document the accepted one of an environment, if nobody else promotes meanwhile.
 *
 * @param options - Platform and clock.
 * @param request - What to promote, where and by whom.
 * @returns The row that won.
 */
export const promote = async (options: PromotionOptions, request: PromotionRequest): Promise<Result<EnvironmentRow, PromotionError>> => {
  const { table } = options.platform
  const found = await table.get(ENVIRONMENTS_TABLE, request.environment, { isFresh: true })
  if (found.isErr()) return err({ kind: 'platform', message: found.error.message })
  const before = environmentRowSchema.safeParse(found.value?.value)
  const row: EnvironmentRow = {
    version: (before.success ? before.data.version : 0) + 1,
    digest: request.digest,
    operationId: request.operationId,
    promotedBy: request.promotedBy,
    promotedAtMs: options.clock.wallMs()
  }
  const outcome = await table.transact({
    operationId: request.operationId,
    conditions: [{ table: ENVIRONMENTS_TABLE, key: request.environment, version: found.value?.version ?? 0 }],
    writes: [{ type: 'put', table: ENVIRONMENTS_TABLE, key: request.environment, value: row }]
  })
  if (outcome.isErr()) return err({ kind: 'platform', message: outcome.error.message })
  return outcome.value.type === 'applied' ? ok(row) : err({ kind: 'conflict', message: 'another promotion won' })
}
