import type { JsonValue, StateSource } from '@lovagehoist/common'

/** Longest JSON text of one section, in bytes. */
const MAX_SECTION_BYTES = 262_144

const dumpSection = (source: StateSource): JsonValue => {
  try {
    const value = source.dump()
    const lengthBytes = Buffer.byteLength(JSON.stringify(value))
    return lengthBytes <= MAX_SECTION_BYTES ? value : { isOmitted: true, lengthBytes, maxBytes: MAX_SECTION_BYTES }
  } catch (error) {
    return { isOmitted: true, error: String(error) }
  }
}

/**
 * Dumps the state of a daemon; the length of each section is limited separately.
 *
 * @param sources - Sources of the sections.
 * @returns Sections by name; one that is too long or fails is replaced by an object with `isOmitted` and the reason.
 */
export const dumpState = (sources: readonly StateSource[]): JsonValue =>
  Object.fromEntries(sources.map(source => [source.name, dumpSection(source)]))
