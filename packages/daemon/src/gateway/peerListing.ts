import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ListedTarget, SkippedRow, TargetListing } from '@lovagehoist/common'

/** A target listing as one daemon sends it to another. */
export interface PeerListing {
  readonly listing: TargetListing
  readonly ageMs: number
}

type FieldCheck = (value: unknown) => boolean

const MAX_PORT = 65_535

const isString: FieldCheck = value => typeof value === 'string'
const isBoolean: FieldCheck = value => typeof value === 'boolean'
const isCount: FieldCheck = value => typeof value === 'number' && Number.isFinite(value) && value >= 0
const isPort: FieldCheck = value => Number.isInteger(value) && (value as number) >= 1 && (value as number) <= MAX_PORT

const TARGET_FIELDS: Readonly<Record<keyof ListedTarget, FieldCheck>> = {
  id: isString,
  service: isString,
  host: isString,
  port: isPort,
  slots: isCount,
  startedAtMs: isCount,
  region: isString,
  availabilityZone: isString,
  isLeaving: isBoolean,
  coldForMs: isCount
}
const SKIPPED_FIELDS: Readonly<Record<keyof SkippedRow, FieldCheck>> = { key: isString, reason: isString }
const UNKNOWN_KEY = '(unknown)'

const findInvalidField = (value: unknown, fields: Readonly<Record<string, FieldCheck>>): string | undefined => {
  if (typeof value !== 'object' || value === null) return '(entry)'
  return Object.entries(fields).find(([name, isValid]) => !isValid((value as Readonly<Record<string, unknown>>)[name]))?.[0]
}

const keyOf = (value: unknown): string => {
  const id = typeof value === 'object' && value !== null ? (value as { readonly id?: unknown }).id : undefined
  return typeof id === 'string' ? id : UNKNOWN_KEY
}

/** Skips invalid targets one by one, unless none is valid: then the other build lacks what this one needs. */
const decodeTargets = (values: readonly unknown[]): Result<Pick<TargetListing, 'targets' | 'skipped'>, string> => {
  const targets: ListedTarget[] = []
  const skipped: SkippedRow[] = []
  for (const value of values) {
    const invalid = findInvalidField(value, TARGET_FIELDS)
    if (invalid === undefined) targets.push(value as ListedTarget)
    else skipped.push({ key: keyOf(value), reason: `invalid ${invalid} in the listing of a peer` })
  }
  if (targets.length === 0 && skipped.length > 0) return err(`expected targets with the fields ${Object.keys(TARGET_FIELDS).join(', ')}`)
  return ok({ targets, skipped })
}

/**
 * Decodes a listing from another daemon, which may run another build; fields that this build does not know are ignored, invalid targets skipped.
 *
 * @param text - Document that the daemon sent.
 * @returns The listing, or what is wrong with it.
 */
export const decodePeerListing = (text: string): Result<PeerListing, string> => {
  try {
    const { listing, ageMs } = JSON.parse(text) as { readonly listing?: Readonly<Partial<Record<keyof TargetListing, unknown>>>, readonly ageMs?: unknown }
    if (typeof ageMs !== 'number' || typeof listing?.storeVersion !== 'number') return err('expected a listing with its store version and its age')
    if (!Array.isArray(listing.targets)) return err('expected an array of targets')
    const { storeVersion, skipped } = listing
    if (!Array.isArray(skipped) || skipped.some(row => findInvalidField(row, SKIPPED_FIELDS) !== undefined)) return err('expected skipped rows with key and reason')
    return decodeTargets(listing.targets).map(decoded => ({ listing: { storeVersion, targets: decoded.targets, skipped: [...skipped as readonly SkippedRow[], ...decoded.skipped] }, ageMs }))
  } catch (error) {
    return err(String(error))
  }
}
