import type { JsonValue } from '@lovagehoist/common'
import { z } from 'zod'

/** Table with one row per service, keyed by the service name. */
export const EJECTIONS_TABLE = 'ejections'

const entrySchema = z.object({
  targetId: z.string(),
  /** `ejected` gets no requests, `trial` a small share, `released` its full share; the entry stays until cached older versions of the row have expired. */
  stage: z.enum(['ejected', 'trial', 'released']),
  /** Version of the row written by the last change of this entry. */
  fence: z.int(),
  /** Version of the row at which this entry was created; it survives changes of stage. */
  sinceFence: z.int(),
  /** Wall-clock time of the last change of stage, in milliseconds since the Unix epoch. */
  changedAtMs: z.number(),
  /** Time for which the target stays ejected before its trial. */
  holdMs: z.number(),
  /** Consecutive ejections, this one included; the hold time doubles with each. */
  times: z.int(),
  /** Share of bad outcomes above that of the rest of the pool, 0 to 1. */
  severity: z.number(),
  reason: z.string()
}).readonly()

const allowanceSchema = z.object({
  instanceId: z.string(),
  startId: z.string(),
  /** Id of the write that granted or last renewed it. */
  grantId: z.string(),
  /** Version of the row written by the last change of this allowance. */
  fence: z.int(),
  slots: z.int()
}).readonly()

/** Past ejections of a target that is in service again, so that a repeated ejection lasts longer. */
const memorySchema = z.object({ targetId: z.string(), times: z.int(), endedAtMs: z.number() }).readonly()

/** Schema of a row's value. */
export const ejectionRowSchema = z.object({
  entries: z.array(entrySchema).readonly(),
  allowances: z.array(allowanceSchema).readonly(),
  memory: z.array(memorySchema).readonly()
}).readonly()

/** Ejection entries, allowances and recent ejections of one service. */
export type EjectionRow = z.infer<typeof ejectionRowSchema>
/** One target that is ejected, in trial or recently released. */
export type EjectionEntry = z.infer<typeof entrySchema>
/** Slots, reserved in advance, that one process may eject while the table is unreachable. */
export type Allowance = z.infer<typeof allowanceSchema>

/** Row of a service without ejections or allowances. */
export const EMPTY_ROW: EjectionRow = { entries: [], allowances: [], memory: [] }

/** Key of one revision of an entry: it changes whenever the entry changes. */
export const entryKey = (entry: EjectionEntry): string => `entry/${entry.targetId}/${entry.fence}`

/** Key of one revision of an allowance: it changes with each renewal and each change of its slots. */
export const allowanceKey = (allowance: Allowance): string => `allowance/${allowance.grantId}/${allowance.fence}`

/** Converts a row to the value stored in the table. */
export const toJson = (row: EjectionRow): JsonValue => row as unknown as JsonValue
