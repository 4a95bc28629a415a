import type { JsonValue } from '@lovagehoist/common'
import { z } from 'zod'

/** Table that keeps one row of ejections for each service. */
export const EJECTIONS_TABLE = 'ejections'

const entrySchema = z.object({
  targetId: z.string(),
  /** `ejected` gets no work, `trial` a small share, `released` full work while older copies of the row lapse. */
  stage: z.enum(['ejected', 'trial', 'released']),
  /** Row version at which the entry was last changed. */
  fence: z.int(),
  /** Row version at which the target was ejected. */
  sinceFence: z.int(),
  /** Wall-clock time of the last change of stage, in milliseconds since the Unix epoch. */
  changedAtMs: z.number(),
  /** Time to hold the target out before a trial. */
  holdMs: z.number(),
  /** Ejections in a row, this one included. */
  times: z.int(),
  /** Excess of bad outcomes over the rest of the pool, 0 to 1. */
  severity: z.number(),
  reason: z.string()
}).readonly()

const allowanceSchema = z.object({
  instanceId: z.string(),
  startId: z.string(),
  /** Operation that granted or renewed it. */
  grantId: z.string(),
  fence: z.int(),
  slots: z.int()
}).readonly()

const memorySchema = z.object({ targetId: z.string(), times: z.int(), endedAtMs: z.number() }).readonly()

/** Schema of the row's value. */
export const ejectionRowSchema = z.object({
  entries: z.array(entrySchema).readonly(),
  allowances: z.array(allowanceSchema).readonly(),
  memory: z.array(memorySchema).readonly()
}).readonly()

/** Ejections, allowances and memory of one service. */
export type EjectionRow = z.infer<typeof ejectionRowSchema>
/** One target that is out, in trial, or on its way back. */
export type EjectionEntry = z.infer<typeof entrySchema>
/** Slots that a named process may eject while the table can't be reached. */
export type Allowance = z.infer<typeof allowanceSchema>

/** Row of a service without ejections. */
export const EMPTY_ROW: EjectionRow = { entries: [], allowances: [], memory: [] }

/** Names one state of an entry: a changed entry has another key. */
export const entryKey = (entry: EjectionEntry): string => `entry/${entry.targetId}/${entry.fence}`

/** Names one grant: a renewed allowance has another key. */
export const allowanceKey = (allowance: Allowance): string => `allowance/${allowance.grantId}/${allowance.fence}`

/** The row as the table keeps it. */
export const toJson = (row: EjectionRow): JsonValue => row as unknown as JsonValue
