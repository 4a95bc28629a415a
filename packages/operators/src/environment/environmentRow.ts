import { z } from 'zod'

/** Table with one row for each environment, which holds the accepted document. */
export const ENVIRONMENTS_TABLE = 'environments'
/** Table with one row for each promotion, written in the transaction of the promotion. */
export const HISTORY_TABLE = 'environment-history'
/** Table with one row for each operation id, from which the outcome is read after a lost response. */
export const OPERATIONS_TABLE = 'promotion-operations'
/** Table with one row for each digest that passed its trial. */
export const TRIALS_TABLE = 'trial-results'

const VERSION_DIGITS = 12

const digestSchema = z.string().regex(/^[0-9a-f]{64}$/)

/** Schema of the row of an environment and of the rows of its history. */
export const environmentRowSchema = z.object({
  /** Increases by one with each promotion. */
  version: z.int().min(1),
  /** SHA-256 of the document's bytes, in hexadecimal. */
  digest: digestSchema,
  /** Digest accepted before; empty for the first promotion. */
  previousDigest: z.string(),
  /** Operation id of the promotion that wrote the row. */
  operationId: z.string(),
  promotedBy: z.string(),
  /** Wall-clock time in milliseconds since the Unix epoch. */
  promotedAtMs: z.number()
}).readonly()

/** The document that an environment has accepted. */
export type EnvironmentRow = z.infer<typeof environmentRowSchema>

/** Schema of the row of an operation. */
export const operationRowSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('applied'), environment: z.string(), version: z.int().min(1) }).readonly(),
  z.object({ state: z.literal('abandoned'), environment: z.string() }).readonly()
])

/** Outcome of an operation. */
export type OperationRow = z.infer<typeof operationRowSchema>

/** Schema of the row that records that a digest passed its trial. */
export const trialRowSchema = z.object({
  environment: z.string(),
  digest: digestSchema,
  /** Version under which it was accepted in the trial environment. */
  version: z.int().min(1),
  /** Number of live instances that had it in force. */
  instances: z.int().min(1),
  /** Time for which all of them had it in force, in milliseconds. */
  heldMs: z.number(),
  /** Version of the production environment at that time, which a promotion replaces; 0 for none. */
  productionVersion: z.int().min(0),
  recordedBy: z.string(),
  /** Wall-clock time in milliseconds since the Unix epoch. */
  recordedAtMs: z.number()
}).readonly()

/** Record that a digest passed its trial. */
export type TrialRow = z.infer<typeof trialRowSchema>

/**
 * Returns the key of a promotion in the history.
 *
 * @param environment - Environment.
 * @param version - Version that the promotion created.
 * @returns The key; keys sort by version.
 */
export const historyKey = (environment: string, version: number): string => `${environment}/${String(version).padStart(VERSION_DIGITS, '0')}`

/**
 * Returns the key of the trial record of a digest.
 *
 * @param environment - Trial environment.
 * @param trialDigest - Digest of the document.
 * @returns The key.
 */
export const trialKey = (environment: string, trialDigest: string): string => `${environment}/${trialDigest}`
