import { readJsonc } from '@lovagehoist/common'
import type { FieldPath, GatewayConfig, GatewayConfigFormat, LocatedError } from '@lovagehoist/common'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'

/** A configuration of the gateway, with access to the positions of its fields in the file. */
export interface LocatedGatewayConfig {
  readonly config: GatewayConfig
  /**
   * Creates an error at the position of a field.
   *
   * @param path - Path in the decoded configuration.
   * @param expected - Description of a valid value.
   */
  readonly errorAt: (path: FieldPath, expected: string) => LocatedError
}

const isStrictJson = (text: string): boolean => {
  try {
    JSON.parse(text)
    return true
  } catch {
    // The message is dropped, since it quotes the text, which may contain keys.
    return false
  }
}

/**
 * Reads a configuration of the gateway from text.
 *
 * @param format - Format of the platform.
 * @param file - File name used in errors.
 * @param text - Content.
 * @returns The configuration, or the errors of all entries; no error contains a value.
 */
export const readGatewayConfig = (format: GatewayConfigFormat, file: string, text: string): Result<LocatedGatewayConfig, readonly LocatedError[]> =>
  readJsonc(file, text, z.unknown(), 'json').andThen(({ value, errorAt }) => {
    if (!isStrictJson(text)) return err([errorAt([], 'JSON as daemons read it, without byte order mark')])
    return format.decode(value)
      .map(config => ({ config, errorAt: (path: FieldPath, expected: string) => errorAt(format.locate(value, path), expected) }))
      .mapErr(invalid => invalid.map(({ path, expected }) => errorAt(path, expected)))
  })
