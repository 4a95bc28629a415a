import type { LimitReport, LimitView, ObservedLimit, PerTarget, PermitGrants, ServiceDemand, ZoneLimits } from '@lovagehoist/common'
import { decodeRows } from './rows.js'
import type { Row } from './rows.js'

/** Stands for a limit that was lifted. */
const LIFTED = -1
const RATE_DIGITS = 2
/** Most permits of one target that a daemon gets at once. */
const MAX_PERMITS = 1_000

/** Limits and permits of a message before they are validated; absent fields are empty. */
interface Params {
  readonly rows?: unknown
  readonly demand?: unknown
  readonly settled?: unknown
  readonly permits?: unknown
}

const encodeLimit = ([id, { perSecond, sentAgeMs, namedAgeMs }]: PerTarget<ObservedLimit>[number]): Row =>
  [id, perSecond ?? LIFTED, Math.round(sentAgeMs), Math.round(namedAgeMs)]

const decodeLimits = (value: unknown): PerTarget<ObservedLimit> => decodeRows(value ?? []).map(([id, perSecond = LIFTED, sentAgeMs = 0, namedAgeMs = 0]) =>
  [id, { perSecond: perSecond < 0 ? undefined : perSecond, sentAgeMs, namedAgeMs }])

const decodeDemand = (value: unknown): ServiceDemand =>
  decodeRows(value ?? []).map(([service, perSecond = 0]) => [service, Math.max(0, perSecond)])

const decodePermits = (value: unknown): PermitGrants => {
  if (!Array.isArray(value)) throw new TypeError('permits must be an array')
  return (value as readonly unknown[]).map(row => {
    const [startId, targetId, count] = Array.isArray(row) ? row as readonly unknown[] : []
    if (typeof startId !== 'string' || typeof targetId !== 'string' || !Number.isInteger(count) || (count as number) < 0 || (count as number) > MAX_PERMITS) throw new TypeError('a permit must be two strings and a count')
    return [startId, targetId, count as number]
  })
}

const paramsOf = (value: unknown): Params => typeof value === 'object' && value !== null ? value : {}

const omitEmpty = (params: Readonly<Record<string, readonly unknown[]>>): { readonly limits?: Readonly<Record<string, readonly unknown[]>> } => {
  const fields = Object.entries(params).filter(([, rows]) => rows.length > 0)
  return fields.length === 0 ? {} : { limits: Object.fromEntries(fields) }
}

const roundRate = ([service, perSecond]: readonly [string, number]): Row => [service, Number(perSecond.toFixed(RATE_DIGITS))]

/** Encodes the limits in a report; empty without any. */
export const encodeLimitReport = ({ limits, demand, settled }: LimitReport): ReturnType<typeof omitEmpty> =>
  omitEmpty({ rows: limits.map(encodeLimit), demand: demand.map(roundRate), settled: settled.map(([id, { used, unused }]) => [id, used, unused]) })

/** Encodes the limits in zone totals; empty without any. */
export const encodeZoneLimits = ({ limits, demand }: ZoneLimits): ReturnType<typeof omitEmpty> =>
  omitEmpty({ rows: limits.map(encodeLimit), demand: demand.map(roundRate) })

/** Encodes the limits and permits in a view; empty without any. */
export const encodeLimitView = ({ limits, permits }: LimitView): ReturnType<typeof omitEmpty> =>
  omitEmpty({ rows: limits.map(encodeLimit), permits })

/**
 * Decodes the limits in a report.
 *
 * @param value - Parsed JSON; undefined if the report has none.
 * @returns The limits.
 * @throws TypeError when the value is malformed.
 */
export const decodeLimitReport = (value: unknown): LimitReport => {
  const { rows, demand, settled } = paramsOf(value)
  return { limits: decodeLimits(rows), demand: decodeDemand(demand), settled: decodeRows(settled ?? []).map(([id, used = 0, unused = 0]) => [id, { used, unused }]) }
}

/** As `decodeLimitReport`, for zone totals. */
export const decodeZoneLimits = (value: unknown): ZoneLimits => {
  const { rows, demand } = paramsOf(value)
  return { limits: decodeLimits(rows), demand: decodeDemand(demand) }
}

/** As `decodeLimitReport`, for a view. */
export const decodeLimitView = (value: unknown): LimitView => {
  const { rows, permits } = paramsOf(value)
  return { limits: decodeLimits(rows), permits: decodePermits(permits ?? []) }
}
