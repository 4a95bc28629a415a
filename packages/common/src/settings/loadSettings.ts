import type { Result } from 'neverthrow'
import type { LocatedError } from '../text/locatedError.js'
import { readJsonc } from '../text/readJsonc.js'
import { settingsSchema } from './schema.js'
import type { Settings } from './schema.js'

/**
 * Parses and validates a settings file.
 *
 * @param file - File name for error messages.
 * @param text - JSON with comments.
 * @returns The settings with defaults filled in, or all errors.
 */
export const loadSettings = (file: string, text: string): Result<Settings, readonly LocatedError[]> =>
  readJsonc(file, text, settingsSchema).map(located => located.value)
