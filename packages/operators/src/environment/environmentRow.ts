import { z } from 'zod'

/** Table that holds one row for each environment: which document is accepted. */
export const ENVIRONMENTS_TABLE = 'environments'
/** Table that keeps each promotion, written in the same transaction. */
export const HISTORY_TABLE = 'environment-history'
/** Table that names each promotion by its operation id, so that a lost answer can be settled. */
export const OPERATIONS_TABLE = 'promotion-operations'
/** Table that records which digests held in a trial environment. */
export const TRIALS_TABLE = 'trial-results'

const VERSION_DIGITS = 12

const digest = z.string().regex(/^[0-9a-f]{64}$/)

/** Schema of an environment's row, and of its history. */
export const environmentRowSchema = z.object({
  /** Grows by one with each promotion. */
  version: z.int().min(1),
  /** SHA-256 of the document's bytes, in hexadecimal. */
  digest,
  /** Digest accepted before; empty for the first. */
  previousDigest: z.string(),
  /** Promotion that wrote the row. */
  operationId: z.string(),
  promotedBy: z.string(),
  /** Wall-clock time in milliseconds since the Unix epoch. */
  promotedAtMs: z.number()
}).readonly()

/** Which document an environment accepted. */
export type EnvironmentRow = z.infer<typeof environmentRowSchema>

/** Schema of the row of an operation. */
export const operationRowSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('applied'), environment: z.string(), version: z.int().min(1) }).readonly(),
  z.object({ state: z.literal('abandoned'), environment: z.string() }).readonly()
])

/** How an operation ended. */
export type OperationRow = z.infer<typeof operationRowSchema>

/** Schema of the row that a digest gets when it held in trial. */
export const trialRowSchema = z.object({
  environment: z.string(),
  digest,
  /** Version under which it was accepted in the trial environment. */
  version: z.int().min(1),
  /** Live instances that held it. */
  instances: z.int().min(1),
  /** Time for which all of them held it. */
  heldMs: z.number(),
  /** Version of the production environment at the time; 0 for none. A promotion replaces this one. */
  productionVersion: z.int().min(0),
  recordedBy: z.string(),
  /** Wall-clock time in milliseconds since the Unix epoch. */
  recordedAtMs: z.number()
}).readonly()

/** Proof that a digest held in trial. */
export type TrialRow = z.infer<typeof trialRowSchema>

/**
 * Names the row of one promotion in the history.
 *
 * @param environment - Environment.
 * @param version - Version that the promotion made.
 * @returns Key; sorts by version.
 */
export const historyKey = (environment: string, version: number): string => `${environment}/${String(version).padStart(VERSION_DIGITS, '0')}`

/**
 * Names the row of a digest's trial.
 *
 * @param environment - Trial environment.
 * @param trialDigest - Digest of the document.
 * @returns Key.
 */
export const trialKey = (environment: string, trialDigest: string): string => `${environment}/${trialDigest}`
