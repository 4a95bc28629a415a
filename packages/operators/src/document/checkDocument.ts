import { loadDocument } from '@lovagehoist/common'
import type { EnvironmentDocument, LocatedError } from '@lovagehoist/common'
import type { Result } from 'neverthrow'
import { routesDoNotShadow } from './routeShadows.js'

/**
 * Reads a document and applies every check that needs nothing but the document.
 *
 * @param file - Name used in faults.
 * @param text - JSON with comments.
 * @returns The document with defaults filled in, or every fault.
 */
export const checkDocument = (file: string, text: string): Result<EnvironmentDocument, readonly LocatedError[]> =>
  loadDocument(file, text, [routesDoNotShadow])
