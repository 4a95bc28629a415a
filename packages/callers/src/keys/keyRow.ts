import { z } from 'zod'
import { sha256Hex } from '@lovagehoist/common'
import type { Passage } from '../accept/passage.js'

/** Table that claims of keys are kept in. */
export const KEY_TABLE = 'request-keys'

const answer = z.object({
  status: z.number(),
  headers: z.array(z.string()).readonly(),
  /** Body in base64; absent when it is in the object store. */
  body: z.string().optional(),
  objectKey: z.string().optional()
}).readonly()

const keyRow = z.object({
  /** `claimed` until its holder settles it; a `released` key may be claimed again, and its row stays so that versions only grow. */
  state: z.enum(['claimed', 'answered', 'unknown', 'released']),
  /** Unique name of the claim; only its holder may send the request. */
  claimId: z.string(),
  /** Unique name of the last write, by which a lost answer is settled. */
  writeId: z.string(),
  /** Digest of method, path and body. */
  requestDigest: z.string(),
  /** Wall-clock time by which the holder has settled the claim, or is gone. */
  settledByMs: z.number(),
  /** Wall-clock time after which the key may be claimed again. */
  expiresAtMs: z.number(),
  answer: answer.optional()
}).readonly()

/** A claim of a key, as the table holds it. */
export type KeyRow = z.infer<typeof keyRow>
/** A recorded answer. */
export type RecordedAnswer = z.infer<typeof answer>

/**
 * Reads a row's value.
 *
 * @param value - Value of a row.
 * @returns The claim; undefined when the value has another shape.
 */
export const parseKeyRow = (value: unknown): KeyRow | undefined => keyRow.safeParse(value).data

/**
 * Names the row of a key; keys of different accounts and routes never meet.
 *
 * @param passage - Request with a key.
 * @returns Key of the row.
 */
export const rowKeyOf = ({ account, route, key }: Passage): string => sha256Hex(`${account.id}\u0000${route.id}\u0000${key ?? ''}`)

/**
 * Digests what must be equal in all requests with one key.
 *
 * @param passage - Request with a key.
 * @returns Digest of method, path and body.
 */
export const requestDigestOf = ({ method, path, bodyDigest }: Passage): string => sha256Hex(`${method}\u0000${path}\u0000${bodyDigest}`)
