import type { Command } from 'commander'
import { digestOf, formatLocatedError, loadDocument } from '@lovagehoist/common'
import { CommandFailure, readInput, readOperatorSettings } from '../cli/context.js'
import type { CommandWorld, CommonOptions } from '../cli/context.js'
import { ExitCode } from '../cli/exitCode.js'
import type { ExitCodeValue } from '../cli/exitCode.js'
import { ENVIRONMENTS_TABLE } from '../environment/environmentRow.js'
import { promote, storeDocument } from '../promotion/promote.js'
import type { PromotionError } from '../promotion/promote.js'

const exitCodes: Readonly<Record<PromotionError['kind'], ExitCodeValue>> = {
  invalid: ExitCode.badInput,
  'unknown-digest': ExitCode.badInput,
  conflict: ExitCode.conflict,
  platform: ExitCode.unavailable
}

const failureOf = (error: PromotionError): CommandFailure => new CommandFailure(exitCodes[error.kind], error.message)

const promoteTo = async (world: CommandWorld, options: CommonOptions, environment: 'trial' | 'production', digest: string): Promise<void> => {
  const settings = await readOperatorSettings(options.settings)
  const platform = world.openPlatform(settings)
  const row = await promote({ platform, clock: world.clock }, {
    environment: settings.environments[environment],
    digest,
    operationId: world.random.id(),
    promotedBy: settings.operator
  })
  if (row.isErr()) throw failureOf(row.error)
  world.print(options.json === true ? JSON.stringify(row.value) : `version ${row.value.version} is accepted: ${row.value.digest}`)
}

/**
 * Adds the `config` commands.
 *
 * @param program - Command line.
 * @param world - What commands reach the world through.
 */
export const addConfigCommands = (program: Command, world: CommandWorld): void => {
  const config = program.command('config').description('check, try and promote documents')
  config.command('check <file>').description('check a document without any effect').action(async (file: string, _: unknown, command: Command) => {
    const text = await readInput(file)
    const loaded = loadDocument(file, text)
    if (loaded.isErr()) throw new CommandFailure(ExitCode.badInput, loaded.error.map(formatLocatedError).join('\n'))
    const digest = digestOf(text)
    world.print(command.optsWithGlobals<CommonOptions>().json === true ? JSON.stringify({ isValid: true, digest }) : `valid: ${digest}`)
  })
  config.command('trial <file>').description('store a document and promote it in the trial environment').action(async (file: string, _: unknown, command: Command) => {
    const options = command.optsWithGlobals<CommonOptions>()
    const settings = await readOperatorSettings(options.settings)
    const digest = await storeDocument(world.openPlatform(settings), file, Buffer.from(await readInput(file)))
    if (digest.isErr()) throw failureOf(digest.error)
    await promoteTo(world, options, 'trial', digest.value)
  })
  config.command('promote <digest>').description('promote a document that held in trial to production').action(async (digest: string, _: unknown, command: Command) => {
    await promoteTo(world, command.optsWithGlobals<CommonOptions>(), 'production', digest)
  })
  config.command('status').description('show the accepted document of each environment').action(async (_: unknown, command: Command) => {
    const settings = await readOperatorSettings(command.optsWithGlobals<CommonOptions>().settings)
    const rows = await world.openPlatform(settings).table.list(ENVIRONMENTS_TABLE, '', { isFresh: true })
    if (rows.isErr()) throw new CommandFailure(ExitCode.unavailable, rows.error.message)
    world.print(JSON.stringify(rows.value.map(row => ({ environment: row.key, accepted: row.value }))))
  })
}
