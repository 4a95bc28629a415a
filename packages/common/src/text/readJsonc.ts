import { findNodeAtLocation, parse, parseTree, printParseErrorCode, getNodeValue } from 'jsonc-parser'
import type { Node, ParseError, ParseOptions } from 'jsonc-parser'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import type { LocatedError } from './locatedError.js'

/** Maximum number of schema errors that are reported at once. */
const MAX_ISSUES = 100

const positionOf = (text: string, offset: number): { readonly line: number, readonly column: number } => {
  const before = text.slice(0, offset).split('\n')
  return { line: before.length, column: (before.at(-1) ?? '').length + 1 }
}

/** Syntax that is accepted. */
export type JsonSyntax = 'json' | 'json-with-comments'

const SYNTAXES: Readonly<Record<JsonSyntax, { readonly expected: string, readonly options: ParseOptions }>> = {
  json: { expected: 'JSON without comments and trailing commas', options: { disallowComments: true, allowTrailingComma: false } },
  'json-with-comments': { expected: 'JSON with comments', options: { allowTrailingComma: true } }
}

const syntaxError = (file: string, text: string, syntax: JsonSyntax, error: ParseError): LocatedError => ({
  file,
  ...positionOf(text, error.offset),
  field: '',
  expected: `${SYNTAXES[syntax].expected} (${printParseErrorCode(error.error)})`
})

const nodeAt = (root: Node, path: readonly PropertyKey[]): Node => {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length).map(part => typeof part === 'symbol' ? String(part) : part))
    if (node !== undefined) return node
  }
  return root
}

const errorsOfIssue = (file: string, text: string, root: Node, issue: z.core.$ZodIssue): readonly LocatedError[] => {
  if (issue.code !== 'unrecognized_keys') {
    const node = nodeAt(root, issue.path)
    return [{ file, ...positionOf(text, node.offset), field: issue.path.join('.'), expected: issue.message }]
  }
  return issue.keys.map(key => {
    const value = nodeAt(root, [...issue.path, key])
    const offset = value.parent?.offset ?? value.offset
    return { file, ...positionOf(text, offset), field: [...issue.path, key].join('.'), expected: 'no such field' }
  })
}

/**
 * Parses JSON with comments without checking it against a schema.
 *
 * @param text - Content.
 * @returns The value; of invalid text, the part that could be parsed.
 */
export const parseJsonc = (text: string): unknown => parse(text, [], { allowTrailingComma: true })

/** A value parsed from text, with access to the positions of its fields. */
export interface LocatedValue<T> {
  readonly value: T
  /**
   * Creates an error at the position of a field.
   *
   * @param path - Path of the field.
   * @param expected - Description of a valid value.
   */
  readonly errorAt: (path: readonly (string | number)[], expected: string) => LocatedError
}

/**
 * Parses JSON with comments and validates it against a schema.
 *
 * @param file - File name for error messages.
 * @param text - Content.
 * @param schema - Schema; where it is strict, unknown fields are errors.
 * @param syntax - Syntax that is accepted.
 * @returns The validated value with defaults filled in, or all errors.
 */
export const readJsonc = <T>(file: string, text: string, schema: z.ZodType<T>, syntax: JsonSyntax = 'json-with-comments'): Result<LocatedValue<T>, readonly LocatedError[]> => {
  const parseErrors: ParseError[] = []
  const root = parseTree(text, parseErrors, SYNTAXES[syntax].options)
  if (parseErrors.length > 0 || root === undefined) {
    const errors = parseErrors.map(error => syntaxError(file, text, syntax, error))
    return err(errors.length > 0 ? errors : [{ file, line: 1, column: 1, field: '', expected: 'a JSON object' }])
  }
  const checked = schema.safeParse(getNodeValue(root))
  if (!checked.success) {
    return err(checked.error.issues.slice(0, MAX_ISSUES).flatMap(issue => errorsOfIssue(file, text, root, issue)))
  }
  const errorAt = (path: readonly (string | number)[], expected: string): LocatedError =>
    ({ file, ...positionOf(text, nodeAt(root, path).offset), field: path.join('.'), expected })
  return ok({ value: checked.data, errorAt })
}
