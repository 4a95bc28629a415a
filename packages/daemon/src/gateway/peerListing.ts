import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ListedTarget, SkippedRow, TargetListing } from '@lovagehoist/common'

/** A target listing as one daemon sends it to another. */
export interface PeerListing {
  readonly listing: TargetListing
  readonly ageMs: number
}

type FieldType = 'string' | 'number' | 'boolean'

const isOfType: Readonly<Record<FieldType, (value: unknown) => boolean>> = {
  string: value => typeof value === 'string',
  number: value => typeof value === 'number',
  boolean: value => typeof value === 'boolean'
}

const TARGET_FIELDS: Readonly<Record<keyof ListedTarget, FieldType>> = {
  id: 'string',
  service: 'string',
  host: 'string',
  port: 'number',
  slots: 'number',
  startedAtMs: 'number',
  region: 'string',
  availabilityZone: 'string',
  isLeaving: 'boolean',
  coldForMs: 'number'
}
const SKIPPED_FIELDS: Readonly<Record<keyof SkippedRow, FieldType>> = { key: 'string', reason: 'string' }

const hasFields = (value: unknown, fields: Readonly<Record<string, FieldType>>): boolean =>
  typeof value === 'object' && value !== null && Object.entries(fields).every(([name, type]) => isOfType[type]((value as Readonly<Record<string, unknown>>)[name]))

const isListOf = (value: unknown, fields: Readonly<Record<string, FieldType>>): boolean => Array.isArray(value) && value.every(entry => hasFields(entry, fields))

/**
 * Decodes a listing from another daemon, which may run another build; fields that this build does not know are ignored.
 *
 * @param text - Document that the daemon sent.
 * @returns The listing, or what is wrong with it.
 */
export const decodePeerListing = (text: string): Result<PeerListing, string> => {
  try {
    const { listing, ageMs } = JSON.parse(text) as { readonly listing?: Readonly<Partial<Record<keyof TargetListing, unknown>>>, readonly ageMs?: unknown }
    if (typeof ageMs !== 'number' || typeof listing?.storeVersion !== 'number') return err('expected a listing with its store version and its age')
    if (!isListOf(listing.targets, TARGET_FIELDS)) return err(`expected targets with the fields ${Object.keys(TARGET_FIELDS).join(', ')}`)
    if (!isListOf(listing.skipped, SKIPPED_FIELDS)) return err('expected skipped rows with key and reason')
    return ok({ listing: listing as unknown as TargetListing, ageMs })
  } catch (error) {
    return err(String(error))
  }
}
