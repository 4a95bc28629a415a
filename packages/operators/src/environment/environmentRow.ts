import { z } from 'zod'

/** Table that holds one row for each environment. */
export const ENVIRONMENTS_TABLE = 'environments'

/** Schema of an environment's row: which document is accepted. */
export const environmentRowSchema = z.strictObject({
  /** Grows by one with each promotion. */
  version: z.int().min(1),
  /** SHA-256 of the document's bytes, in hexadecimal. */
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  /** Promotion that wrote the row. */
  operationId: z.string(),
  promotedBy: z.string(),
  /** Wall-clock time in milliseconds since the Unix epoch. */
  promotedAtMs: z.number()
}).readonly()

/** Which document an environment accepted. */
export type EnvironmentRow = z.infer<typeof environmentRowSchema>

/**
 * Names the object that holds a document.
 *
 * @param digest - SHA-256 of its bytes, in hexadecimal.
 * @returns Key in the object store.
 */
export const documentKey = (digest: string): string => `documents/${digest}`
