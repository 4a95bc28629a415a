import { randomBytes, randomInt } from 'node:crypto'
import { SeededRandom, SystemClock } from '@lovagehoist/common'
import { CONFIG_FORMAT } from '@lovagehoist/platform'
import { createPlatform } from '@lovagehoist/store'
import { createAdminClient } from './adminClient.js'
import type { CommandDependencies } from './commandContext.js'
import { runCommand } from './program.js'

/** Length of operation ids, which must stay unique for as long as the table keeps them. */
const ID_BYTES = 16
const SEED_LIMIT = 0x7fffffff
const ARGUMENTS_START = 2

const createDependencies = (): CommandDependencies & { readonly close: () => Promise<void> } => {
  const clock = SystemClock.create()
  const closeFunctions: Array<() => Promise<void>> = []
  return {
    clock,
    random: { ...SeededRandom.create(randomInt(SEED_LIMIT)), id: () => randomBytes(ID_BYTES).toString('hex') },
    openPlatform: settings => {
      const clients = createPlatform(settings.platform, clock)
      closeFunctions.push(clients.close)
      return clients
    },
    openAdmin: createAdminClient,
    gatewayConfigFormat: CONFIG_FORMAT,
    print: line => { process.stdout.write(`${line}\n`) },
    printError: line => { process.stderr.write(`${line}\n`) },
    close: async () => { await Promise.all(closeFunctions.map(async close => { await close() })) }
  }
}

/**
 * Runs the operators' command line.
 *
 * @param argv - Arguments of the process.
 * @returns The exit code.
 */
export const main = async (argv: readonly string[]): Promise<number> => {
  const dependencies = createDependencies()
  try {
    return await runCommand(argv.slice(ARGUMENTS_START), dependencies)
  } finally {
    await dependencies.close()
  }
}
