import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { LocatedError } from '../text/locatedError.js'
import { readJsonc } from '../text/readJsonc.js'
import { documentRules } from './rules.js'
import type { DocumentRule } from './rules.js'
import { documentSchema } from './schema.js'
import type { EnvironmentDocument } from './schema.js'

/**
 * Reads and checks a document.
 *
 * @param file - Name used in faults.
 * @param text - JSON with comments.
 * @param extraRules - Checks besides those that need nothing but the document.
 * @returns The document with defaults filled in, or every fault.
 */
export const loadDocument = (
  file: string, text: string, extraRules: readonly DocumentRule[] = []
): Result<EnvironmentDocument, readonly LocatedError[]> =>
  readJsonc(file, text, documentSchema).andThen(located => {
    const errors = [...documentRules, ...extraRules].flatMap(rule => rule(located))
    return errors.length > 0 ? err(errors) : ok(located.value)
  })
