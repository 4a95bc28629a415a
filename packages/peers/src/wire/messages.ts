import type { JsonValue, GossipTopic } from '@lovagehoist/common'
import { z } from 'zod'

/** Messages of another major version are refused; fields that a later minor version adds are ignored. */
export const WIRE_VERSION = 1

/** Longest message in bytes. */
export const MAX_MESSAGE_BYTES = 65_536

/** Classes in order of importance; their position is their number in messages. */
export const SPREAD_CLASSES: readonly GossipTopic[] = ['config', 'membership', 'ejection', 'leaving', 'poison', 'evidence', 'load']

const MAX_ENTRIES = 2_000
const MAX_REFS = 4_000
const MAX_DEPTH = 8
const MAX_LIFETIME_MS = 86_400_000

const isJson = (value: unknown, depth = 0): value is JsonValue => {
  if (value === null || typeof value === 'string' || typeof value === 'boolean') return true
  if (typeof value === 'number') return Number.isFinite(value)
  if (typeof value !== 'object' || depth > MAX_DEPTH) return false
  if (Array.isArray(value)) return value.every(item => isJson(item, depth + 1))
  return Object.getPrototypeOf(value) === Object.prototype && Object.values(value).every(item => isJson(item, depth + 1))
}

const json = z.custom<JsonValue>(value => isJson(value))
const name = z.string().max(64)
const ref = z.int().min(0)
const classNumber = z.int().min(0).max(SPREAD_CLASSES.length - 1)
const ageMs = z.int().min(0).max(MAX_LIFETIME_MS)
const lifetimeMs = z.int().min(1).max(MAX_LIFETIME_MS)

/** An entry in a message: origin, class, key, sequence, age, lifetime, value. */
const entry = z.tuple([ref, classNumber, z.string().max(300), z.int().min(1), ageMs, lifetimeMs, json]).rest(z.unknown())
const entries = z.array(entry).max(MAX_ENTRIES)

const head = {
  version: z.literal(WIRE_VERSION),
  environment: name,
  /** Instance id and start id of the sender. */
  from: z.tuple([name, name]).rest(z.unknown()),
  /** Instance id and start id of the receiver; the start id is empty at first contact. */
  to: z.tuple([name, name]).rest(z.unknown()),
  /** Free share of the sender's byte budget in percent. */
  room: z.int().min(0).max(100)
}

const heartbeat = z.object({ ...head, heard: z.array(ref).max(MAX_REFS), entries })
const digest = z.object({ ...head, hashes: z.array(ref).max(2 * MAX_REFS) })
const ask = z.object({ ...head, about: name })
const call = z.object({ ...head, method: z.string().max(100), params: json })

/** Shape of each method's parameters. */
export const requestSchemas = { heartbeat, digest, ask, call } as const

/** Shape of each method's answer. */
export const answerSchemas = {
  heartbeat: z.object({ ...head, heard: z.array(ref).max(MAX_REFS), entries, isKnown: z.boolean() }),
  digest: z.object({ ...head, entries, wanted: z.array(ref).max(MAX_REFS) }),
  ask: z.object({ ...head, isReached: z.boolean() }),
  call: z.object({ ...head, value: json })
} as const

/** Methods between daemons. */
export type MethodName = keyof typeof requestSchemas
/** Parameters of a method. */
export type RequestOf<M extends MethodName> = z.infer<typeof requestSchemas[M]>
/** Answer of a method. */
export type AnswerOf<M extends MethodName> = z.infer<typeof answerSchemas[M]>
/** Fields that every message has. */
export type MessageHead = Omit<RequestOf<'ask'>, 'about'>
/** An entry in a message. */
export type WireEntry = z.infer<typeof entry>

/** Value of a daemon's own entry: instance id, start id, epoch, region, availability zone, host, port. */
export const selfSchema = z.tuple([name, name, z.int().min(0), name, name, name, z.int().min(0).max(65_535)]).rest(z.unknown())
/** Value of a daemon's description: version, start of the digest, readiness and leaving as 0 or 1. */
export const descriptionSchema = z.tuple([z.int().min(0), name, z.int(), z.int()]).rest(z.unknown())
/** Value of a suspicion: the suspected process and its epoch. */
export const suspicionSchema = z.tuple([ref, z.int().min(0)]).rest(z.unknown())

/** Why a message was refused. */
export type RefusalReason = 'malformed' | 'oversized' | 'version' | 'foreign' | 'incarnation' | 'replayed'

/** JSON-RPC error codes of refusals. */
export const REFUSAL_CODES: Readonly<Record<RefusalReason, number>> = {
  malformed: -32602, oversized: -32001, version: -32002, foreign: -32003, incarnation: -32004, replayed: -32005
}
