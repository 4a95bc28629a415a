import { z } from 'zod'
import { sha256Hex } from '@lovagehoist/common'
import type { AcceptedRequest } from '../accept/acceptedRequest.js'

/** Table that stores claims of idempotency keys. */
export const CLAIM_TABLE = 'request-keys'

const recordedResponseSchema = z.object({
  status: z.number(),
  headers: z.array(z.string()).readonly(),
  /** Body in base64; absent when it is in the object store. */
  body: z.string().optional(),
  objectKey: z.string().optional()
}).readonly()

const claimRow = z.object({
  /** `claimed` until its holder settles it. A `released` key may be claimed again; its row is kept so that its version only grows. */
  state: z.enum(['claimed', 'answered', 'unknown', 'released']),
  /** Unique id of the claim; only its holder may send the request. */
  claimId: z.string(),
  /** Unique id of the last write; shows whether a write whose response was lost took effect. */
  writeId: z.string(),
  /** Digest of method, path and body. */
  requestDigest: z.string(),
  /** Wall-clock time by which the holder has settled the claim, unless it failed. */
  settledByMs: z.number(),
  /** Wall-clock time after which the key may be claimed again. */
  expiresAtMs: z.number(),
  answer: recordedResponseSchema.optional()
}).readonly()

/** A claim of an idempotency key, as stored in the table. */
export type ClaimRow = z.infer<typeof claimRow>
/** A recorded response. */
export type RecordedResponse = z.infer<typeof recordedResponseSchema>

/**
 * Parses the value of a row.
 *
 * @param value - Value of a row.
 * @returns The claim; undefined when the value is invalid.
 */
export const parseClaimRow = (value: unknown): ClaimRow | undefined => claimRow.safeParse(value).data

/**
 * Derives the row key of an idempotency key, which is scoped to its account and route.
 *
 * @param accepted - Request with a key.
 * @returns Key of the row.
 */
export const rowKeyOf = ({ account, route, idempotencyKey }: AcceptedRequest): string => sha256Hex(`${account.id}\u0000${route.id}\u0000${idempotencyKey ?? ''}`)

/**
 * Digests the parts of a request that must be equal in all requests with the same key.
 *
 * @param accepted - Request with a key.
 * @returns Digest of method, path and body.
 */
export const requestDigestOf = ({ method, path, bodyDigest }: AcceptedRequest): string => sha256Hex(`${method}\u0000${path}\u0000${bodyDigest}`)
