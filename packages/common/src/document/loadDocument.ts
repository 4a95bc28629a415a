import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { LocatedError } from '../text/locatedError.js'
import { readJsonc } from '../text/readJsonc.js'
import { documentRules } from './rules.js'
import type { DocumentRule } from './rules.js'
import { documentSchema } from './schema.js'
import type { EnvironmentDocument } from './schema.js'

/**
 * Parses and validates an environment document.
 *
 * @param file - File name for error messages.
 * @param text - JSON with comments.
 * @param extraRules - Checks to run in addition to `documentRules`.
 * @returns The document with defaults filled in, or all errors.
 */
export const loadDocument = (
  file: string, text: string, extraRules: readonly DocumentRule[] = []
): Result<EnvironmentDocument, readonly LocatedError[]> =>
  readJsonc(file, text, documentSchema).andThen(located => {
    const errors = [...documentRules, ...extraRules].flatMap(rule => rule(located))
    return errors.length > 0 ? err(errors) : ok(located.value)
  })
