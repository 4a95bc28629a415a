import { readFile } from 'node:fs/promises'
import { formatLocatedError, readJsonc } from '@lovagehoist/common'
import type { Clock, JsonValue, Platform, Random } from '@lovagehoist/common'
import type { Command } from 'commander'
import type { AdminClient } from './adminClient.js'
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
  readonly openAdmin: (settings: OperatorSettings) => AdminClient
  readonly print: (line: string) => void
  readonly printError: (line: string) => void
}

/** Options that every command has. */
export interface CommonOptions {
  readonly settings: string
  readonly json?: boolean
}

/** What a command works with. */
export interface CommandContext extends CommandWorld {
  readonly settings: OperatorSettings
  readonly platform: Platform
  readonly admin: AdminClient
  /** Prints data: as JSON when that was asked for, otherwise as text. */
  readonly show: (data: JsonValue, text: string) => void
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

/**
 * Makes the function that prints a command's data.
 *
 * @param world - Where it is printed.
 * @param command - Command with its options.
 * @returns Prints JSON with `--json`, otherwise text.
 */
export const createShow = (world: CommandWorld, command: Command) => (data: JsonValue, text: string): void => {
  world.print(command.optsWithGlobals<CommonOptions>().json === true ? JSON.stringify(data) : text)
}

/**
 * Opens what a command works with.
 *
 * @param world - What commands reach the world through.
 * @param command - Command with its options.
 * @returns The context; throws a `CommandFailure` when the settings are wrong.
 */
export const openContext = async (world: CommandWorld, command: Command): Promise<CommandContext> => {
  const settings = await readOperatorSettings(command.optsWithGlobals<CommonOptions>().settings)
  const { clock, random, openPlatform, openAdmin, print, printError } = world
  const show = createShow(world, command)
  return { clock, random, openPlatform, openAdmin, print, printError, settings, platform: openPlatform(settings), admin: openAdmin(settings), show }
}
