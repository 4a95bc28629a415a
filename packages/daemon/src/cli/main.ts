import { randomInt } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { Command, CommanderError } from 'commander'
import { SeededRandom, SystemClock, formatLocatedError, loadSettings } from '@lovagehoist/common'
import type { Settings } from '@lovagehoist/common'
import { createPlatform } from '@lovagehoist/platform'
import { Daemon } from '../compose/daemon.js'
import type { DaemonWorld } from '../compose/world.js'

const VERSION = '0.1.0'
const EXIT_OK = 0
const EXIT_BAD_INPUT = 2
const SEED_LIMIT = 0x7fffffff

const createWorld = (): DaemonWorld => {
  const clock = SystemClock.create()
  const random = SeededRandom.create(randomInt(SEED_LIMIT))
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

/**
 * Runs the daemon until it has left.
 *
 * @param argv - Arguments of the process.
 * @returns The exit code.
 */
export const main = async (argv: readonly string[]): Promise<number> => {
  const program = new Command('lovagehoistd')
    .description('lovagehoist daemon: serves callers from targets')
    .version(VERSION)
    .requiredOption('--settings <file>', 'settings file, JSON with comments')
    .exitOverride()
  try {
    program.parse([...argv])
  } catch (error) {
    if (error instanceof CommanderError) return error.exitCode === 0 ? EXIT_OK : EXIT_BAD_INPUT
    throw error
  }
  const settings = await readSettings(program.opts<{ readonly settings: string }>().settings)
  if (settings === undefined) return EXIT_BAD_INPUT
  const daemon = await Daemon.create(settings, createWorld())
  const leave = (): void => { daemon.drain().catch(error => { process.stderr.write(`${String(error)}\n`) }) }
  process.once('SIGTERM', leave)
  process.once('SIGINT', leave)
  await daemon.done
  return EXIT_OK
}
