import type { Result } from 'neverthrow'
import type { LocatedError } from '../text/locatedError.js'
import { readJsonc } from '../text/readJsonc.js'
import { settingsSchema } from './schema.js'
import type { Settings } from './schema.js'

/**
 * Reads and checks a settings file.
 *
 * @param file - Name used in faults.
 * @param text - JSON with comments.
 * @returns The settings with defaults filled in, or every fault.
 */
export const loadSettings = (file: string, text: string): Result<Settings, readonly LocatedError[]> =>
  readJsonc(file, text, settingsSchema).map(located => located.value)
