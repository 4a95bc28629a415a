import { randomInt } from 'node:crypto'
import { Command, CommanderError } from 'commander'
import { SeededRandom, SystemClock } from '@lovagehoist/common'
import { createPlatform } from '@lovagehoist/platform'
import { addConfigCommands } from '../commands/configCommands.js'
import { addInstanceCommands } from '../commands/instanceCommands.js'
import { CommandFailure } from './context.js'
import type { CommandWorld } from './context.js'
import { ExitCode } from './exitCode.js'

const VERSION = '0.1.0'
const SEED_LIMIT = 0x7fffffff

const createWorld = (): CommandWorld & { readonly close: () => Promise<void> } => {
  const clock = SystemClock.create()
  const closers: Array<() => Promise<void>> = []
  return {
    clock,
    random: SeededRandom.create(randomInt(SEED_LIMIT)),
    openPlatform: settings => {
      const clients = createPlatform(settings.platform, clock)
      closers.push(clients.close)
      return clients
    },
    print: line => { process.stdout.write(`${line}\n`) },
    printError: line => { process.stderr.write(`${line}\n`) },
    close: async () => { await Promise.all(closers.map(async close => { await close() })) }
  }
}

/**
 * Runs the operators' command line.
 *
 * @param argv - Arguments of the process.
 * @returns The exit code.
 */
export const main = async (argv: readonly string[]): Promise<number> => {
  const world = createWorld()
  const program = new Command('lovagehoist')
    .description('operate a lovagehoist fleet')
    .version(VERSION)
    .option('--settings <file>', 'settings file of the operator', 'operator.jsonc')
    .option('--json', 'print data as JSON')
    .exitOverride()
  addConfigCommands(program, world)
  addInstanceCommands(program, world)
  try {
    await program.parseAsync([...argv])
    return ExitCode.ok
  } catch (error) {
    if (error instanceof CommanderError) return error.exitCode === 0 ? ExitCode.ok : ExitCode.badInput
    if (!(error instanceof CommandFailure)) throw error
    world.printError(error.message)
    return error.exitCode
  } finally {
    await world.close()
  }
}
