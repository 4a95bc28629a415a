import type { Command } from 'commander'
import { sha256Hex, formatLocatedError } from '@lovagehoist/common'
import { CommandError, createDataPrinter, readInputFile } from '../cli/commandContext.js'
import type { CommandDependencies } from '../cli/commandContext.js'
import { ExitCode } from '../cli/exitCode.js'
import { checkDocument } from '../document/checkDocument.js'
import { checkGatewayConfigFile } from './gatewayConfigCheck.js'

interface CheckOptions {
  readonly gateway?: boolean
  readonly against?: string
  readonly json?: boolean
}

const checkFile = async (dependencies: CommandDependencies, file: string, command: Command): Promise<void> => {
  const printData = createDataPrinter(dependencies, command)
  const { gateway = false, against, json: isJson = false } = command.optsWithGlobals<CheckOptions>()
  if (gateway || against !== undefined) {
    await checkGatewayConfigFile(dependencies, { file, against, isJson, printData })
    return
  }
  const text = await readInputFile(file)
  const checked = checkDocument(file, text)
  if (checked.isErr()) {
    if (isJson) printData({ isValid: false, faults: checked.error.map(fault => ({ ...fault })) }, '')
    throw new CommandError(ExitCode.badInput, checked.error.map(formatLocatedError).join('\n'))
  }
  const { services, routes, accounts, events } = checked.value
  const digest = sha256Hex(text)
  const counts = { services: Object.keys(services).length, routes: routes.length, accounts: Object.keys(accounts.entries).length, events: events.length }
  printData({ isValid: true, digest, ...counts },
    `valid: ${digest}\n${counts.services} services, ${counts.routes} routes, ${counts.accounts} accounts, ${counts.events} events`)
}

/**
 * Adds `config check`.
 *
 * @param config - The `config` command.
 * @param dependencies - Clock, platform, admin client and output.
 */
export const addConfigCheck = (config: Command, dependencies: CommandDependencies): void => {
  config.command('check <file>')
    .description('check a document; needs neither settings nor platform')
    .option('--gateway', "the file holds a gateway's configuration in the platform's format, not a document")
    .option('--against <file>', 'file with the version in force, to compare with; implies --gateway')
    .addHelpText('after', `
Each fault is one line: FILE:LINE:COLUMN: FIELD: expected WHAT

Examples:
  lovagehoist config check umuriro.jsonc
  lovagehoist config check next.json --against in-force.json`)
    .action(async (file: string, _: unknown, command: Command) => { await checkFile(dependencies, file, command) })
}
