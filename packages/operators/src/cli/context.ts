import { readFile } from 'node:fs/promises'
import { formatLocatedError, readJsonc } from '@lovagehoist/common'
import type { Clock, Platform, Random } from '@lovagehoist/common'
import { operatorSettingsSchema } from './operatorSettings.js'
import type { OperatorSettings } from './operatorSettings.js'
import { ExitCode } from './exitCode.js'
import type { ExitCodeValue } from './exitCode.js'

/** Ends a command with a message and an exit code. */
export class CommandFailure extends Error {
  constructor (readonly exitCode: ExitCodeValue, message: string) {
    super(message)
  }
}

/** What commands reach the world through. */
export interface CommandWorld {
  readonly clock: Clock
  readonly random: Random
  readonly openPlatform: (settings: OperatorSettings) => Platform
  readonly print: (line: string) => void
  readonly printError: (line: string) => void
}

/** Options that every command has. */
export interface CommonOptions {
  readonly settings: string
  readonly json?: boolean
}

/**
 * Reads the settings file of the command line.
 *
 * @param file - Path.
 * @returns The settings; throws a `CommandFailure` when they are wrong.
 */
export const readOperatorSettings = async (file: string): Promise<OperatorSettings> => {
  const text = await readInput(file)
  const loaded = readJsonc(file, text, operatorSettingsSchema)
  if (loaded.isErr()) throw new CommandFailure(ExitCode.badInput, loaded.error.map(formatLocatedError).join('\n'))
  return loaded.value.value
}

/**
 * Reads a file named by the operator.
 *
 * @param file - Path.
 * @returns Its text; throws a `CommandFailure` when it can't be read.
 */
export const readInput = async (file: string): Promise<string> => {
  try {
    return await readFile(file, 'utf8')
  } catch (error) {
    throw new CommandFailure(ExitCode.badInput, `${file}: expected a readable file (${(error as { code?: string }).code ?? 'unknown'})`)
  }
}
