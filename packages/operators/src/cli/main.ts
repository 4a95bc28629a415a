import { randomBytes, randomInt } from 'node:crypto'
import { SeededRandom, SystemClock } from '@lovagehoist/common'
import { createPlatform } from '@lovagehoist/store'
import { createAdminClient } from './adminClient.js'
import type { CommandWorld } from './context.js'
import { runCommand } from './program.js'

/** Operation ids must differ for as long as the table keeps them. */
const ID_BYTES = 16
const SEED_LIMIT = 0x7fffffff
const ARGUMENTS_START = 2

const createWorld = (): CommandWorld & { readonly close: () => Promise<void> } => {
  const clock = SystemClock.create()
  const closers: Array<() => Promise<void>> = []
  return {
    clock,
    random: { ...SeededRandom.create(randomInt(SEED_LIMIT)), id: () => randomBytes(ID_BYTES).toString('hex') },
    openPlatform: settings => {
      const clients = createPlatform(settings.platform, clock)
      closers.push(clients.close)
      return clients
    },
    openAdmin: createAdminClient,
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
  try {
    return await runCommand(argv.slice(ARGUMENTS_START), world)
  } finally {
    await world.close()
  }
}
