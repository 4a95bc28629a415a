import type { Command } from 'commander'
import { sha256Hex, formatLocatedError } from '@lovagehoist/common'
import { CommandFailure, createShow, readInput } from '../cli/context.js'
import type { CommandWorld } from '../cli/context.js'
import { ExitCode } from '../cli/exitCode.js'
import { checkDocument } from '../document/checkDocument.js'

const checkFile = async (world: CommandWorld, file: string, command: Command): Promise<void> => {
  const show = createShow(world, command)
  const text = await readInput(file)
  const checked = checkDocument(file, text)
  if (checked.isErr()) {
    if (command.optsWithGlobals<{ readonly json?: boolean }>().json === true) {
      show({ isValid: false, faults: checked.error.map(fault => ({ ...fault })) }, '')
    }
    throw new CommandFailure(ExitCode.badInput, checked.error.map(formatLocatedError).join('\n'))
  }
  const { services, routes, accounts, events } = checked.value
  const digest = sha256Hex(text)
  const counts = { services: Object.keys(services).length, routes: routes.length, accounts: Object.keys(accounts.entries).length, events: events.length }
  show({ isValid: true, digest, ...counts },
    `valid: ${digest}\n${counts.services} services, ${counts.routes} routes, ${counts.accounts} accounts, ${counts.events} events`)
}

/**
 * Adds `config check`.
 *
 * @param config - The `config` command.
 * @param world - What commands reach the world through.
 */
export const addConfigCheck = (config: Command, world: CommandWorld): void => {
  config.command('check <file>')
    .description('check a document; needs neither settings nor platform')
    .addHelpText('after', `
Each fault is one line: FILE:LINE:COLUMN: FIELD: expected WHAT

Example:
  lovagehoist config check umuriro.jsonc`)
    .action(async (file: string, _: unknown, command: Command) => { await checkFile(world, file, command) })
}
