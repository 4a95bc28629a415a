import type { NewsRow } from '@lovagehoist/common'
import type { AdmittedFraction } from './fractionAdmission.js'
import type { DaemonReport } from './daemonCounts.js'
import type { ZoneReport } from './zoneUsage.js'

/** Content of a row; rows do not depend on others, since a message may be split between any two of them. */
export type AllowanceRow =
  | { readonly type: 'report', readonly report: DaemonReport }
  | { readonly type: 'zone', readonly report: ZoneReport }
  | { readonly type: 'view', readonly startId: string, readonly fractions: readonly AdmittedFraction[] }

type Field = string | number

/** Accounts in one row; with the fields before them they stay within the 32 fields of a news row. */
const ACCOUNTS_PER_ROW = 7
const REPORT_FIELDS = 4
const ZONE_FIELDS = 4
const VIEW_FIELDS = 3
const THOUSANDTHS = 1_000

const inRows = <T>(items: readonly T[], encode: (items: readonly T[]) => NewsRow): readonly NewsRow[] =>
  Array.from({ length: Math.ceil(items.length / ACCOUNTS_PER_ROW) }, (_, index) => encode(items.slice(index * ACCOUNTS_PER_ROW, (index + 1) * ACCOUNTS_PER_ROW)))

const round = (value: number): number => Math.round(value * THOUSANDTHS) / THOUSANDTHS

/** Encodes the counts of a daemon. */
export const encodeReport = ({ startId, uptimeMs, counts }: DaemonReport): readonly NewsRow[] =>
  inRows(counts, some => ['report', startId, Math.round(uptimeMs), ...some.flatMap(({ account, ageMs, demanded, admitted }) => [account, Math.round(ageMs), demanded, admitted])])

/** Encodes the usage of a zone. */
export const encodeZone = ({ zone, startId, uptimeMs, usages }: ZoneReport): readonly NewsRow[] =>
  inRows(usages, some => ['zone', zone, startId, Math.round(uptimeMs), ...some.flatMap(({ account, demandPerSecond, admitted, level }) => [account, round(demandPerSecond), round(admitted), round(level)])])

/** Encodes the shares that the daemons of a zone admit. */
export const encodeView = (startId: string, fractions: readonly AdmittedFraction[]): readonly NewsRow[] =>
  inRows(fractions, some => ['view', startId, ...some.flatMap(({ account, fraction, retryDelayMs }) => [account, round(fraction), Math.round(retryDelayMs)])])

/** Splits fields into groups that begin with a string and continue with numbers; undefined if any of them is malformed. */
const decodeGroups = (fields: readonly Field[], size: number): ReadonlyArray<readonly [account: string, numbers: readonly number[]]> | undefined => {
  if (fields.length % size !== 0) return undefined
  const groups: Array<readonly [string, readonly number[]]> = []
  for (let index = 0; index < fields.length; index += size) {
    const [account, ...numbers] = fields.slice(index, index + size)
    if (typeof account !== 'string' || !numbers.every(value => typeof value === 'number' && Number.isFinite(value))) return undefined
    groups.push([account, numbers as readonly number[]])
  }
  return groups
}

const decodeReport = ([startId, uptimeMs, ...fields]: readonly Field[]): AllowanceRow | undefined => {
  const groups = decodeGroups(fields, REPORT_FIELDS)
  if (typeof startId !== 'string' || typeof uptimeMs !== 'number' || groups === undefined) return undefined
  const counts = groups.map(([account, [ageMs = 0, demanded = 0, admitted = 0]]) => ({ account, ageMs, demanded, admitted }))
  const isValid = counts.every(({ ageMs, demanded, admitted }) => ageMs >= 0 && demanded >= 0 && admitted <= demanded)
  return isValid ? { type: 'report', report: { startId, uptimeMs, counts } } : undefined
}

const decodeZone = ([zone, startId, uptimeMs, ...fields]: readonly Field[]): AllowanceRow | undefined => {
  const groups = decodeGroups(fields, ZONE_FIELDS)
  if (typeof zone !== 'string' || typeof startId !== 'string' || typeof uptimeMs !== 'number' || groups === undefined) return undefined
  const usages = groups.map(([account, [demandPerSecond = 0, admitted = 0, level = 0]]) => ({ account, demandPerSecond, admitted, level }))
  return usages.every(({ demandPerSecond }) => demandPerSecond >= 0) ? { type: 'zone', report: { zone, startId, uptimeMs, usages } } : undefined
}

const decodeView = ([startId, ...fields]: readonly Field[]): AllowanceRow | undefined => {
  const groups = decodeGroups(fields, VIEW_FIELDS)
  if (typeof startId !== 'string' || groups === undefined) return undefined
  const fractions = groups.map(([account, [fraction = 1, retryDelayMs = 0]]) => ({ account, fraction, retryDelayMs }))
  return fractions.every(({ fraction, retryDelayMs }) => fraction >= 0 && fraction <= 1 && retryDelayMs >= 0) ? { type: 'view', startId, fractions } : undefined
}

const DECODERS: Readonly<Record<AllowanceRow['type'], (fields: readonly Field[]) => AllowanceRow | undefined>> = { report: decodeReport, zone: decodeZone, view: decodeView }

/**
 * Decodes a row.
 *
 * @param row - Row of another daemon.
 * @returns Its content; undefined if it is malformed or of a kind that only newer daemons know.
 */
export const decodeRow = ([key, ...fields]: NewsRow): AllowanceRow | undefined =>
  Object.hasOwn(DECODERS, key) ? DECODERS[key as AllowanceRow['type']](fields) : undefined
