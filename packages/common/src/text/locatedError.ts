/** An error at a position in a text file. */
export interface LocatedError {
  readonly file: string
  /** Line number, starting at 1. */
  readonly line: number
  /** Column number, starting at 1. */
  readonly column: number
  /** Path of the field, joined by dots; empty for the whole document. */
  readonly field: string
  /** Description of a valid value. */
  readonly expected: string
}

/**
 * Formats an error as one line.
 *
 * @param error - Error.
 * @returns `file:line:column: field: expected ...`.
 */
export const formatLocatedError = (error: LocatedError): string =>
  `${error.file}:${error.line}:${error.column}: ${error.field === '' ? '(document)' : error.field}: expected ${error.expected}`
