import type { Command } from 'commander'
import type { JsonValue } from '@lovagehoist/common'
import { CommandError, createContext } from '../cli/commandContext.js'
import type { CommandContext, CommandDependencies } from '../cli/commandContext.js'
import { ExitCode } from '../cli/exitCode.js'
import { renderTable } from '../cli/table.js'
import { callDaemon } from './callDaemon.js'
import { readAllViews } from './readViews.js'

const showDump = async (context: CommandContext, instanceId: string): Promise<void> => {
  const dump = await callDaemon(context, instanceId, 'GET', 'dump')
  context.printData(dump, JSON.stringify(dump, null, 2))
}

const drain = async (context: CommandContext, instanceId: string): Promise<void> => {
  const response = await callDaemon(context, instanceId, 'POST', 'drain')
  context.printData({ instanceId, ...response as { readonly [field: string]: JsonValue } }, `${instanceId} is draining: it becomes unready, ends what is in flight and leaves`)
}

const showInstances = async (context: CommandContext): Promise<void> => {
  const { platform, admin, printData } = context
  const [listed, all] = [await platform.directory.list(), await readAllViews(admin)]
  if (listed.isErr() && all.views.length === 0) throw new CommandError(ExitCode.unavailable, listed.error.message)
  const known = new Map(all.views.flatMap(view => view.instances).map(instance => [instance.instanceId, instance]))
  const entries = listed.unwrapOr([]).filter(entry => entry.role === 'daemon')
  const states = new Map(entries.map(entry => [entry.id, entry]))
  const instances = [...new Set([...states.keys(), ...known.keys()])].sort().map(instanceId => {
    const [entry, view] = [states.get(instanceId), known.get(instanceId)]
    return {
      instanceId,
      region: entry?.region ?? view?.region ?? '',
      availabilityZone: entry?.availabilityZone ?? view?.availabilityZone ?? '',
      listedAs: entry?.state ?? null,
      link: view?.status ?? null,
      isReady: view?.isReady ?? null
    }
  })
  printData({ instances }, renderTable(
    ['INSTANCE', 'REGION', 'ZONE', 'LISTED', 'LINK', 'READY'],
    instances.map(row => [row.instanceId, row.region, row.availabilityZone, row.listedAs ?? '-', row.link ?? '-', row.isReady === null ? '-' : row.isReady ? 'yes' : 'no'])
  ))
}

/**
 * Adds `instances`, `dump` and `drain`.
 *
 * @param program - Root command.
 * @param dependencies - Clock, platform, admin client and output.
 */
export const addInstanceCommands = (program: Command, dependencies: CommandDependencies): void => {
  program.command('instances')
    .description('list the daemons: as the platform lists them and as other daemons see them')
    .addHelpText('after', '\nExample:\n  lovagehoist instances --json')
    .action(async (_: unknown, command: Command) => { await showInstances(await createContext(dependencies, command)) })
  program.command('dump <instance>')
    .description('print the state of a daemon, without secrets')
    .addHelpText('after', `
An instance without address under "admin" is queried through one that has.

Example:
  lovagehoist dump daemon-3 --json | jq .config`)
    .action(async (instanceId: string, _: unknown, command: Command) => { await showDump(await createContext(dependencies, command), instanceId) })
  program.command('drain <instance>')
    .description('let a daemon become unready, finish its work and leave')
    .addHelpText('after', '\nExample:\n  lovagehoist drain daemon-3')
    .action(async (instanceId: string, _: unknown, command: Command) => { await drain(await createContext(dependencies, command), instanceId) })
}
