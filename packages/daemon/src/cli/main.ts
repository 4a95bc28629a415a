import { randomBytes, randomInt } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { Command, CommanderError } from 'commander'
import { SeededRandom, SystemClock, formatLocatedError, loadSettings } from '@lovagehoist/common'
import type { Settings } from '@lovagehoist/common'
import { createPlatform } from '@lovagehoist/store'
import { Daemon, ListenError } from '../compose/daemon.js'
import type { DaemonDependencies } from '../compose/daemonDependencies.js'

const VERSION = '0.1.0'
const EXIT_OK = 0
const EXIT_BAD_INPUT = 2
const EXIT_LISTEN_FAILED = 3
/** Length of ids of claims and transactions, which must be unique across daemons. */
const ID_BYTES = 16
const SEED_LIMIT = 0x7fffffff

const HELP = `
Example:
  lovagehoistd --settings daemon.jsonc

Signals:
  SIGTERM, SIGINT  become unready, finish what is in flight, leave

Exit codes:
  0  left after a drain
  1  a fault of the program
  2  arguments or settings have to be changed; the message says what
  3  an address of the settings can't be listened on, for instance because its port is in use`

const createDependencies = (): DaemonDependencies => {
  const clock = SystemClock.create()
  const random = { ...SeededRandom.create(randomInt(SEED_LIMIT)), id: () => randomBytes(ID_BYTES).toString('hex') }
  return {
    clock,
    random,
    openPlatform: (settings, registry) => createPlatform(settings.platform, clock, { random, registry }),
    write: line => { process.stderr.write(line) }
  }
}

const readSettings = async (file: string): Promise<Settings | undefined> => {
  const text = await readFile(file, 'utf8').catch((error: { readonly code?: string }) => {
    process.stderr.write(`${file}: expected a readable file (${error.code ?? 'unknown'})\n`)
    return undefined
  })
  if (text === undefined) return undefined
  const loaded = loadSettings(file, text)
  if (loaded.isOk()) return loaded.value
  process.stderr.write(`${loaded.error.map(formatLocatedError).join('\n')}\n`)
  return undefined
}

const startDaemon = async (settings: Settings): Promise<Daemon | undefined> => {
  try {
    return await Daemon.create(settings, createDependencies())
  } catch (error) {
    if (!(error instanceof ListenError)) throw error
    process.stderr.write(`${error.message}: change "${error.field}" in the settings, or stop the process that has the port\n`)
    return undefined
  }
}

const parseArguments = (argv: readonly string[]): { readonly settings: string } | number => {
  const program = new Command('lovagehoistd')
    .description('lovagehoist daemon: serves callers from targets')
    .version(VERSION)
    .requiredOption('--settings <file>', 'settings file, JSON with comments')
    .addHelpText('after', HELP)
    .exitOverride()
  try {
    return program.parse([...argv]).opts<{ readonly settings: string }>()
  } catch (error) {
    if (error instanceof CommanderError) return error.exitCode === 0 ? EXIT_OK : EXIT_BAD_INPUT
    throw error
  }
}

/**
 * Runs the daemon until it has drained and stopped.
 *
 * @param argv - Arguments of the process.
 * @returns The exit code.
 */
export const main = async (argv: readonly string[]): Promise<number> => {
  const options = parseArguments(argv)
  if (typeof options === 'number') return options
  const settings = await readSettings(options.settings)
  if (settings === undefined) return EXIT_BAD_INPUT
  const daemon = await startDaemon(settings)
  if (daemon === undefined) return EXIT_LISTEN_FAILED
  const drain = (): void => { daemon.drain().catch(error => { process.stderr.write(`${String(error)}\n`) }) }
  process.on('SIGTERM', drain)
  process.on('SIGINT', drain)
  await daemon.done
  return EXIT_OK
}
