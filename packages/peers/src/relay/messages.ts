import type { PerTarget, CrashCounts, FleetTargetStats, InstanceRecord, TargetCounters } from '@lovagehoist/common'

/** What a daemon holds of the configuration and the list of targets. */
export interface HeldFacts {
  /** Version of the configuration in force; 0 while there is none. */
  readonly configVersion: number
  /** Digest of the newest listing of targets; empty while there is none. */
  readonly listingDigest: string
  /** Version of the store in that listing; -1 while there is none. */
  readonly listingVersion: number
  /** Time since the store was known to hold that listing. */
  readonly listingAgeMs: number
}

/** A daemon tells a relay of its zone what it does at targets. */
export interface Report {
  readonly type: 'report'
  readonly from: InstanceRecord
  /** Whether all tallies are in it, or only those that changed. */
  readonly isFull: boolean
  readonly isLeaving: boolean
  /** Age of the process. */
  readonly uptimeMs: number
  readonly tallies: PerTarget<TargetCounters>
  /** Requests that broke connections of targets, by fingerprint. */
  readonly crashes: CrashCounts
}

/** The relay of a zone tells the relays of other zones the sums of its zone. */
export interface ZoneSums {
  readonly type: 'zone'
  readonly from: InstanceRecord
  readonly isFull: boolean
  readonly tallies: PerTarget<TargetCounters>
  readonly crashes: CrashCounts
}

/** A relay tells those that report to it what the fleet knows. */
export interface FleetView {
  readonly type: 'view'
  readonly from: InstanceRecord
  readonly facts: HeldFacts
  /** Readings that changed. */
  readonly readings: PerTarget<FleetTargetStats>
  readonly crashes: CrashCounts
  /** Daemons heard lately; empty when they are left out. */
  readonly members: readonly InstanceRecord[]
}

/** A message between daemons. */
export type RelayMessage = Report | ZoneSums | FleetView

type Row = readonly [string, ...number[]]

const PERCENT = 100

const packInstance = ({ instanceId, startId, host, availabilityZone, relayFitness }: InstanceRecord): readonly unknown[] =>
  [instanceId, startId, host, availabilityZone, relayFitness]

const unpackInstance = (value: unknown): InstanceRecord => {
  if (!Array.isArray(value) || value.length !== 5) throw new TypeError('an instance has five parts')
  const texts = value.slice(0, 4) as readonly unknown[]
  const relayFitness: unknown = value[4]
  if (!texts.every(part => typeof part === 'string') || typeof relayFitness !== 'number') throw new TypeError('an instance is four texts and a number')
  const [instanceId = '', startId = '', host = '', availabilityZone = ''] = texts as readonly string[]
  return { instanceId, startId, host, availabilityZone, relayFitness }
}

const packTally = ([id, tally]: PerTarget<TargetCounters>[number]): Row =>
  [id, tally.inProgress, tally.succeeded, tally.failed, tally.failedEarly, tally.refused, tally.latencySquares]

const unpackTally = ([id, inProgress = 0, succeeded = 0, failed = 0, failedEarly = 0, refused = 0, latencySquares = 0]: Row): PerTarget<TargetCounters>[number] =>
  [id, { inProgress, succeeded, failed, failedEarly, refused, latencySquares }]

const packReading = ([id, reading]: PerTarget<FleetTargetStats>[number]): Row =>
  [id, reading.inProgress, Math.round(reading.failingChance * PERCENT), Math.round(reading.refusalShare * PERCENT), Math.round(reading.latencyMs)]

const unpackReading = ([id, inProgress = 0, failing = 0, refusal = 0, latencyMs = 0]: Row): PerTarget<FleetTargetStats>[number] =>
  [id, { inProgress, failingChance: failing / PERCENT, refusalShare: refusal / PERCENT, latencyMs }]

const unpackRows = (value: unknown): readonly Row[] => {
  if (!Array.isArray(value)) throw new TypeError('rows are a list')
  for (const row of value as readonly unknown[]) {
    const isRow = Array.isArray(row) && typeof row[0] === 'string' && row.slice(1).every(part => typeof part === 'number' && Number.isFinite(part))
    if (!isRow) throw new TypeError('a row is a text and numbers')
  }
  return value as readonly Row[]
}

const packCrashes = (crashes: CrashCounts): Params => crashes.length === 0 ? {} : { crashes }

const unpackCrashes = (value: unknown): CrashCounts =>
  value === undefined ? [] : unpackRows(value).map(([fingerprint, count = 0]) => [fingerprint, count])

const unpackFacts = (value: unknown): HeldFacts => {
  const [configVersion, listingDigest, listingVersion, listingAgeMs] = Array.isArray(value) ? value as readonly unknown[] : []
  if (typeof configVersion !== 'number' || typeof listingDigest !== 'string' || typeof listingVersion !== 'number' || typeof listingAgeMs !== 'number') {
    throw new TypeError('facts are three numbers and a text')
  }
  return { configVersion, listingDigest, listingVersion, listingAgeMs }
}

interface Params {
  readonly from?: unknown
  readonly full?: unknown
  readonly leaving?: unknown
  readonly uptime?: unknown
  readonly rows?: unknown
  readonly facts?: unknown
  readonly members?: unknown
  readonly crashes?: unknown
}

const encoders: { readonly [Type in RelayMessage['type']]: (message: Extract<RelayMessage, { readonly type: Type }>) => Params } = {
  report: ({ from, isFull, isLeaving, uptimeMs, tallies, crashes }) => ({ ...packCrashes(crashes), from: packInstance(from), full: isFull, leaving: isLeaving, uptime: Math.round(uptimeMs), rows: tallies.map(packTally) }),
  zone: ({ from, isFull, tallies, crashes }) => ({ ...packCrashes(crashes), from: packInstance(from), full: isFull, rows: tallies.map(packTally) }),
  view: ({ from, facts, readings, members, crashes }) => ({
    ...packCrashes(crashes),
    from: packInstance(from),
    facts: [facts.configVersion, facts.listingDigest, facts.listingVersion, Math.round(facts.listingAgeMs)],
    rows: readings.map(packReading),
    ...(members.length === 0 ? {} : { members: members.map(packInstance) })
  })
}

const decoders: Readonly<Record<RelayMessage['type'], (params: Params) => RelayMessage>> = {
  report: ({ from, full, leaving, uptime, rows, crashes }) => ({ type: 'report', from: unpackInstance(from), isFull: full === true, isLeaving: leaving === true, uptimeMs: typeof uptime === 'number' ? uptime : Infinity, tallies: unpackRows(rows).map(unpackTally), crashes: unpackCrashes(crashes) }),
  zone: ({ from, full, rows, crashes }) => ({ type: 'zone', from: unpackInstance(from), isFull: full === true, tallies: unpackRows(rows).map(unpackTally), crashes: unpackCrashes(crashes) }),
  view: ({ from, facts, rows, members, crashes }) => ({
    type: 'view',
    from: unpackInstance(from),
    facts: unpackFacts(facts),
    readings: unpackRows(rows).map(unpackReading),
    members: Array.isArray(members) ? members.map(unpackInstance) : [],
    crashes: unpackCrashes(crashes)
  })
}

/**
 * Encodes a message as a JSON-RPC 2.0 notification.
 *
 * @param message - Message.
 * @returns Bytes of one datagram.
 */
export const encodeMessage = (message: RelayMessage): Buffer => {
  const encode = encoders[message.type] as (message: RelayMessage) => Params
  return Buffer.from(JSON.stringify({ jsonrpc: '2.0', method: message.type, params: encode(message) }))
}

/**
 * Decodes a message.
 *
 * @param bytes - Bytes of one datagram.
 * @returns The message; undefined when it is of no known form.
 */
export const decodeMessage = (bytes: Uint8Array): RelayMessage | undefined => {
  try {
    const { method, params } = JSON.parse(Buffer.from(bytes).toString('utf8')) as { readonly method?: string, readonly params?: Params }
    const decode = Object.hasOwn(decoders, method ?? '') ? decoders[method as RelayMessage['type']] : undefined
    return decode === undefined || typeof params !== 'object' || params === null ? undefined : decode(params)
  } catch {
    // The receiver counts what it can't read.
    return undefined
  }
}
