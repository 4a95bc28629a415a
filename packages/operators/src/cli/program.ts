import { Command, CommanderError } from 'commander'
import { addAccountsCommand } from '../commands/accountsCommand.js'
import { addConfigCheck } from '../commands/configCheck.js'
import { addConfigHistory } from '../commands/configHistory.js'
import { addConfigPromote } from '../commands/configPromote.js'
import { addConfigStatus } from '../commands/configStatus.js'
import { addConfigTrial } from '../commands/configTrial.js'
import { addExplainCommand } from '../commands/explainCommand.js'
import { addInstanceCommands } from '../commands/instanceCommands.js'
import { addTargetsCommand } from '../commands/targetsCommand.js'
import { CommandError } from './commandContext.js'
import type { CommandDependencies } from './commandContext.js'
import { EXIT_CODE_HELP, ExitCode } from './exitCode.js'

const VERSION = '0.1.0'

const EXAMPLES = `
Examples:
  lovagehoist config check umuriro.jsonc
  lovagehoist config trial umuriro.jsonc
  lovagehoist config promote 5f3c...e1
  lovagehoist --settings ops/operator.jsonc config status --json`

const createProgram = (dependencies: CommandDependencies): Command => {
  const program = new Command('lovagehoist')
    .description('operate a lovagehoist fleet')
    .version(VERSION)
    .option('--settings <file>', 'settings file of the operator, JSON with comments', 'operator.jsonc')
    .option('--json', 'print data as one line of JSON')
    .addHelpText('after', `${EXAMPLES}\n${EXIT_CODE_HELP}`)
    .configureOutput({ writeOut: text => { dependencies.print(text.trimEnd()) }, writeErr: text => { dependencies.printError(text.trimEnd()) } })
    .exitOverride()
  const config = program.command('config').description('check, try and promote documents')
  for (const add of [addConfigCheck, addConfigTrial, addConfigPromote, addConfigStatus, addConfigHistory]) add(config, dependencies)
  addInstanceCommands(program, dependencies)
  addTargetsCommand(program, dependencies)
  addExplainCommand(program, dependencies)
  addAccountsCommand(program, dependencies)
  return program
}

/**
 * Runs a command of the operator.
 *
 * @param argv - Arguments after the name of the program.
 * @param dependencies - Clock, platform, admin client and output.
 * @returns The exit code.
 */
export const runCommand = async (argv: readonly string[], dependencies: CommandDependencies): Promise<number> => {
  try {
    await createProgram(dependencies).parseAsync([...argv], { from: 'user' })
    return ExitCode.ok
  } catch (error) {
    if (error instanceof CommanderError) return error.exitCode === 0 ? ExitCode.ok : ExitCode.badInput
    if (!(error instanceof CommandError)) throw error
    dependencies.printError(error.message)
    return error.exitCode
  }
}
