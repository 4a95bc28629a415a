/** One fault in a text file, with what would be right. */
export interface LocatedError {
  readonly file: string
  /** Line, from 1. */
  readonly line: number
  /** Column, from 1. */
  readonly column: number
  /** Path of the field, joined by dots. */
  readonly field: string
  readonly expected: string
}

/**
 * Writes a fault as one line.
 *
 * @param error - Fault.
 * @returns `file:line:column: field: expected ...`.
 */
export const formatLocatedError = (error: LocatedError): string =>
  `${error.file}:${error.line}:${error.column}: ${error.field === '' ? '(document)' : error.field}: expected ${error.expected}`
