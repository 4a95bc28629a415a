import { findNodeAtLocation, parse, parseTree, printParseErrorCode, getNodeValue } from 'jsonc-parser'
import type { Node, ParseError } from 'jsonc-parser'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import type { LocatedError } from './locatedError.js'

/** Faults of shape that are reported at once. */
const MAX_ISSUES = 100

const positionOf = (text: string, offset: number): { readonly line: number, readonly column: number } => {
  const before = text.slice(0, offset).split('\n')
  return { line: before.length, column: (before.at(-1) ?? '').length + 1 }
}

const syntaxError = (file: string, text: string, error: ParseError): LocatedError => ({
  file,
  ...positionOf(text, error.offset),
  field: '',
  expected: `JSON with comments (${printParseErrorCode(error.error)})`
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
 * Reads JSON with comments without checking it.
 *
 * @param text - Content.
 * @returns The value; as far as it could be read when the text is broken.
 */
export const parseJsonc = (text: string): unknown => parse(text, [], { allowTrailingComma: true })

/** Value of a text together with the position of each field. */
export interface LocatedValue<T> {
  readonly value: T
  /**
   * Builds a fault at a field.
   *
   * @param path - Path of the field.
   * @param expected - What would be right.
   */
  readonly errorAt: (path: readonly (string | number)[], expected: string) => LocatedError
}

/**
 * Reads JSON with comments and checks it against a schema.
 *
 * @param file - Name used in faults.
 * @param text - Content.
 * @param schema - Schema; unknown fields are faults where it is strict.
 * @returns The checked value with defaults filled in, or every fault.
 */
export const readJsonc = <T>(file: string, text: string, schema: z.ZodType<T>): Result<LocatedValue<T>, readonly LocatedError[]> => {
  const parseErrors: ParseError[] = []
  const root = parseTree(text, parseErrors, { allowTrailingComma: true })
  if (parseErrors.length > 0 || root === undefined) {
    const errors = parseErrors.map(error => syntaxError(file, text, error))
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
