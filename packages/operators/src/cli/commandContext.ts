import { readFile } from 'node:fs/promises'
import { formatLocatedError, readJsonc } from '@lovagehoist/common'
import type { Clock, GatewayConfigFormat, JsonValue, Platform, Random } from '@lovagehoist/common'
import type { Command } from 'commander'
import type { AdminClient } from './adminClient.js'
import { operatorSettingsSchema } from './operatorSettings.js'
import type { OperatorSettings } from './operatorSettings.js'
import { ExitCode } from './exitCode.js'
import type { ExitCodeValue } from './exitCode.js'

/** Error that ends a command with a message and an exit code. */
export class CommandError extends Error {
  constructor (readonly exitCode: ExitCodeValue, message: string) {
    super(message)
  }
}

/** Clock, randomness, clients and output of the commands; tests replace them. */
export interface CommandDependencies {
  readonly clock: Clock
  readonly random: Random
  readonly openPlatform: (settings: OperatorSettings) => Platform
  readonly openAdmin: (settings: OperatorSettings) => AdminClient
  /** Format of the gateway's configuration. */
  readonly gatewayConfigFormat: GatewayConfigFormat
  readonly print: (line: string) => void
  readonly printError: (line: string) => void
}

/** Options common to all commands. */
export interface CommonOptions {
  readonly settings: string
  readonly json?: boolean
}

/** Settings, clients and output of one command. */
export interface CommandContext extends CommandDependencies {
  readonly settings: OperatorSettings
  readonly platform: Platform
  readonly admin: AdminClient
  /** Prints the data as JSON with `--json`, otherwise the text. */
  readonly printData: (data: JsonValue, text: string) => void
}

/**
 * Reads the settings file of the operator.
 *
 * @param file - Path.
 * @returns The settings; throws a `CommandError` when they are invalid.
 */
export const readOperatorSettings = async (file: string): Promise<OperatorSettings> => {
  const text = await readInputFile(file)
  const loaded = readJsonc(file, text, operatorSettingsSchema)
  if (loaded.isErr()) throw new CommandError(ExitCode.badInput, loaded.error.map(formatLocatedError).join('\n'))
  return loaded.value.value
}

/**
 * Reads a file that the operator named.
 *
 * @param file - Path.
 * @returns Its text; throws a `CommandError` when it can't be read.
 */
export const readInputFile = async (file: string): Promise<string> => {
  try {
    return await readFile(file, 'utf8')
  } catch (error) {
    throw new CommandError(ExitCode.badInput, `${file}: expected a readable file (${(error as { code?: string }).code ?? 'unknown'})`)
  }
}

/**
 * Creates the function that prints the result of a command.
 *
 * @param dependencies - Output.
 * @param command - Command with its options.
 * @returns A function that prints the data as JSON with `--json`, otherwise the text.
 */
export const createDataPrinter = (dependencies: CommandDependencies, command: Command) => (data: JsonValue, text: string): void => {
  dependencies.print(command.optsWithGlobals<CommonOptions>().json === true ? JSON.stringify(data) : text)
}

/**
 * Reads the settings and creates the clients of a command.
 *
 * @param dependencies - Clock, randomness, clients and output.
 * @param command - Command with its options.
 * @returns The context; throws a `CommandError` when the settings are invalid.
 */
export const createContext = async (dependencies: CommandDependencies, command: Command): Promise<CommandContext> => {
  const settings = await readOperatorSettings(command.optsWithGlobals<CommonOptions>().settings)
  const printData = createDataPrinter(dependencies, command)
  return { ...dependencies, settings, platform: dependencies.openPlatform(settings), admin: dependencies.openAdmin(settings), printData }
}
