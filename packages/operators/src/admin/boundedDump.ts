import type { JsonValue, StateSource } from '@lovagehoist/common'

/** Longest JSON text of one section. */
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
 * Dumps the state of a daemon, each section bounded by itself.
 *
 * @param sources - Sections.
 * @returns Sections by name; one that is too long or fails is replaced by a note.
 */
export const dumpState = (sources: readonly StateSource[]): JsonValue =>
  Object.fromEntries(sources.map(source => [source.name, dumpSection(source)]))
