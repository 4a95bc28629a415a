import { loadDocument } from '@lovagehoist/common'
import type { EnvironmentDocument, LocatedError } from '@lovagehoist/common'
import type { Result } from 'neverthrow'
import { rejectShadowedRoutes } from './routeShadows.js'

/**
 * Parses a document and runs every check that needs only the document itself.
 *
 * @param file - File name used in errors.
 * @param text - JSON with comments.
 * @returns The document with defaults filled in, or all errors.
 */
export const checkDocument = (file: string, text: string): Result<EnvironmentDocument, readonly LocatedError[]> =>
  loadDocument(file, text, [rejectShadowedRoutes])
