import type { PerTarget, FleetTargetStats, InstanceRecord, LimitReport, LimitView, TargetCounters, ZoneLimits } from '@lovagehoist/common'
import { decodeLimitReport, decodeLimitView, decodeZoneLimits, encodeLimitReport, encodeLimitView, encodeZoneLimits } from './limitMessages.js'
import { decodeNews, encodeNews } from './newsMessages.js'
import type { News } from './newsMessages.js'
import { decodeRows } from './rows.js'
import type { Row } from './rows.js'
import { splitParams } from './splitParams.js'
import type { FullPart } from './splitParams.js'

/** Versions of the configuration and of the target listing that a daemon holds. */
export interface HeldVersions {
  /** Version of the active configuration; 0 if there is none. */
  readonly configVersion: number
  /** Digest of the newest target listing; empty if there is none. */
  readonly listingDigest: string
  /** Store version of that listing; -1 if there is none. */
  readonly listingVersion: number
  /** Time since the store was last confirmed to hold that listing. */
  readonly listingAgeMs: number
  /** Time since the store was last confirmed to hold no newer configuration. */
  readonly configAgeMs: number
}

/** Ages of what a daemon has read from the store by itself. */
export type ReadAges = Pick<HeldVersions, 'listingAgeMs' | 'configAgeMs'>

/** Stands for an age that is not known. */
export const UNKNOWN_AGE_MS = 1_000_000_000

/** Sent by a daemon to the relays of its zone: its own counters by target. */
export interface Report {
  readonly type: 'report'
  readonly from: InstanceRecord
  /** Whether the report contains all counters, or only those that changed. */
  readonly isFull: boolean
  /** Set if the report is a part of a full one. */
  readonly fullPart?: FullPart
  readonly isLeaving: boolean
  /** Time since the process started. */
  readonly uptimeMs: number
  readonly counters: PerTarget<TargetCounters>
  readonly news: News
  readonly limits: LimitReport
  /** Versions that the daemon holds, with the ages of the latest reads that it knows of; absent in messages of earlier builds. */
  readonly heldVersions?: HeldVersions
  /** Ages of its own reads; absent in messages of earlier builds. */
  readonly ownReads?: ReadAges
}

/** Sent by the first relay of a zone to the relays of other zones: the zone's totals by target. */
export interface ZoneTotals {
  readonly type: 'zone'
  readonly from: InstanceRecord
  readonly isFull: boolean
  /** Set if the totals are a part of full ones. */
  readonly fullPart?: FullPart
  readonly counters: PerTarget<TargetCounters>
  readonly news: News
  readonly limits: ZoneLimits
  /** Versions that the relay holds; absent in messages of earlier builds. */
  readonly heldVersions?: HeldVersions
}

/** Sent by a relay to the daemons that report to it: stats aggregated over the fleet. */
export interface RelayView {
  readonly type: 'view'
  readonly from: InstanceRecord
  readonly heldVersions: HeldVersions
  /** Stats that changed since the last view. */
  readonly stats: PerTarget<FleetTargetStats>
  readonly news: News
  readonly limits: LimitView
  /** Daemons heard from recently; empty in views that leave them out. */
  readonly members: readonly InstanceRecord[]
}

/** Any message of the relay protocol. */
export type RelayMessage = Report | ZoneTotals | RelayView

const PERCENT = 100

/** Length up to which a message fits into one packet; a longer datagram is lost with any of its packets. */
const MAX_MESSAGE_BYTES = 1_200

const INSTANCE_ELEMENTS = 5

const encodeInstance = ({ instanceId, startId, host, availabilityZone, relayFitness }: InstanceRecord): readonly unknown[] =>
  [instanceId, startId, host, availabilityZone, relayFitness]

const decodeInstance = (value: unknown): InstanceRecord => {
  // Newer builds may add elements.
  if (!Array.isArray(value) || value.length < INSTANCE_ELEMENTS) throw new TypeError(`an instance must be an array of at least ${INSTANCE_ELEMENTS} elements`)
  const strings = value.slice(0, 4) as readonly unknown[]
  const relayFitness: unknown = value[4]
  if (!strings.every(part => typeof part === 'string') || typeof relayFitness !== 'number') throw new TypeError('an instance must consist of 4 strings and a number')
  const [instanceId = '', startId = '', host = '', availabilityZone = ''] = strings as readonly string[]
  return { instanceId, startId, host, availabilityZone, relayFitness }
}

const encodeCounters = ([id, targetCounters]: PerTarget<TargetCounters>[number]): Row =>
  [id, targetCounters.inProgress, targetCounters.succeeded, targetCounters.failed, targetCounters.failedEarly, targetCounters.refused, targetCounters.latencySquares, targetCounters.failedLate]

const decodeCounters = ([id, inProgress = 0, succeeded = 0, failed = 0, failedEarly = 0, refused = 0, latencySquares = 0, failedLate = 0]: Row): PerTarget<TargetCounters>[number] =>
  [id, { inProgress, succeeded, failed, failedLate, failedEarly, refused, latencySquares }]

const encodeStats = ([id, targetStats]: PerTarget<FleetTargetStats>[number]): Row =>
  [id, targetStats.inProgress, Math.round(targetStats.failingChance * PERCENT), Math.round(targetStats.refusalShare * PERCENT), Math.round(targetStats.latencyMs), Math.round(targetStats.idleMs)]

const decodeStats = ([id, inProgress = 0, failing = 0, refusal = 0, latencyMs = 0, idleMs = 0]: Row): PerTarget<FleetTargetStats>[number] =>
  [id, { inProgress, failingChance: failing / PERCENT, refusalShare: refusal / PERCENT, latencyMs, idleMs }]

const decodeHeldVersions = (value: unknown): HeldVersions => {
  const [configVersion, listingDigest, listingVersion, listingAgeMs, configAgeMs] = Array.isArray(value) ? value as readonly unknown[] : []
  if (typeof configVersion !== 'number' || typeof listingDigest !== 'string' || typeof listingVersion !== 'number' || typeof listingAgeMs !== 'number') {
    throw new TypeError('facts must be a number, a string and two numbers')
  }
  // Earlier builds do not tell the age of their configuration.
  return { configVersion, listingDigest, listingVersion, listingAgeMs, configAgeMs: typeof configAgeMs === 'number' ? configAgeMs : UNKNOWN_AGE_MS }
}

const encodeHeldVersions = ({ configVersion, listingDigest, listingVersion, listingAgeMs, configAgeMs }: HeldVersions): readonly unknown[] =>
  [configVersion, listingDigest, listingVersion, Math.round(listingAgeMs), Math.round(configAgeMs)]

const encodeOptionalVersions = (versions: HeldVersions | undefined): { readonly facts?: readonly unknown[] } => versions === undefined ? {} : { facts: encodeHeldVersions(versions) }

const decodeOptionalVersions = (facts: unknown): { readonly heldVersions?: HeldVersions } => facts === undefined ? {} : { heldVersions: decodeHeldVersions(facts) }

const encodeReads = (reads: ReadAges | undefined): { readonly reads?: readonly unknown[] } => reads === undefined ? {} : { reads: [Math.round(reads.listingAgeMs), Math.round(reads.configAgeMs)] }

const decodeReads = (value: unknown): { readonly ownReads?: ReadAges } => {
  const [listingAgeMs, configAgeMs] = Array.isArray(value) ? value as readonly unknown[] : []
  const isAge = (age: unknown): age is number => typeof age === 'number' && age >= 0
  return isAge(listingAgeMs) && isAge(configAgeMs) ? { ownReads: { listingAgeMs, configAgeMs } } : {}
}

const decodeFullPart = (value: unknown): { readonly fullPart?: FullPart } => {
  const [index, count, wholeId] = Array.isArray(value) ? value as readonly unknown[] : []
  return typeof index === 'number' && typeof count === 'number' && typeof wholeId === 'number' ? { fullPart: { index, count, wholeId } } : {}
}

/** Parameters of a message before they are validated. */
interface Params {
  readonly from?: unknown
  readonly full?: unknown
  readonly part?: unknown
  readonly leaving?: unknown
  readonly uptime?: unknown
  readonly rows?: unknown
  readonly facts?: unknown
  readonly reads?: unknown
  readonly members?: unknown
  readonly news?: unknown
  readonly limits?: unknown
}

const encoders: { readonly [Type in RelayMessage['type']]: (message: Extract<RelayMessage, { readonly type: Type }>) => Params } = {
  report: ({ from, isFull, isLeaving, uptimeMs, counters, news, limits, heldVersions, ownReads }) => ({ ...encodeNews(news), ...encodeOptionalVersions(heldVersions), ...encodeReads(ownReads), ...encodeLimitReport(limits), from: encodeInstance(from), full: isFull, leaving: isLeaving, uptime: Math.round(uptimeMs), rows: counters.map(encodeCounters) }),
  zone: ({ from, isFull, counters, news, limits, heldVersions }) => ({ ...encodeNews(news), ...encodeOptionalVersions(heldVersions), ...encodeZoneLimits(limits), from: encodeInstance(from), full: isFull, rows: counters.map(encodeCounters) }),
  view: ({ from, heldVersions, stats, members, news, limits }) => ({
    ...encodeNews(news),
    ...encodeLimitView(limits),
    from: encodeInstance(from),
    facts: encodeHeldVersions(heldVersions),
    rows: stats.map(encodeStats),
    ...(members.length === 0 ? {} : { members: members.map(encodeInstance) })
  })
}

const decoders: Readonly<Record<RelayMessage['type'], (params: Params) => RelayMessage>> = {
  report: ({ from, full, part, leaving, uptime, rows, news, limits, facts, reads }) => ({ type: 'report', ...decodeOptionalVersions(facts), ...decodeReads(reads), from: decodeInstance(from), isFull: full === true, ...decodeFullPart(part), isLeaving: leaving === true, uptimeMs: typeof uptime === 'number' ? uptime : Infinity, counters: decodeRows(rows).map(decodeCounters), news: decodeNews(news), limits: decodeLimitReport(limits) }),
  zone: ({ from, full, part, rows, news, limits, facts }) => ({ type: 'zone', ...decodeOptionalVersions(facts), from: decodeInstance(from), isFull: full === true, ...decodeFullPart(part), counters: decodeRows(rows).map(decodeCounters), news: decodeNews(news), limits: decodeZoneLimits(limits) }),
  view: ({ from, facts, rows, members, news, limits }) => ({
    type: 'view',
    from: decodeInstance(from),
    heldVersions: decodeHeldVersions(facts),
    stats: decodeRows(rows).map(decodeStats),
    members: Array.isArray(members) ? members.map(decodeInstance) : [],
    news: decodeNews(news),
    limits: decodeLimitView(limits)
  })
}

const encodeParams = (method: RelayMessage['type'], params: Params): Buffer => Buffer.from(JSON.stringify({ jsonrpc: '2.0', method, params }))

/** Marks the parts of a full message; the last one also says `full`, which is all that earlier versions read. */
const markFullParts = (parts: readonly Params[], wholeId: number): readonly Params[] =>
  parts.map((part, index) => ({ ...part, full: index === parts.length - 1, part: [index, parts.length, wholeId] }))

/**
 * Encodes a message as one or more JSON-RPC 2.0 notifications, each of which fits into one packet and can be applied without the others.
 *
 * @param message - Message to encode.
 * @param wholeId - Number that tells the parts of one full message from those of others of the same sender.
 * @returns Payload of each datagram.
 */
export const encodeMessage = (message: RelayMessage, wholeId = 0): readonly Buffer[] => {
  const encode = encoders[message.type] as (message: RelayMessage) => Params
  const params = encode(message)
  const parts = splitParams({ ...params }, MAX_MESSAGE_BYTES)
  const isMarked = parts.length > 1 && params.full === true
  return (isMarked ? markFullParts(parts, wholeId) : parts).map(part => encodeParams(message.type, part))
}

/**
 * Decodes and validates a message.
 *
 * @param bytes - Payload of one datagram.
 * @returns The message; undefined if it is malformed or its type is unknown.
 */
export const decodeMessage = (bytes: Uint8Array): RelayMessage | undefined => {
  try {
    const { method, params } = JSON.parse(Buffer.from(bytes).toString('utf8')) as { readonly method?: string, readonly params?: Params }
    const decode = Object.hasOwn(decoders, method ?? '') ? decoders[method as RelayMessage['type']] : undefined
    return decode === undefined || typeof params !== 'object' || params === null ? undefined : decode(params)
  } catch {
    // The caller counts undecodable datagrams.
    return undefined
  }
}
