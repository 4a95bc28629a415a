import { Command, CommanderError } from 'commander'
import { addConfigCheck } from '../commands/configCheck.js'
import { addConfigHistory } from '../commands/configHistory.js'
import { addConfigPromote } from '../commands/configPromote.js'
import { addConfigStatus } from '../commands/configStatus.js'
import { addConfigTrial } from '../commands/configTrial.js'
import { addExplainCommand } from '../commands/explainCommand.js'
import { addInstanceCommands } from '../commands/instanceCommands.js'
import { addTargetsCommand } from '../commands/targetsCommand.js'
import { CommandFailure } from './context.js'
import type { CommandWorld } from './context.js'
import { EXIT_CODE_HELP, ExitCode } from './exitCode.js'

const VERSION = '0.1.0'

const EXAMPLES = `
Examples:
  lovagehoist config check umuriro.jsonc
  lovagehoist config trial umuriro.jsonc
  lovagehoist config promote 5f3c...e1
  lovagehoist --settings ops/operator.jsonc config status --json`

const createProgram = (world: CommandWorld): Command => {
  const program = new Command('lovagehoist')
    .description('operate a lovagehoist fleet')
    .version(VERSION)
    .option('--settings <file>', 'settings file of the operator, JSON with comments', 'operator.jsonc')
    .option('--json', 'print data as one line of JSON')
    .addHelpText('after', `${EXAMPLES}\n${EXIT_CODE_HELP}`)
    .configureOutput({ writeOut: text => { world.print(text.trimEnd()) }, writeErr: text => { world.printError(text.trimEnd()) } })
    .exitOverride()
  const config = program.command('config').description('check, try and promote documents')
  for (const add of [addConfigCheck, addConfigTrial, addConfigPromote, addConfigStatus, addConfigHistory]) add(config, world)
  addInstanceCommands(program, world)
  addTargetsCommand(program, world)
  addExplainCommand(program, world)
  return program
}

/**
 * Runs one command.
 *
 * @param argv - Arguments after the name of the program.
 * @param world - What commands reach the world through.
 * @returns The exit code.
 */
export const runCommand = async (argv: readonly string[], world: CommandWorld): Promise<number> => {
  try {
    await createProgram(world).parseAsync([...argv], { from: 'user' })
    return ExitCode.ok
  } catch (error) {
    if (error instanceof CommanderError) return error.exitCode === 0 ? ExitCode.ok : ExitCode.badInput
    if (!(error instanceof CommandFailure)) throw error
    world.printError(error.message)
    return error.exitCode
  }
}
